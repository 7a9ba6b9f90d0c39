/**
 * Messages between instances about what they admitted and have under way.
 *
 * @packageDocumentation
 */
import type { ClientAccountId } from "../shared/index.js";
import type { ServerRunId } from "./types.js";

/** Sent whenever something changed, and now and then as a sign of life. */
export interface UsageMessage {
    readonly kind: "usage";
    /** Whether it lists all accounts and servers, and not only what changed. */
    readonly isWhole: boolean;
    /** Units admitted for client accounts since the instance started. */
    readonly admitted: readonly (readonly [ClientAccountId, number])[];
    /** Requests that the instance has at servers. */
    readonly inFlight: readonly (readonly [ServerRunId, number])[];
}
