/**
 * Effects that the limiter core returns and the limits task carries out.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { ExchangeNumber, LimitsMessage } from "./messages.js";

/** Why a draw was refused. */
export type DrawRefusalCause =
    /** The buckets of all members were reachable, but did not hold enough units. */
    | "overLimit"
    /** Some members' buckets were unreachable. */
    | "partial"
    /** This instance may not grant units itself and reaches no member that may. */
    | "notReady";

/** An action that the limiter core asks for: sending a message, or completing a draw. */
export type LimitEffect =
    | { readonly kind: "send"; readonly to: InstanceId; readonly message: LimitsMessage; }
    /**
     * The units may be spent as long as the monotonic time, checked immediately before use, is below `validUntil`. They
     * come from the instance's local bucket (`slice`) or from units that the coordinator borrowed (`pool`).
     */
    | {
        readonly kind: "grant";
        readonly draw: ExchangeNumber;
        readonly validUntil: Milliseconds;
        readonly source: "slice" | "pool";
    }
    | {
        readonly kind: "refuse";
        readonly draw: ExchangeNumber;
        readonly retryAfter: Milliseconds;
        readonly cause: DrawRefusalCause;
    };

/** Receives effects in the order in which they have to be carried out. */
export type EffectSink = (effect: LimitEffect) => void;
