/**
 * Names by whose hand an answer ended, and what log and metrics tell of its end.
 *
 * @packageDocumentation
 */
import type { Clock, Milliseconds } from "../shared/index.js";
import type { RequestState } from "./requestState.js";
import type { AttemptFault } from "./serverConnections.js";
import type { Shutdown } from "./shutdown.js";

/**
 * By whose hand an answer ended: `server` by its whole answer, its refusal or the end of its connection; `client` by leaving, or by
 * a request that can't be run; `stop` of this instance; `deadline` of the request; `pool` when the connection to the server was
 * closed by the instance that had opened it; `instance` when another one that forwarded the attempt was lost; `configuration`
 * when the one in force doesn't allow the request; `limit` of a quota or the quarantine; `noServer` when no server takes it; and
 * `inside` by a failure of this process.
 */
export type AnswerEnder =
    | "server"
    | "client"
    | "stop"
    | "deadline"
    | "pool"
    | "instance"
    | "configuration"
    | "limit"
    | "noServer"
    | "inside";

/** What is told of the end of an answer. */
export interface AnswerEnd {
    readonly by: AnswerEnder;
    /** Time from the signal to stop until the end; `undefined` when there was none. */
    readonly sinceStop: Milliseconds | undefined;
    /**
     * Time from the last byte of a server's answer until the end, or from when the attempt was sent if none has come;
     * `undefined` without an attempt.
     */
    readonly silence: Milliseconds | undefined;
    /** Whether the answer wasn't read from its server at the end, as its client didn't read. */
    readonly heldBack: true | undefined;
}

/** Codes of the errors of requests whose connection undici was told to close. */
const closedHereCodes: ReadonlySet<string> = new Set(["UND_ERR_DESTROYED", "UND_ERR_CLOSED"]);
/** Beginning of the detail of an attempt that ended by an exception of this process. */
const failedHerePrefix = "failed here";

/**
 * Names who broke an attempt off.
 *
 * @param fault - why the attempt has no complete response
 * @returns whose hand it was
 */
export function describeFaultSource(fault: AttemptFault): AnswerEnder {
    switch (fault.kind) {
        case "unsendable":
            return "client";
        case "withdrawn":
        case "notSent":
            return "noServer";
        case "rerouted":
            return "instance";
        case "crossed":
            return "server";
        case "broken":
            if (fault.isBetweenInstances) {
                return "instance";
            }
            if (fault.detail.startsWith(failedHerePrefix)) {
                return "inside";
            }
            return closedHereCodes.has(fault.detail) ? "pool" : "server";
    }
}

/**
 * Describes an answer that ends now.
 *
 * @param parts - clock and stop of the instance
 * @param state - what is known of the present attempt
 * @param by - whose hand it was
 * @returns what log and metrics tell, in whole milliseconds
 */
export function describeEndNow(
    parts: { readonly clock: Clock; readonly shutdown: Pick<Shutdown, "measureSinceBegun">; },
    { heardAt, isHeldBack }: Partial<Pick<RequestState, "heardAt" | "isHeldBack">>,
    by: AnswerEnder,
): AnswerEnd {
    const sinceStop = parts.shutdown.measureSinceBegun();
    return {
        by,
        sinceStop: sinceStop === undefined ? undefined : Math.round(sinceStop),
        silence: heardAt === undefined ? undefined : Math.round(parts.clock.now() - heardAt),
        heldBack: isHeldBack || undefined,
    };
}
