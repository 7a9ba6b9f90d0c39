/**
 * Rolling replacement of all daemons and engines under load.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { TrialCall } from "./callers.js";
import type { TrialEnvironment } from "./stage.js";

const engineDrainMilliseconds: Milliseconds = 12_000;
const engineReplacementIntervalMilliseconds: Milliseconds = 3_000;
/** Reasons of refusals that the client account causes itself, independent of any replacement. */
const accountRefusalReasons: readonly (string | undefined)[] = ["overLimit", "wrongKey", "keyWithdrawn"];

/**
 * Replaces every daemon, then every engine, one at a time. Each is listed as leaving and stopped after it has had time
 * to drain.
 *
 * @param environment - environment of the trial
 * @param write - receives a progress line after each replacement
 */
export async function replaceAll(environment: TrialEnvironment, write: (line: string) => void): Promise<void> {
    const { daemons, standins } = environment.faults;
    for (const daemon of daemons.list()) {
        const next = await daemons.start(daemon.failureDomain);
        const code = await daemons.drain(daemon);
        write(`${daemon.id} was replaced by ${next.id} and ended with exit code ${code}`);
    }
    for (const [id, engine] of standins.engines) {
        standins.instanceList.setEntryState(id, "leaving");
        await waitFor(engineDrainMilliseconds);
        engine.restart();
        standins.instanceList.setEntryState(id, "live");
        await waitFor(engineReplacementIntervalMilliseconds);
        write(`${id} was replaced`);
    }
}

/**
 * Lists the calls that did not complete, except those that were refused because of their client account or key.
 *
 * @param calls - all calls of the trial
 * @returns a line for each of these calls
 */
export function listInterruptedCalls(calls: readonly TrialCall[]): readonly string[] {
    return calls
        .filter(({ answer }) => answer?.outcome !== "completed" && !accountRefusalReasons.includes(answer?.reason))
        .map(({ kind, answer }) => `${kind}: ${answer?.outcome ?? "no answer"} ${answer?.reason ?? ""}`);
}

function waitFor(duration: Milliseconds): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}
