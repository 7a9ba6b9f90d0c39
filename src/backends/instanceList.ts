/**
 * What the system needs of the platform's list of instances and backend servers.
 *
 * @packageDocumentation
 */
import type { BackendServerId, BaseModelId, FailureDomainId, InstanceId, RegionId, Result } from "../shared/index.js";

/** Whether an entry stays or is on its way out. */
export type ListedState = "live" | "leaving";

/** Fields that all entries share. */
export interface ListedEntry {
    /** IP and port, such as `127.0.0.1:7000`. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly region: RegionId;
    readonly state: ListedState;
}

/** One of the system's own instances. */
export interface ListedInstance extends ListedEntry {
    readonly kind: "instance";
    readonly id: InstanceId;
}

/** A model engine. */
export interface ListedEngine extends ListedEntry {
    readonly kind: "engine";
    readonly id: BackendServerId;
    readonly baseModel: BaseModelId;
    /** Pool that routes name. */
    readonly pool: string;
    /** Adapter slots. */
    readonly adapterSlots: number;
    /** Requests that one step can batch. */
    readonly batchLimit: number;
    /** Whether it refuses orders with an old fencing number. */
    readonly fencing: "checked" | "ignored";
}

/** A plain service, such as the order or booking servers. */
export interface ListedService extends ListedEntry {
    readonly kind: "service";
    readonly id: BackendServerId;
    /** Pool that routes name. */
    readonly pool: string;
}

/** A backend server. */
export type ListedBackendServer = ListedEngine | ListedService;

/** One answer of the list. */
export interface Listing {
    readonly instances: readonly ListedInstance[];
    readonly backendServers: readonly ListedBackendServer[];
}

/** Why the list could not be had. */
export interface InstanceListError {
    readonly kind: "unavailable";
    readonly detail: string;
}

/** The platform's list; it lags behind what is. */
export interface InstanceList {
    readonly list: (signal?: AbortSignal) => Promise<Result<Listing, InstanceListError>>;
}
