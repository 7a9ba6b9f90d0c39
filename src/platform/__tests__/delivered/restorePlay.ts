/**
 * A play in which the store comes back from an older copy, while machines are killed, started, frozen and cut off and the
 * operator changes the configuration. What clients and engines see is recorded.
 */
import { createSeededRandom, type SeededRandom } from "../../../shared/index.js";
import { type DeliveredMachine, type DeliveredProgram, sendClientRequest } from "./deliveredProgram.js";
import { type Deployment, pause, runDeployment } from "./deployment.js";
import { createFencedEngine, eventsHeader, fencedModel, type RecordedOrder } from "./fencedEngines.js";
import {
    createRestoreConfiguration,
    createRestoreOperator,
    formatVersionKey,
    formatVersionPath,
    lastingKey,
    type RestoreOperator,
    type RestorePlan,
    restoreRoutes,
    restoreServices,
    type StoreVersion,
    type WrittenVersion,
} from "./restoreOperator.js";
import { startStoreLink, type StoreLink } from "./storeLink.js";
import { createChanceDealer } from "./wireGroups.js";
import { startWireStore, type WireStore } from "./wireStore.js";

/** Size of a play. */
export interface RestorePlayOptions {
    readonly program: DeliveredProgram;
    readonly seed: number;
    readonly restores: number;
}

/** What a client asks for: a route or key of one version, or what all versions allow. */
export type ProbeKind = "route" | "key" | "order" | "draft";

/** A request and what its client got. */
export interface Probe {
    readonly id: string;
    readonly kind: ProbeKind;
    /** Version of the route or key. */
    readonly version: number;
    readonly machine: string;
    /** Number of starts of the machine's process. */
    readonly incarnation: number;
    readonly sentAt: number;
    readonly endedAt: number;
    /** `undefined` where no whole answer came. */
    readonly status: number | undefined;
}

/** A time in which a machine, or the store where none is named, wasn't as usual. */
export interface Disturbance {
    readonly machine: string | undefined;
    readonly kind: "away" | "start" | "freeze" | "cut";
    readonly from: number;
    readonly to: number;
}

/** What was seen in a play. */
export interface RestoreRecord {
    readonly probes: readonly Probe[];
    /** Probes that a server has run. */
    readonly runs: ReadonlySet<string>;
    readonly orders: readonly RecordedOrder[];
    readonly writes: readonly WrittenVersion[];
    readonly held: readonly StoreVersion[];
    readonly disturbances: readonly Disturbance[];
    readonly plans: readonly RestorePlan[];
    readonly beganAt: number;
    readonly endedAt: number;
    /** Processes that ended by themselves. */
    readonly ends: number;
    /** What all machines have written. */
    readonly output: string;
}

interface PlayMachine {
    readonly machine: DeliveredMachine;
    readonly link: StoreLink;
    incarnation: number;
    isRunning: boolean;
}

interface Play {
    readonly random: SeededRandom;
    /** Numbers that changes of the group without any request come from. */
    readonly groupRandom: SeededRandom;
    readonly operator: RestoreOperator;
    readonly machines: readonly PlayMachine[];
    readonly probes: Promise<Probe>[];
    readonly disturbances: Disturbance[];
    readonly plans: RestorePlan[];
}

const engineCount = 6;
const plainIds = ["i-p1", "i-p2"];
const adapterCount = 40;
const warmUpMilliseconds = 2_500;
/** Time from a cycle's beginning, with its versions, to its restore. */
const leadMilliseconds = 6_000;
/** Withdrawn keys of the lead may still be in the copy when they no longer run. */
const ages = [500, 1_500, 3_000, 4_500, 6_500, 8_000, 10_000] as const;
/** Time from the last disturbance to the end of a cycle; service is to be back for the last two seconds of it. */
const calmMilliseconds = 10_000;
const probeIntervalMilliseconds = 100;
const patienceMilliseconds = 1_500;
/** Versions of which routes and keys are asked for. */
const probedVersions = 4;
const streamEvents = 3;

/**
 * Runs a play.
 *
 * @param options - its program, seed and length
 * @returns what was seen
 */
export async function runRestorePlay({ program, seed, restores }: RestorePlayOptions): Promise<RestoreRecord> {
    const machineCount = createSeededRandom(seed).between(3, 4);
    const store = await startWireStore({ era: 1, splitParts: createChanceDealer(seed) });
    const links: StoreLink[] = [];
    const orders: RecordedOrder[] = [];
    const runs = new Set<string>();
    const servers = [
        ...plainIds.map(id => ({ service: restoreServices.plain, id, respond: recordRun(runs, () => false) })),
        ...Array.from({ length: engineCount }, (unused, index) => `i-e${index + 1}`).map(id => ({
            service: restoreServices.engines,
            id,
            fields: { slots: 32, models: [{ name: fencedModel, version: 1, adapters: [] }] },
            respond: createFencedEngine(id, orders),
        })),
    ];
    try {
        for (let index = 0; index < machineCount; index++) {
            links.push(await startStoreLink(store.address));
        }
        return await runDeployment({
            program,
            store,
            configuration: createRestoreConfiguration(1),
            servers,
            machines: machineCount,
            findStoreAddress: index => links[index]!.address,
        }, async deployment => {
            const play = createPlay(deployment, links, seed);
            const beganAt = performance.now();
            await runCycles(play, store, restores);
            const probes = await Promise.all(play.probes);
            const { operator: { writes, held }, disturbances, plans } = play;
            const ends = deployment.machines.reduce((sum, machine) => sum + machine.countEnds(), 0);
            const output = deployment.machines.map(machine => machine.readOutput()).join("\n");
            const endedAt = performance.now();
            return { probes, runs, orders, writes, held, disturbances, plans, beganAt, endedAt, ends, output };
        });
    }
    finally {
        links.forEach(link => link.close());
        store.close();
    }
}

function recordRun<Run extends { readonly attemptId: string; }>(
    runs: Set<string>,
    respond: (run: Run) => boolean,
): (run: Run) => boolean {
    return run => {
        runs.add(run.attemptId);
        return respond(run);
    };
}

function createPlay({ store, machines }: Deployment, links: readonly StoreLink[], seed: number): Play {
    return {
        random: createSeededRandom(seed + 1),
        groupRandom: createSeededRandom(seed + 2),
        operator: createRestoreOperator(store, seed),
        machines: machines.map((machine, index) => ({ machine, link: links[index]!, incarnation: 1, isRunning: true })),
        probes: [],
        disturbances: [],
        plans: [],
    };
}

async function runCycles(play: Play, store: WireStore, restores: number): Promise<void> {
    // numbers of its own, so that the requests don't change what happens
    const random = createSeededRandom(play.random.between(1, 1_000_000));
    const timer = setInterval(() => sendProbes(play, random), probeIntervalMilliseconds);
    try {
        await pause(warmUpMilliseconds);
        for (let cycle = 0; cycle < restores; cycle++) {
            await runCycle(play, store);
        }
    }
    finally {
        clearInterval(timer);
    }
}

function drawRestore(random: SeededRandom): RestorePlan {
    return {
        age: random.choose(ages),
        away: random.between(50, 1_500),
        repeatsAppend: random.chance(0.3),
        rewriting: random.choose(["inOrder", "newestOnly", "newestThenFurther", "newestThenFurther", "partFirst"]),
        late: random.chance(0.6) ? 0 : random.between(50, 750),
    };
}

async function runCycle(play: Play, store: WireStore): Promise<void> {
    const { random, operator, disturbances } = play;
    const beganAt = performance.now();
    const plan = drawRestore(random);
    play.plans.push(plan);
    const order = play.machines.map(machine => ({ machine, rank: random.next() }))
        .sort((a, b) => a.rank - b.rank)
        .map(({ machine }) => machine);
    const waitUntil = (time: number): Promise<void> => pause(beganAt + time - performance.now());
    const returned = leadMilliseconds + plan.away;
    const troubles: Promise<void>[] = [];
    const restartBetween = (machines: readonly PlayMachine[], from: number, to: number): void =>
        machines.forEach(machine => {
            const isPlanned = random.chance(0.3);
            troubles.push(restart(play, machine, isPlanned, () => waitUntil(from), () => waitUntil(to)));
        });
    for (let writes = random.between(1, 3); writes > 0; writes--) {
        setTimeout(operator.publish, random.between(0, 300));
    }
    const secondAt = random.between(3_000, leadMilliseconds - 400);
    for (let writes = random.between(2, 3); writes > 0; writes--) {
        setTimeout(operator.publish, secondAt + random.between(0, 200));
    }
    if (random.chance(0.8)) {
        const from = random.between(500, 2_500);
        restartBetween(order.slice(0, 1), from, from + random.between(300, 3_000));
    }
    const from = leadMilliseconds - random.between(50, 1_500);
    const to = returned + random.between(-600, 100);
    if (random.chance(0.7)) {
        restartBetween(order.slice(1, random.chance(0.25) ? order.length : 2), from, to);
    }
    else {
        troubles.push(pauseProcess(play, order[1]!, () => waitUntil(from), () => waitUntil(to + 600)));
    }
    if (random.chance(0.3)) {
        const cut = order.filter((unused, index) => index % 2 === 0);
        troubles.push(
            closeLinks(play, cut, () => waitUntil(leadMilliseconds - 500), () => waitUntil(returned + 1_000)),
        );
    }
    if (random.chance(0.7)) {
        const again = returned + random.between(200, 1_200);
        restartBetween(order.slice(0, 1), again, again + random.between(300, 2_500));
    }
    if (random.chance(0.3)) {
        setTimeout(store.resetGroups, returned + random.between(100, 1_500));
    }
    scheduleResets(play.groupRandom, store, [2_000, leadMilliseconds - 500]);
    scheduleResets(play.groupRandom, store, [returned + 100, returned + 2_500]);
    await waitUntil(leadMilliseconds);
    await operator.restore(plan);
    disturbances.push({ machine: undefined, kind: "away", from: beganAt + leadMilliseconds, to: performance.now() });
    await Promise.all(troubles);
    await pause(calmMilliseconds);
}

function scheduleResets(random: SeededRandom, store: WireStore, [from, to]: readonly [number, number]): void {
    for (let resets = random.between(0, 3); resets > 0; resets--) {
        setTimeout(store.resetGroups, random.between(from, to));
    }
}

type Wait = () => Promise<void>;

async function restart(
    play: Play,
    restarted: PlayMachine,
    isPlanned: boolean,
    waitForEnd: Wait,
    waitForStart: Wait,
): Promise<void> {
    await waitForEnd();
    const from = performance.now();
    restarted.isRunning = false;
    await (isPlanned ? restarted.machine.stop() : restarted.machine.kill());
    await waitForStart();
    restarted.machine.start(false);
    restarted.incarnation++;
    restarted.isRunning = true;
    await restarted.machine.waitReady();
    play.disturbances.push({ machine: restarted.machine.name, kind: "start", from, to: performance.now() });
}

async function pauseProcess(play: Play, { machine }: PlayMachine, waitForEnd: Wait, waitForStart: Wait): Promise<void> {
    await waitForEnd();
    const from = performance.now();
    machine.sendSignal("SIGSTOP");
    await waitForStart();
    machine.sendSignal("SIGCONT");
    play.disturbances.push({ machine: machine.name, kind: "freeze", from, to: performance.now() });
}

async function closeLinks(
    play: Play,
    machines: readonly PlayMachine[],
    waitForEnd: Wait,
    waitForStart: Wait,
): Promise<void> {
    await waitForEnd();
    const from = performance.now();
    machines.forEach(({ link }) => link.cut());
    await waitForStart();
    machines.forEach(({ link }) => link.heal());
    const to = performance.now();
    machines.forEach(({ machine: { name } }) => play.disturbances.push({ machine: name, kind: "cut", from, to }));
}

function sendProbes(play: Play, random: SeededRandom): void {
    const versions = [...new Set(play.operator.writes.map(({ version }) => version))].sort((a, b) => b - a);
    for (const machine of play.machines.filter(({ isRunning }) => isRunning)) {
        for (const kind of ["route", "key", random.choose<ProbeKind>(["order", "draft"])] as const) {
            const version = random.chance(0.4) ? versions[0]! : random.choose(versions.slice(0, probedVersions));
            play.probes.push(sendProbe(machine, kind, version, `p-${play.probes.length}`, random));
        }
    }
}

async function sendProbe(
    { machine, incarnation }: PlayMachine,
    kind: ProbeKind,
    version: number,
    id: string,
    random: SeededRandom,
): Promise<Probe> {
    const sentAt = performance.now();
    const path = kind === "route"
        ? formatVersionPath(version)
        : kind === "draft"
        ? restoreRoutes.draft
        : restoreRoutes.order;
    const { status, isComplete } = await sendClientRequest({
        host: machine.host,
        port: machine.clientPort,
        path: `${path}${id}`,
        headers: {
            Host: restoreRoutes.host,
            "X-Oriolehatch-Attempt-Id": id,
            "X-Oriolehatch-Deadline-Ms": String(patienceMilliseconds),
            "X-Oriolehatch-Key": kind === "key" ? formatVersionKey(version) : lastingKey,
            ...kind === "draft" && {
                [eventsHeader]: String(streamEvents),
                "X-Oriolehatch-Model": `${fencedModel}/a${random.between(1, adapterCount)}`,
                "X-Oriolehatch-Token-Counts": "100,50",
                "X-Oriolehatch-Prompt-Prefix": `${random.between(1, 99).toString(16)}:100`,
            },
        },
        body: `body of ${id}`,
        patience: patienceMilliseconds,
    });
    const answered = isComplete ? status : undefined;
    const endedAt = performance.now();
    return { id, kind, version, machine: machine.name, incarnation, sentAt, endedAt, status: answered };
}
