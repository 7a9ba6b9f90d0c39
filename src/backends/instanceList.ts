/**
 * Interface to the platform's list of instances and backend servers (service discovery).
 *
 * @packageDocumentation
 */
import type { BackendServerId, BaseModelId, FailureDomainId, InstanceId, RegionId, Result } from "../shared/index.js";

/** State of an entry; `leaving` means that the process is about to be shut down. */
export type ListedState = "live" | "leaving";

/** Fields of all entries of the list. */
export interface ListedEntry {
    /** IP and port, such as `127.0.0.1:7000`. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly region: RegionId;
    readonly state: ListedState;
}

/** Entry of an instance of this serving layer. */
export interface ListedInstance extends ListedEntry {
    readonly kind: "instance";
    readonly id: InstanceId;
}

/** Entry of a model engine. */
export interface ListedEngine extends ListedEntry {
    readonly kind: "engine";
    readonly id: BackendServerId;
    readonly baseModel: BaseModelId;
    /** Pool that the server belongs to; routes refer to backend servers by pool. */
    readonly pool: string;
    /** Maximum number of adapters loaded at the same time. */
    readonly adapterSlots: number;
    /** Maximum number of requests that run in one batch. */
    readonly batchLimit: number;
    /** Whether the engine refuses orders with an outdated fencing number. */
    readonly fencing: "checked" | "ignored";
}

/** Entry of a plain service: an HTTP server that is not a model engine, such as an order or booking server. */
export interface ListedService extends ListedEntry {
    readonly kind: "service";
    readonly id: BackendServerId;
    /** Pool that the server belongs to; routes refer to backend servers by pool. */
    readonly pool: string;
}

/** Entry of a backend server of either kind. */
export type ListedBackendServer = ListedEngine | ListedService;

/** Contents of the instance list at one time. */
export interface Listing {
    readonly instances: readonly ListedInstance[];
    readonly backendServers: readonly ListedBackendServer[];
}

/** Why the list could not be fetched. */
export interface InstanceListError {
    readonly kind: "unavailable";
    readonly detail: string;
}

/** Client of the platform's instance list. The list may be out of date. */
export interface InstanceList {
    /** Fetches the current list. */
    readonly list: (signal?: AbortSignal) => Promise<Result<Listing, InstanceListError>>;
}
