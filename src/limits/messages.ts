/**
 * Messages that the limits tasks of two instances exchange.
 *
 * A draw is a request for units of a resource, sent to the resource's coordinator. A loan is a transfer of units from a
 * member's local bucket to the coordinator. Every message may be lost, delayed or delivered twice.
 *
 * @packageDocumentation
 */
import type { ServedTokenCounters } from "../fairness/index.js";
import type { Milliseconds } from "../shared/index.js";

/** Identifier of a limited resource: `account/NAME`, `loads/rate` or `loads/inFlight`. */
export type ResourceId = string;

/** Number of a draw or a loan, unique within the instance that started it. */
export type ExchangeNumber = number;

/** Messages of the limits protocol. A lost message may lose units until they accrue again, but never creates any. */
export type LimitsMessage =
    /** Requests units from the resource's coordinator. The sender waits no longer than `wait`. */
    | {
        readonly kind: "draw";
        readonly draw: ExchangeNumber;
        readonly resource: ResourceId;
        readonly amount: number;
        /** Largest number of the units that may be returned after use. */
        readonly mayReturn: number;
        /** Draws with a lower number are served first. */
        readonly priority: number;
        readonly wait: Milliseconds;
    }
    /** The units may be spent for `validFor`, counted by the receiver from the time at which it sent the draw. */
    | { readonly kind: "granted"; readonly draw: ExchangeNumber; readonly validFor: Milliseconds; }
    | {
        readonly kind: "refused";
        readonly draw: ExchangeNumber;
        readonly retryAfter: Milliseconds;
        /** Whether the local buckets of some or all members were unreachable. */
        readonly partial: boolean;
    }
    /** The draw waits until enough units have accrued. */
    | { readonly kind: "queued"; readonly draw: ExchangeNumber; }
    /** Cancels a draw that its sender no longer needs. */
    | { readonly kind: "cancelled"; readonly draw: ExchangeNumber; }
    /** Ends the use of drawn units and returns those that were not spent. */
    | { readonly kind: "released"; readonly draw: ExchangeNumber; readonly unspent: number; }
    /** Requests a loan from a member's local bucket. */
    | {
        readonly kind: "borrow";
        readonly loan: ExchangeNumber;
        readonly resource: ResourceId;
        readonly amount: number;
        /** Largest number of the units that may be returned after use. */
        readonly mayReturn: number;
    }
    /**
     * Lends `amount` units for `validFor`, counted by the receiver from the time at which it sent the request. `level`
     * is what remains in the lender's bucket.
     */
    | {
        readonly kind: "lent";
        readonly loan: ExchangeNumber;
        readonly amount: number;
        readonly validFor: Milliseconds;
        readonly level: number;
    }
    /** Returns unspent units of a loan before it ends. */
    | {
        readonly kind: "returned";
        readonly loan: ExchangeNumber;
        readonly resource: ResourceId;
        readonly amount: number;
    }
    /** Shares counters of the tokens served to each account, for fair queueing. */
    | { readonly kind: "served"; readonly counters: ServedTokenCounters; };
