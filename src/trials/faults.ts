/**
 * Faults that a trial injects, each for a limited time.
 *
 * @packageDocumentation
 */
import type { Milliseconds, SeededRandom } from "../shared/index.js";
import type { Standins } from "../standins/index.js";
import type { TrialDaemons } from "./daemons.js";

/** Everything that faults act on. */
export interface FaultContext {
    readonly standins: Standins;
    readonly daemons: TrialDaemons;
    readonly random: SeededRandom;
    /** Publishes two concurrent changes of the same node. */
    readonly racePublishes: () => Promise<void>;
    /** Publishes a new version of an adapter. */
    readonly changeVersion: () => Promise<void>;
    /** Withdraws a key and grants another one in its place. */
    readonly withdrawKey: () => Promise<void>;
    /** Records a period in which an engine was listed as leaving, for the checks. */
    readonly recordLeaving: (engine: string, from: Milliseconds, to: Milliseconds) => void;
    /** Records an outage of the instance list, for the checks. */
    readonly recordListOutage: (from: Milliseconds, to: Milliseconds) => void;
}

/** A fault with the name that a trial prints. */
export interface TrialFault {
    readonly name: string;
    /** Injects the fault; resolves when it is over. */
    readonly run: (context: FaultContext) => Promise<void>;
}

const pauseMilliseconds = 8_000;
const outageMilliseconds = 8_000;
const cutMilliseconds = 8_000;
const leavingMilliseconds = 7_000;
const slowLogMilliseconds = 1_500;
const downMilliseconds = 2_000;
const faultCount = 6;

/** All faults from which a trial chooses. */
export const trialFaults: readonly TrialFault[] = [
    { name: "an instance is killed and another starts", run: runKill },
    { name: "an instance is paused beyond its lease and resumes", run: runPause },
    { name: "an instance is replaced", run: runReplacement },
    { name: "an instance is disconnected from its peers", run: runCut },
    { name: "the log is down", run: runLogOutage },
    { name: "the log is slow", run: runSlowLog },
    { name: "responses of the log are lost and appends are duplicated", run: runLostLogAnswers },
    { name: "the instance list is down", run: runListOutage },
    { name: "an engine restarts without adapters", run: runEngineRestart },
    { name: "adapter loads fail", run: runFailedLoads },
    { name: "responses to load and unload orders of an engine are lost", run: runLostOrderAnswers },
    { name: "streams of an engine break", run: runBrokenStreams },
    { name: "an engine answers with wrong request ids", run: runCrossedAnswers },
    { name: "an engine is leaving", run: runLeavingEngine },
    { name: "responses of the order servers are lost", run: runLostServiceAnswers },
    { name: "the order servers refuse and fail", run: runFailingServices },
    { name: "two operators publish changes concurrently", run: context => context.racePublishes() },
    { name: "an adapter's version changes", run: context => context.changeVersion() },
    { name: "a key is withdrawn", run: context => context.withdrawKey() },
];

async function runKill({ daemons, random }: FaultContext): Promise<void> {
    const daemon = random.choose(daemons.list());
    daemons.kill(daemon);
    await waitFor(downMilliseconds);
    await daemons.start(daemon.failureDomain);
}

async function runPause({ daemons, random }: FaultContext): Promise<void> {
    const daemon = random.choose(daemons.list());
    daemon.process.kill("SIGSTOP");
    await waitFor(pauseMilliseconds);
    daemon.process.kill("SIGCONT");
}

async function runReplacement({ daemons, random }: FaultContext): Promise<void> {
    const daemon = random.choose(daemons.list());
    await daemons.start(daemon.failureDomain);
    await daemons.drain(daemon);
}

async function runCut({ daemons, random }: FaultContext): Promise<void> {
    const daemon = random.choose(daemons.list());
    daemon.relay.setCut(true);
    await waitFor(cutMilliseconds);
    daemon.relay.setCut(false);
}

async function runLogOutage({ standins }: FaultContext): Promise<void> {
    standins.log.faults.startOutage(outageMilliseconds);
    await waitFor(outageMilliseconds);
}

async function runSlowLog({ standins }: FaultContext): Promise<void> {
    standins.log.faults.setDelay(slowLogMilliseconds);
    await waitFor(outageMilliseconds);
    standins.log.faults.setDelay(0);
}

async function runLostLogAnswers({ standins }: FaultContext): Promise<void> {
    standins.log.faults.loseAnswers(faultCount);
    standins.log.faults.duplicateAppends(faultCount);
    await waitFor(outageMilliseconds);
}

async function runListOutage({ standins, recordListOutage }: FaultContext): Promise<void> {
    const from = performance.now();
    recordListOutage(from, from + outageMilliseconds);
    standins.instanceList.startOutage(outageMilliseconds);
    await waitFor(outageMilliseconds);
}

async function runEngineRestart({ standins, random }: FaultContext): Promise<void> {
    random.choose([...standins.engines.values()]).restart();
    await waitFor(downMilliseconds);
}

async function runFailedLoads({ standins, random }: FaultContext): Promise<void> {
    for (const engine of standins.engines.values()) {
        engine.model.setFault({ kind: "failLoads", adapter: `adapter-${random.between(0, 5)}`, times: faultCount });
    }
    await waitFor(downMilliseconds);
}

async function runLostOrderAnswers({ standins, random }: FaultContext): Promise<void> {
    random.choose([...standins.engines.values()]).faults.loseOrderAnswers(faultCount);
    await waitFor(downMilliseconds);
}

async function runBrokenStreams({ standins, random }: FaultContext): Promise<void> {
    random.choose([...standins.engines.values()]).faults.breakStreams(faultCount);
    await waitFor(downMilliseconds);
}

async function runCrossedAnswers({ standins, random }: FaultContext): Promise<void> {
    random.choose([...standins.engines.values()]).faults.sendWrongRequestIds(faultCount);
    await waitFor(downMilliseconds);
}

async function runLeavingEngine({ standins, random, recordLeaving }: FaultContext): Promise<void> {
    const engine = random.choose([...standins.engines.keys()]);
    const from = performance.now();
    standins.instanceList.setEntryState(engine, "leaving");
    await waitFor(leavingMilliseconds);
    recordLeaving(engine, from, performance.now());
    standins.instanceList.setEntryState(engine, "live");
}

async function runLostServiceAnswers({ standins }: FaultContext): Promise<void> {
    standins.services.forEach(service => service.faults.loseAnswers(faultCount));
    await waitFor(downMilliseconds);
}

async function runFailingServices({ standins }: FaultContext): Promise<void> {
    standins.services.forEach(service => {
        service.faults.refuseCalls(faultCount);
        service.faults.failCalls(faultCount);
    });
    await waitFor(downMilliseconds);
}

function waitFor(duration: Milliseconds): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}
