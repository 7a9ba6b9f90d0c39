/**
 * Messages by which instances report admitted usage and requests in flight to each other.
 *
 * @packageDocumentation
 */
import type { ClientAccountId } from "../shared/index.js";
import type { ServerRunId } from "./types.js";

/** Usage report of one instance, sent after changes and as a heartbeat. */
export interface UsageMessage {
    readonly kind: "usage";
    /** Whether the message lists all accounts and servers instead of changes only. */
    readonly isWhole: boolean;
    /** Units admitted for each client account since the instance started; the total, not the increase. */
    readonly admitted: readonly (readonly [ClientAccountId, number])[];
    /** Requests of the instance that are in flight at each server. */
    readonly inFlight: readonly (readonly [ServerRunId, number])[];
}
