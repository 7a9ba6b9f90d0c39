/**
 * What the request path needs of placement and routing.
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

/** A request for a place to run. */
export interface PlacementRequest {
    readonly requestId: RequestId;
    readonly account: ClientAccountId;
    readonly requestClass: RequestClass;
    readonly pool: string;
    readonly baseModel: BaseModelId;
    readonly adapter: AdapterReference | undefined;
    /** Estimated prompt and output tokens. */
    readonly tokens: number;
    /** Hash of the prompt's beginning, for engines that cache prefixes. */
    readonly prefixHash: string;
    /** Engines that have just failed this request. */
    readonly excludedEngines: readonly BackendServerId[];
    readonly deadline: Milliseconds;
}

/** A place to run: the adapter is resident on the engine and stays so until the pin is released. */
export interface Pin {
    readonly engine: BackendServerId;
    readonly address: string;
    readonly incarnation: EngineIncarnation;
    readonly adapter: AdapterReference | undefined;
    /** Time that the request waited for its adapter to be loaded. */
    readonly loadStall: Milliseconds;
    /** Time that the request waited for a place in a batch. */
    readonly queueWait: Milliseconds;
    /** Whether the pin still holds; to be asked immediately before the request is sent. */
    readonly isValid: (now: Milliseconds) => boolean;
    /** Gives the place back; further calls do nothing. */
    readonly release: (outcome: PinOutcome) => void;
}

/** What a use of an engine showed of it. */
export type PinOutcome = "completed" | "cancelled" | "engineFailed" | "engineRestarted" | "notUsed";

/** Why there is no place; in each case the request was not run. */
export type PlacementError =
    | { readonly kind: "noEngine"; readonly detail: string; }
    | { readonly kind: "loadFailed"; readonly detail: string; readonly retryAfter: Milliseconds; }
    | { readonly kind: "overloaded"; readonly retryAfter: Milliseconds; }
    | { readonly kind: "deadlinePassed"; }
    | { readonly kind: "aborted"; };

/** Finds places to run. */
export interface Placement {
    readonly acquire: (request: PlacementRequest, signal: AbortSignal) => Promise<Result<Pin, PlacementError>>;
}
