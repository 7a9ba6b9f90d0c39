/**
 * Messages between the limit tasks of two instances.
 *
 * @packageDocumentation
 */
import type { ServedTokenCounters } from "../fairness/index.js";
import type { Milliseconds } from "../shared/index.js";

/** Name of something that is counted: `account/NAME`, `loads/rate` or `loads/inFlight`. */
export type ResourceId = string;

/** Number of a draw or loan, unique for the instance that made it. */
export type ExchangeNumber = number;

/** Messages of the exchange of tokens; a lost one loses tokens and never makes any. */
export type LimitsMessage =
    /** Asks the resource's pooling instance for tokens; the sender waits no longer than `wait`. */
    | {
        readonly kind: "draw";
        readonly draw: ExchangeNumber;
        readonly resource: ResourceId;
        readonly amount: number;
        /** How many of them may come back after their use. */
        readonly mayReturn: number;
        readonly priority: number;
        readonly wait: Milliseconds;
    }
    /** The tokens may be spent until `validFor` after the draw was sent. */
    | { readonly kind: "granted"; readonly draw: ExchangeNumber; readonly validFor: Milliseconds; }
    | {
        readonly kind: "refused";
        readonly draw: ExchangeNumber;
        readonly retryAfter: Milliseconds;
        /** Whether some slices were out of reach. */
        readonly partial: boolean;
    }
    /** The draw waits for tokens to accrue. */
    | { readonly kind: "queued"; readonly draw: ExchangeNumber; }
    /** Takes back a draw whose caller went away. */
    | { readonly kind: "cancelled"; readonly draw: ExchangeNumber; }
    /** Ends the use of drawn units; the unspent ones come back. */
    | { readonly kind: "released"; readonly draw: ExchangeNumber; readonly unspent: number; }
    /** Asks a member to lend of its slice. */
    | {
        readonly kind: "borrow";
        readonly loan: ExchangeNumber;
        readonly resource: ResourceId;
        readonly amount: number;
        readonly mayReturn: number;
    }
    /** Lends `amount` until `validFor` after the request was sent; `level` is what is left. */
    | {
        readonly kind: "lent";
        readonly loan: ExchangeNumber;
        readonly amount: number;
        readonly validFor: Milliseconds;
        readonly level: number;
    }
    /** Gives unspent tokens of a loan back before it ends. */
    | {
        readonly kind: "returned";
        readonly loan: ExchangeNumber;
        readonly resource: ResourceId;
        readonly amount: number;
    }
    /** Shares what accounts were served, for fair queueing. */
    | { readonly kind: "served"; readonly counters: ServedTokenCounters; };
