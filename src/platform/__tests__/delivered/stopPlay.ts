/**
 * A play of planned stops: all machines are stopped in turn and started again, while long streams run, servers fall silent
 * and go on, and the operator changes the configuration.
 */
import { createSeededRandom, type SeededRandom } from "../../../shared/index.js";
import type { DeliveredMachine, DeliveredProgram } from "./deliveredProgram.js";
import { type Deployment, pause, runDeployment } from "./deployment.js";
import {
    createPlayConfiguration,
    type PlayChange,
    playChanges,
    playKey,
    playRoutes,
    playServices,
} from "./playConfiguration.js";
import { startRotation } from "./rotation.js";
import { type PlayAttempt, runPlayClient } from "./streamClients.js";
import { graceMilliseconds, type RecordedStop } from "./streamRules.js";
import { createStreamServers, playModel, type RecordedRun, type StreamServers } from "./streamServers.js";
import type { WireServer } from "./wireServers.js";

/** Size of a play. */
export interface StopPlayOptions {
    readonly program: DeliveredProgram;
    readonly seed: number;
    readonly machines: number;
    readonly clients: number;
    /** Times that all machines are stopped. */
    readonly rounds: number;
    /** Time between two stops, in milliseconds. */
    readonly gap: number;
}

/** What was seen in a play. */
export interface StopPlayResult {
    readonly attempts: readonly PlayAttempt[];
    readonly runs: readonly RecordedRun[];
    readonly stops: readonly RecordedStop[];
    /** Processes that ended without being asked to. */
    readonly ends: number;
    readonly outputs: ReadonlyMap<string, string>;
}

const adapters = ["a1", "a2", "a3"];
const engineIds = ["i-e1", "i-e2", "i-e3", "i-e4"];
const plainIds = ["i-p1", "i-p2", "i-p3"];
const calmMilliseconds = 2_500;
const restartMilliseconds = 200;
/** Time after the last stop in which clients still begin requests. */
const tailMilliseconds = 2_000;
const silenceIntervalMilliseconds = 6_000;
/** Share of the plays' silences in which all servers are silent; else some are. */
const allSilentShare = 0.5;
const someSilentShare = 0.6;
const lapseShare = 0.5;

/**
 * Runs a play.
 *
 * @param options - its size and seed
 * @returns what was seen
 */
export async function runStopPlay(options: StopPlayOptions): Promise<StopPlayResult> {
    const random = createSeededRandom(options.seed);
    const behaviour = createStreamServers();
    const servers = [
        ...engineIds.map(id => ({
            service: playServices.engines,
            id,
            fields: {
                slots: 64,
                models: [{ name: playModel, version: 1, adapters: adapters.map(name => `${name}@1`) }],
            },
            respond: behaviour.createResponder(id, adapters),
            isSilent: () => behaviour.isSilent(id),
        })),
        ...plainIds.map(id => ({
            service: playServices.plain,
            id,
            fields: { slots: 64 },
            respond: behaviour.createResponder(id, []),
            isSilent: () => behaviour.isSilent(id),
        })),
    ];
    const configuration = createPlayConfiguration(1, new Map());
    return runDeployment(
        { program: options.program, configuration, servers, machines: options.machines },
        deployment => runPlay(options, random, behaviour, deployment),
    );
}

async function runPlay(
    options: StopPlayOptions,
    random: SeededRandom,
    behaviour: StreamServers,
    deployment: Deployment,
): Promise<StopPlayResult> {
    const { machines } = deployment;
    const rotation = startRotation(machines);
    const stops: RecordedStop[] = [];
    const stopping = options.rounds * options.machines * options.gap;
    const until = performance.now() + calmMilliseconds + stopping + tailMilliseconds;
    const clients = Array.from({ length: options.clients }, (unused, number) =>
        runPlayClient(number, {
            rotation,
            random,
            host: playRoutes.host,
            paths: playRoutes.paths,
            adapters,
            key: playKey,
            until,
        }));
    const trouble = new AbortController();
    const operator = runOperator(random, behaviour, deployment, trouble.signal);
    await pause(calmMilliseconds);
    const restarts: Promise<void>[] = [];
    for (let round = 0; round < options.rounds; round++) {
        for (const machine of machines) {
            restarts.push(restart(machine, stops));
            machines[random.between(0, machines.length - 1)]!.sendSignal("SIGHUP");
            await pause(options.gap);
        }
    }
    await Promise.all(restarts);
    const attempts = (await Promise.all(clients)).flat();
    trouble.abort();
    await operator;
    rotation.close();
    return {
        attempts,
        runs: behaviour.runs,
        stops,
        ends: machines.reduce((sum, machine) => sum + machine.countEnds(), 0),
        outputs: new Map(machines.map(machine => [machine.name, machine.readOutput()])),
    };
}

// the platform ends a process that has not ended by itself
async function restart(machine: DeliveredMachine, stops: RecordedStop[]): Promise<void> {
    const stop: RecordedStop = { machine: machine.name, at: performance.now(), endedAt: 0 };
    stops.push(stop);
    const kill = setTimeout(() => machine.sendSignal("SIGKILL"), graceMilliseconds);
    await machine.stop();
    clearTimeout(kill);
    stop.endedAt = performance.now();
    await pause(restartMilliseconds);
    machine.start(false);
    await machine.waitReady();
}

// silences of servers, with a change of the configuration in the same second
async function runOperator(
    random: SeededRandom,
    behaviour: StreamServers,
    { store, servers }: Deployment,
    signal: AbortSignal,
): Promise<void> {
    const changes = new Map<PlayChange, number>();
    for (let version = 2; !signal.aborted; version++) {
        await pause(silenceIntervalMilliseconds / 2 + random.between(0, silenceIntervalMilliseconds));
        const share = random.chance(allSilentShare) ? 1 : someSilentShare;
        servers.filter(() => random.chance(share)).forEach(pauseServer);
        await pause(random.between(0, 600));
        const change = playChanges[version % playChanges.length]!;
        changes.set(change, (changes.get(change) ?? 0) + 1);
        store.put("keyed.op", "config", createPlayConfiguration(version, changes));
        if (change === "quota") {
            const adapter = random.choose(adapters);
            const named = JSON.stringify({ model: playModel, adapter, version });
            store.put("keyed.op", `version/${playModel}.${adapter}`, named);
        }
    }

    function pauseServer(server: WireServer): void {
        const duration = random.between(1_000, 1_300);
        behaviour.silence(server.id, duration);
        if (random.chance(lapseShare)) {
            store.put("keyed.servers", server.id, undefined);
            setTimeout(() => store.put("keyed.servers", server.id, JSON.stringify(server.entry)), duration);
        }
    }
}
