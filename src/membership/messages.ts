/**
 * Messages between the membership tasks of two instances.
 *
 * @packageDocumentation
 */
import type { ListedState } from "../backends/index.js";
import type { InstanceId, LogOffset, Milliseconds } from "../shared/index.js";
import type { StreamMessage } from "../streams/index.js";
import type { OwnershipPart } from "./ownershipRecords.js";

/**
 * Reports how far a witness has read, and whether its answer may renew leases. Witnesses are the few members of an
 * epoch whose answers renew leases while the log is unavailable.
 */
export interface WitnessAnswer {
    readonly kind: "witnessAnswer";
    /** Latest epoch that the witness has read; -1 before the first. */
    readonly epoch: LogOffset;
    /** Epoch changes up to this offset are in effect. */
    readonly effective: LogOffset;
    /** Whether this answer counts towards the majority that renews a lease. */
    readonly mayConfirm: boolean;
    /**
     * Age of the witness's own lease; `undefined` if it has none. A receiver in the same epoch may start its own lease
     * at the same time.
     */
    readonly leaseAge: Milliseconds | undefined;
}

/** Messages of the membership tasks. */
export type MembershipMessage =
    /** Shows that an instance is running, and whether it is leaving. */
    | { readonly kind: "heartbeat"; readonly instance: InstanceId; readonly state: ListedState; }
    /** Asks a witness how far it has read. */
    | { readonly kind: "witnessRequest"; }
    | WitnessAnswer
    | StreamMessage<OwnershipPart>;
