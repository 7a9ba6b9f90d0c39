/**
 * The interface of placement for the request path: a request asks for a batch slot on an engine and gets a pin.
 *
 * @packageDocumentation
 */
import type { AdapterReference, EngineIncarnation } from "../backends/index.js";
import type { RequestClass } from "../config/index.js";
import type {
    BackendServerId,
    BaseModelId,
    ClientAccountId,
    Milliseconds,
    RequestId,
    Result,
} from "../shared/index.js";

/** A request for a batch slot on an engine. */
export interface PlacementRequest {
    readonly requestId: RequestId;
    readonly account: ClientAccountId;
    readonly requestClass: RequestClass;
    readonly pool: string;
    readonly baseModel: BaseModelId;
    readonly adapter: AdapterReference | undefined;
    /** Estimated prompt and output tokens. */
    readonly tokens: number;
    /**
     * Hash of the beginning of the prompt; engines that cache prefixes are preferred for a prefix that they have seen.
     */
    readonly prefixHash: string;
    /** Engines that already failed this request; none of them is chosen again. */
    readonly excludedEngines: readonly BackendServerId[];
    readonly deadline: Milliseconds;
}

/** A reserved batch slot on an engine. The adapter stays resident on the engine until the pin is released. */
export interface Pin {
    readonly engine: BackendServerId;
    readonly address: string;
    readonly incarnation: EngineIncarnation;
    readonly adapter: AdapterReference | undefined;
    /** Time that the request waited for its adapter to be loaded. */
    readonly loadStall: Milliseconds;
    /** Time that the request waited for a batch slot after its adapter was resident. */
    readonly queueWait: Milliseconds;
    /** Whether the pin is still valid; callers check it immediately before they send the request to the engine. */
    readonly isValid: (now: Milliseconds) => boolean;
    /** Returns the batch slot and says how the request ended. Only the first call has an effect. */
    readonly release: (outcome: PinOutcome) => void;
}

/** How a request that held a pin ended; placement avoids an engine that failed or restarted. */
export type PinOutcome = "completed" | "cancelled" | "engineFailed" | "engineRestarted" | "notUsed";

/** Why a request got no pin, and therefore wasn't sent to an engine; an earlier attempt may have been sent to one. */
export type PlacementError =
    | { readonly kind: "noEngine"; readonly detail: string; }
    | { readonly kind: "loadFailed"; readonly detail: string; readonly retryAfter: Milliseconds; }
    | { readonly kind: "overloaded"; readonly retryAfter: Milliseconds; }
    | { readonly kind: "deadlinePassed"; }
    | { readonly kind: "aborted"; };

/** Reserves batch slots for requests. */
export interface Placement {
    readonly acquire: (request: PlacementRequest, signal: AbortSignal) => Promise<Result<Pin, PlacementError>>;
}
