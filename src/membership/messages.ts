/**
 * Messages between the membership tasks of two instances.
 *
 * @packageDocumentation
 */
import type { ListedState } from "../backends/index.js";
import type { InstanceId, LogOffset, Milliseconds } from "../shared/index.js";
import type { StreamMessage } from "../streams/index.js";
import type { OwnershipPart } from "./ownershipRecords.js";

/** What a witness has read, and whether its word may renew leases. */
export interface WitnessAnswer {
    readonly kind: "witnessAnswer";
    /** Epoch that it has read; -1 before any. */
    readonly epoch: LogOffset;
    /** Changes of epoch up to here are in effect. */
    readonly effective: LogOffset;
    readonly mayConfirm: boolean;
    /** Time since its own lease began; one of the same epoch may begin its lease there. */
    readonly leaseAge: Milliseconds | undefined;
}

/** Messages of the membership tasks. */
export type MembershipMessage =
    /** Says that an instance lives. */
    | { readonly kind: "heartbeat"; readonly instance: InstanceId; readonly state: ListedState; }
    /** Asks a witness what it has read. */
    | { readonly kind: "witnessRequest"; }
    | WitnessAnswer
    | StreamMessage<OwnershipPart>;
