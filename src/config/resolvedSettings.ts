/**
 * Settings after inheritance, in the form that the rest of the instance reads.
 *
 * @packageDocumentation
 */
import type {
    AdapterId,
    AdapterVersion,
    BaseModelId,
    ClientAccountId,
    KeyHash,
    LogOffset,
    Milliseconds,
    RouteId,
} from "../shared/index.js";

/** Scheduling class of a request; `interactive` requests are served before `overnight` ones. */
export type RequestClass = "interactive" | "overnight";

/** Limits of a client account, counted in tokens over all instances. */
export interface ResolvedLimits {
    /** Tokens per second. */
    readonly rate: number;
    /** Tokens that may be spent at once. */
    readonly burst: number;
}

/** A client account with its limits. */
export interface ResolvedClientAccount {
    readonly id: ClientAccountId;
    readonly limits: ResolvedLimits;
    /** Share in fair queueing, relative to other accounts. */
    readonly weight: number;
}

/** A key that was granted to a client account. */
export interface ResolvedKey {
    /** Name of the key's node. */
    readonly id: string;
    readonly hash: KeyHash;
    readonly account: ClientAccountId;
}

/** Fields of every route, whatever its kind. */
export interface ResolvedRouteBase {
    readonly id: RouteId;
    /** Whether a call without a key is served. */
    readonly access: "open" | "keyed";
    /** Accounts that may use a keyed route; `undefined` means every account. */
    readonly accounts: readonly ClientAccountId[] | undefined;
    /** Account that is charged for calls without a key on an open route. */
    readonly openAccount: ClientAccountId | undefined;
    /** Pool of backend servers that serves the route. */
    readonly pool: string;
    readonly requestClass: RequestClass;
    /** Longest time from the arrival of a request to the end of its response. */
    readonly deadline: Milliseconds;
    /** Retries allowed as a fraction of first attempts, from 0 to 1. */
    readonly retryBudget: number;
}

/** A route to model engines. */
export interface ResolvedModelRoute extends ResolvedRouteBase {
    readonly kind: "model";
    readonly baseModel: BaseModelId;
    /** Adapter that the route runs; `undefined` runs the base model without an adapter. */
    readonly adapter: AdapterId | undefined;
    /** Upper limit of output tokens per request. */
    readonly maximumOutputTokens: number;
}

/** A route to a plain service. */
export interface ResolvedServiceRoute extends ResolvedRouteBase {
    readonly kind: "service";
    /** Whether a call may be run more than once. */
    readonly repeat: "idempotent" | "once";
    /** Tokens that one call is charged against the account's limits. */
    readonly costTokens: number;
}

/** A route of either kind. */
export type ResolvedRoute = ResolvedModelRoute | ResolvedServiceRoute;

/** An adapter with its base model and current version. */
export interface ResolvedAdapter {
    readonly id: AdapterId;
    readonly baseModel: BaseModelId;
    readonly version: AdapterVersion;
}

/** Limits on loading adapters from the weight store. */
export interface ResolvedWeightStore {
    /** Loads that may start per second, over all instances. */
    readonly loadsPerSecond: number;
    /** Loads that may start at once. */
    readonly loadBurst: number;
    /** Concurrent loads up to which each one still runs at full speed. */
    readonly loadsInFlight: number;
}

/** The current settings, resolved and read-only. */
export interface ResolvedSettings {
    /** Offset of the last record that was applied; -1 before the first. */
    readonly appliedOffset: LogOffset;
    readonly accounts: ReadonlyMap<ClientAccountId, ResolvedClientAccount>;
    readonly keys: ReadonlyMap<KeyHash, ResolvedKey>;
    readonly routes: ReadonlyMap<RouteId, ResolvedRoute>;
    readonly adapters: ReadonlyMap<AdapterId, ResolvedAdapter>;
    readonly weightStore: ResolvedWeightStore;
}

/** Read access to the current settings. */
export interface SettingsView {
    /** Returns the current settings, or `undefined` before the first complete tree was read. */
    readonly read: () => ResolvedSettings | undefined;
    /** Calls the listener after each change of the settings until the returned function is called. */
    readonly subscribe: (listener: (settings: ResolvedSettings) => void) => () => void;
}
