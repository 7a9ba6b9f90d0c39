/**
 * Trials: real daemon processes on loopback run under load and pairs of overlapping faults. Afterwards, the records of
 * the callers and stand-ins are checked for breaches of any guarantee.
 *
 * Run `npm run trials -- [--seed N] [--pairs N] [--instances N]`, or add `--rolling` to replace every daemon and every
 * engine one after another in place of the faults. Trials are not part of CI because they take minutes.
 *
 * @packageDocumentation
 */
import { parseArgs } from "node:util";
import { createSeededRandom, type SeededRandom, setLogLevel } from "../shared/index.js";
import { runCallers } from "./callers.js";
import { checkGuarantees } from "./checks.js";
import { waitUntilReady } from "./daemons.js";
import { type TrialFault, trialFaults } from "./faults.js";
import { listInterruptedCalls, replaceAll } from "./rolling.js";
import { createTrialEnvironment, type TrialEnvironment } from "./stage.js";

const callerCount = 16;
const instancesLimit = 8;
const overlapMilliseconds = 1_000;
const settleMilliseconds = 8_000;
const maximumShownBreaches = 3;

setLogLevel("error");
process.exitCode = await runTrials();

async function runTrials(): Promise<number> {
    const { values } = parseArgs({
        options: {
            seed: { type: "string", default: "1" },
            pairs: { type: "string", default: "12" },
            instances: { type: "string", default: "5" },
            rolling: { type: "boolean", default: false },
        },
    });
    const random = createSeededRandom(Number(values.seed));
    const instances = Math.min(instancesLimit, Number(values.instances));
    const environment = await createTrialEnvironment(instances, random);
    const stop = new AbortController();
    const calling = runCallers({ ...environment.callers, random, callers: callerCount }, stop.signal);
    await (values.rolling ? replaceAll(environment, writeLine) : runPairs(environment, random, Number(values.pairs)));
    await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
    stop.abort();
    const calls = await calling;
    const healthy = await Promise.all(environment.daemons.list().map(waitUntilReady));
    const checked = [
        ...checkGuarantees({ ...environment.evidence(), calls }),
        ...(values.rolling
            ? [{
                guarantee: "no call is interrupted or refused because of a replacement",
                breaches: listInterruptedCalls(calls),
            }]
            : []),
        {
            guarantee: "every daemon is ready again, and all have applied the same settings",
            breaches: await listNotConverged(environment, healthy),
        },
    ];
    await environment.stop();
    writeCalls(calls.map(call => `${call.kind} ${call.answer?.outcome ?? "no answer"} ${call.answer?.reason ?? ""}`));
    for (const { guarantee, breaches } of checked) {
        writeLine(`${breaches.length === 0 ? "kept  " : "BROKEN"} ${guarantee}`);
        breaches.slice(0, maximumShownBreaches).forEach(breach => writeLine(`         ${breach}`));
    }
    return checked.every(({ breaches }) => breaches.length === 0) ? 0 : 1;
}

async function runPairs(environment: TrialEnvironment, random: SeededRandom, count: number): Promise<void> {
    for (const [first, second] of choosePairs(random, count)) {
        writeLine(`${first.name} + ${second.name}`);
        const running = first.run(environment.faults);
        await new Promise(resolve => setTimeout(resolve, overlapMilliseconds));
        await Promise.all([running, second.run(environment.faults)]);
    }
}

function choosePairs(random: SeededRandom, count: number): readonly (readonly [TrialFault, TrialFault])[] {
    return Array.from({ length: count }, () => [random.choose(trialFaults), random.choose(trialFaults)] as const);
}

async function listNotConverged(
    environment: TrialEnvironment,
    healthy: readonly boolean[],
): Promise<readonly string[]> {
    const statuses = await environment.readSettingsStatuses();
    const offsets = new Set(statuses.map(status => status.appliedOffset));
    return [
        ...healthy.filter(ready => !ready).map(() => "a daemon is not ready"),
        ...(offsets.size > 1
            ? [statuses.map(status => `${status.instance} at ${status.appliedOffset}`).join(", ")]
            : []),
    ];
}

function writeCalls(labels: readonly string[]): void {
    const counts = new Map<string, number>();
    labels.forEach(label => counts.set(label, (counts.get(label) ?? 0) + 1));
    writeLine(`\n${labels.length} calls`);
    [...counts].sort(([left], [right]) => left < right ? -1 : 1).forEach(([label, count]) =>
        writeLine(`  ${count} ${label}`)
    );
    writeLine("");
}

function writeLine(line: string): void {
    process.stdout.write(`${line}\n`);
}
