/**
 * Rolling replacement of every daemon and every engine under load.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { TrialCall } from "./callers.js";
import type { TrialEnvironment } from "./stage.js";

const engineDrainMilliseconds: Milliseconds = 12_000;
const engineReplacementIntervalMilliseconds: Milliseconds = 3_000;
/** Refusals that an account earns itself. */
const accountRefusalReasons: readonly (string | undefined)[] = ["overLimit", "wrongKey", "keyWithdrawn"];

/**
 * Replaces every daemon, then every engine: each is listed as leaving, and ended once it has had time to drain.
 *
 * @param environment - the trial
 * @param write - takes a line for each step
 */
export async function replaceAll(environment: TrialEnvironment, write: (line: string) => void): Promise<void> {
    const { daemons, standins } = environment.faults;
    for (const daemon of daemons.list()) {
        const next = await daemons.start(daemon.failureDomain);
        const code = await daemons.drain(daemon);
        write(`${daemon.id} is replaced by ${next.id}, exit code ${code}`);
    }
    for (const [id, engine] of standins.engines) {
        standins.instanceList.setEntryState(id, "leaving");
        await waitFor(engineDrainMilliseconds);
        engine.restart();
        standins.instanceList.setEntryState(id, "live");
        await waitFor(engineReplacementIntervalMilliseconds);
        write(`${id} is replaced`);
    }
}

/**
 * Lists calls that didn't complete for another reason than their account's own.
 *
 * @param calls - every call of the trial
 * @returns a line for each
 */
export function listInterruptedCalls(calls: readonly TrialCall[]): readonly string[] {
    return calls
        .filter(({ answer }) => answer?.outcome !== "completed" && !accountRefusalReasons.includes(answer?.reason))
        .map(({ kind, answer }) => `${kind}: ${answer?.outcome ?? "no answer"} ${answer?.reason ?? ""}`);
}

function waitFor(duration: Milliseconds): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}
