import { expect } from "chai";
import { createSeededRandom, type SeededRandom } from "../../shared/index.js";
import type { DeliveredMachine } from "./delivered/deliveredProgram.js";
import { pause, runDeployment } from "./delivered/deployment.js";
import { type KeptAnswer, type KeptClient, openKeptClient } from "./delivered/keptClients.js";
import { baseModel, eventIntervalMilliseconds, type ServerSpec } from "./delivered/serverProcess.js";
import { startSilentServers } from "./delivered/silentServers.js";
import {
    changedAccounts,
    changedRoutes,
    changedServices,
    type ChangedValues,
    createChangedConfiguration,
    stopRoutes,
} from "./delivered/wireConfiguration.js";
import { startWireStore, type WireStore } from "./delivered/wireStore.js";

/** Seeds of the play; more of them by hand. */
const seedCount = Number(process.env["CONFIGURATION_SEEDS"] ?? 1);
const firstSeed = Number(process.env["CONFIGURATION_FIRST_SEED"] ?? 1);
const machineCount = 3;
const clientCount = 45;
/** Times of the silences after the beginning of the play; a change comes within half a second of each. */
const silenceTimes = [1_500, 4_000, 6_500, 9_000];
const lastRequestMilliseconds = 11_000;
/** All streams have ended by then, if no silence holds them up. */
const lastEventMilliseconds = 14_000;
const longestStreamMilliseconds = 12_000;
const shortestStreamMilliseconds = 2_000;
/** Streams of routes with the short time-out. */
const quickStreamMilliseconds = 500;
const changeSpreadMilliseconds = 500;
/** Time after its acknowledgement from which a configuration is in force everywhere. */
const configurationBoundMilliseconds = 2_000;
/** `loss_slack_ms`. */
const slackMilliseconds = 200;
/** A timer of the program may fire this much before its time, as clients see it. */
const timerMarginMilliseconds = 50;
const longTimeout = 25_000;
/** Shorter than the streams in progress when it comes into force. */
const shortTimeout = 1_500;
const longestPatienceMilliseconds = 30_000;
/** Clients use a connection again that was idle for up to this part of the limit. */
const reuseRatio = 0.8;

const specs: readonly ServerSpec[] = [
    ...["a-1", "a-2", "a-3"].map(id => ({ id, service: changedServices.app, isEngine: false })),
    ...["b-1", "b-2"].map(id => ({ id, service: changedServices.other, isEngine: false })),
    ...["e-1", "e-2", "e-3"].map(id => ({ id, service: changedServices.engine, isEngine: true })),
];

type ChangedRoute = keyof typeof changedRoutes;

interface Sent {
    readonly id: string;
    readonly route: ChangedRoute;
    readonly work: number;
    /** Number of events; `undefined` for a plain request. */
    readonly events: number | undefined;
    readonly answer: KeptAnswer;
}

/** A version, and when it was acknowledged. */
interface Acknowledged {
    readonly at: number;
    readonly values: ChangedValues;
}

interface Play {
    readonly random: SeededRandom;
    readonly store: WireStore;
    readonly machines: readonly DeliveredMachine[];
    readonly versions: Acknowledged[];
    readonly beganAt: number;
}

interface PlayResult {
    readonly sent: readonly Sent[];
    readonly runs: ReadonlySet<string>;
    readonly versions: readonly Acknowledged[];
    readonly ends: number;
    /** What all machines have written. */
    readonly output: string;
}

const firstValues: ChangedValues = {
    version: 1,
    idleTimeout: 15_000,
    timeout: longTimeout,
    weights: [1, 0],
    hasSpare: true,
    rate: 10_000,
    hasKey: true,
};

const changes: readonly ((values: ChangedValues, random: SeededRandom) => Partial<ChangedValues>)[] = [
    ({ idleTimeout }) => ({ idleTimeout: idleTimeout === 15_000 ? 3_000 : 15_000 }),
    ({ timeout }) => ({ timeout: timeout === longTimeout ? shortTimeout : longTimeout }),
    ({ hasSpare }, random) => {
        const weights = ([[1, 0], [0, 1], [1, 1], [9, 1]] as const)[random.between(0, 3)]!;
        return { weights, hasSpare: !hasSpare };
    },
    ({ rate, hasKey }) => ({ rate: rate === 10_000 ? 1_000 : 10_000, hasKey: !hasKey }),
];

function drawRequest(random: SeededRandom, age: number, timeout: number): Pick<Sent, "route" | "work" | "events"> {
    const names = Object.keys(changedRoutes) as ChangedRoute[];
    const route = names[random.between(0, names.length - 1)]!;
    if (changedRoutes[route].kind !== "stream") {
        return { route, work: random.between(20, 500), events: undefined };
    }
    const longest = Math.min(longestStreamMilliseconds, lastEventMilliseconds - age);
    const drawn = random.between(shortestStreamMilliseconds, Math.max(shortestStreamMilliseconds, Math.round(longest)));
    const duration = timeout === shortTimeout ? quickStreamMilliseconds : drawn;
    return { route, work: 0, events: Math.round(duration / eventIntervalMilliseconds) };
}

async function sendRequest(play: Play, client: KeptClient, id: string, random: SeededRandom): Promise<Sent> {
    const { timeout } = play.versions.at(-1)!.values;
    const request = drawRequest(random, performance.now() - play.beganAt, timeout);
    const { route, work, events } = request;
    const answer = await client.send({
        path: `${changedRoutes[route].path}${id}`,
        headers: {
            Host: stopRoutes.safe.host,
            "X-Oriolehatch-Attempt-Id": id,
            "X-Oriolehatch-Deadline-Ms": String(longestPatienceMilliseconds),
            "X-Oriolehatch-Key": random.between(0, 4) === 0 ? changedAccounts.bolt : changedAccounts.acme,
            "X-Work": String(work),
            ...events !== undefined && { "X-Events": String(events) },
            ...route === "draft" && {
                "X-Oriolehatch-Model": `${baseModel}/a${random.between(1, 12)}`,
                "X-Oriolehatch-Token-Counts": "100,50",
                "X-Oriolehatch-Prompt-Prefix": `${random.between(1, 99).toString(16)}:100`,
            },
        },
        body: `body of ${id}`,
    });
    return { id, ...request, answer };
}

// each client has numbers of its own, so that what one draws doesn't depend on the times of the others
async function runClient(play: Play, index: number, seed: number): Promise<readonly Sent[]> {
    const random = createSeededRandom(seed * 1_000 + index);
    const machine = play.machines[index % play.machines.length]!;
    const client = openKeptClient(machine.host, machine.clientPort);
    const sent: Sent[] = [];
    await pause(random.between(0, 600));
    for (;;) {
        if (performance.now() - play.beganAt > lastRequestMilliseconds) {
            client.close();
            return sent;
        }
        sent.push(await sendRequest(play, client, `s${seed}-c${index}-r${sent.length}`, random));
        const idle = random.between(0, 9) === 0 ? random.between(1_500, 4_000) : random.between(20, 400);
        await pause(idle);
        if (idle > play.versions.at(-1)!.values.idleTimeout * reuseRatio) {
            client.forgetConnection();
        }
    }
}

function publishChange(play: Play, kinds: readonly number[]): void {
    const { values } = play.versions.at(-1)!;
    const changed = kinds.reduce((sum, kind) => ({ ...sum, ...changes[kind]!(sum, play.random) }), values);
    const next = { ...changed, version: values.version + play.random.between(1, 5) };
    play.store.put("keyed.op", "config", createChangedConfiguration(next));
    play.versions.push({ at: performance.now(), values: next });
}

async function runChanges(play: Play): Promise<void> {
    const { random } = play;
    const order = random.between(0, changes.length - 1);
    const times = silenceTimes.map(at => at + random.between(-changeSpreadMilliseconds, changeSpreadMilliseconds));
    for (const [index, at] of times.entries()) {
        await pause(play.beganAt + at - performance.now());
        const kind = (order + index) % changes.length;
        publishChange(play, random.between(0, 1) === 0 ? [kind] : [kind, (kind + 1) % changes.length]);
        const machine = play.machines[random.between(0, play.machines.length - 1)]!;
        machine.changeBounds(random.between(0, 2) === 0 ? undefined : { grace_s: random.between(5, 9) });
        machine.sendSignal("SIGHUP");
    }
}

async function runPlay(seed: number): Promise<PlayResult> {
    const random = createSeededRandom(seed);
    const store = await startWireStore();
    const servers = await startSilentServers(store, specs);
    try {
        return await runDeployment({
            store,
            configuration: createChangedConfiguration(firstValues),
            servers: [],
            machines: machineCount,
        }, async ({ machines }) => {
            await pause(1_500);
            const versions = [{ at: Number.NEGATIVE_INFINITY, values: firstValues }];
            const play: Play = { random, store, machines, versions, beganAt: performance.now() };
            const clients = Array.from({ length: clientCount }, (unused, index) => runClient(play, index, seed));
            const changing = runChanges(play);
            for (const at of silenceTimes) {
                await pause(play.beganAt + at - performance.now());
                await servers.silence(random.between(1_000, 1_300), random.between(0, 1) === 0 ? 600 : undefined);
            }
            await changing;
            const sent = (await Promise.all(clients)).flat();
            const ends = machines.reduce((sum, machine) => sum + machine.countEnds(), 0);
            writeCounts(seed, sent, machines);
            const output = machines.map(machine => machine.readOutput()).join("\n");
            return { sent, runs: servers.runs, versions, ends, output };
        });
    }
    finally {
        await servers.close();
        store.close();
    }
}

// for runs by hand
function writeCounts(seed: number, sent: readonly Sent[], machines: readonly DeliveredMachine[]): void {
    if (process.env["CONFIGURATION_SEEDS"] === undefined) {
        return;
    }
    const counts = new Map<string, number>();
    sent.forEach(({ route, answer }) => {
        const key = `${route} ${answer.status ?? "none"}${answer.isComplete ? "" : " cut"}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
    });
    const reasons = machines.flatMap(machine => [...machine.readOutput().matchAll(/"reason":"([^"]*)"/g)]);
    reasons.forEach(([, reason]) => counts.set(`- ${reason}`, (counts.get(`- ${reason}`) ?? 0) + 1));
    console.log(`seed ${seed}: ${sent.length} requests`, Object.fromEntries([...counts].sort()));
}

// the versions that may be in force while a request is decided
function listTimeouts(versions: readonly Acknowledged[], sentAt: number): readonly number[] {
    const surely = versions.findLastIndex(({ at }) => at <= sentAt - configurationBoundMilliseconds);
    return versions.slice(surely).filter(({ at }) => at <= sentAt + slackMilliseconds)
        .map(({ values }) => values.timeout);
}

// ended by the time-out of its route, which isn't a loss
function isTimedOut({ answer }: Sent, versions: readonly Acknowledged[]): boolean {
    const took = answer.endedAt - answer.sentAt;
    return listTimeouts(versions, answer.sentAt).some(timeout => took >= timeout - timerMarginMilliseconds);
}

function isLost(request: Sent, { runs, versions }: PlayResult): boolean {
    const { id, answer } = request;
    if (answer.isComplete || isTimedOut(request, versions)) {
        return false;
    }
    // a request that crosses the close and isn't passed on is sent again by its client
    return runs.has(id) || answer.endedAt - answer.sentAt > slackMilliseconds;
}

function formatWhole({ id, events }: Sent): string {
    return events === undefined
        ? `ran ${id}`
        : Array.from({ length: events }, (unused, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`).join("");
}

// with the lines of the machines that name it: by whose hand it ended, what it waited for and how long it took there
function describeSent({ id, route, work, events, answer }: Sent, { versions, output }: PlayResult): string {
    const since = versions.map(({ at }) => Math.round(answer.endedAt - at)).filter(age => age >= 0 && age < 1e6);
    const took = Math.round(answer.endedAt - answer.sentAt);
    const timeouts = listTimeouts(versions, answer.sentAt);
    const lines = output.split("\n").filter(line => line.includes(`"${id}"`));
    return `${id} ${route}, work ${work}, events ${events ?? "-"}, took ${took}, time-outs ${timeouts.join()}, ` +
        `${took - Math.max(...timeouts)} past the longest, status ${answer.status ?? "none"}, ` +
        `${answer.body.length} bytes, ended ${since.join()} after the changes; written of it: ${lines.join(" ")}`;
}

// the message is one line, as of a known failure only the first line is printed
function expectNone(requests: readonly Sent[], name: string, result: PlayResult): void {
    const described = requests.map(request => describeSent(request, result));
    expect(described.length, [name, ...described].join(" | ")).to.equal(0);
}

function expectWholeAnswers(result: PlayResult): void {
    const { sent, runs } = result;
    expect(result.ends, "processes that ended").to.equal(0);
    expectNone(sent.filter(request => isLost(request, result)), "lost", result);
    const short = sent.filter(request =>
        request.answer.status === 200 && request.answer.isComplete && request.answer.body !== formatWhole(request)
    );
    expectNone(short, "successes that aren't whole", result);
    const untrue = sent.filter(({ id, route, answer }) =>
        answer.status === 503 && runs.has(id) && ["order", "note", "spareNote"].includes(route)
    );
    expectNone(untrue, "refused although a server runs it", result);
    const late = sent.filter(({ answer }) =>
        answer.endedAt - answer.sentAt > Math.max(...listTimeouts(result.versions, answer.sentAt)) + 500
    );
    expectNone(late, "without an answer at the time-out", result);
    expect(sent.filter(({ answer }) => answer.status === 200).length, "served").to.be.above(sent.length / 2);
}

describe("delivered program whose configuration changes while all servers are silent", function() {
    this.timeout(60_000 + seedCount * 60_000);

    for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
        // guards against a configuration that ends an answer in progress, or a silence that does (LOST)
        it(`ends no answer of a kept connection before its end, seed ${seed}`, async () => {
            expectWholeAnswers(await runPlay(seed));
        });
    }
});
