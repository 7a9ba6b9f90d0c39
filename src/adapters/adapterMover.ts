/**
 * Has the adapters of an engine that takes no more requests loaded on other engines, busiest first, so that the requests
 * that ask for them next don't wait for a load.
 *
 * @packageDocumentation
 */
import type { BackendServer } from "../serving/types.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { EngineFinder } from "./engineFinder.js";
import type { EngineShards } from "./engineShards.js";
import { type AdapterKey, type AdapterMessage, parseAdapterKey } from "./messages.js";

/** Request of one holder to another to have adapters loaded, busiest first. */
export type PrepareMessage = Extract<AdapterMessage, { readonly kind: "prepare"; }>;

/** Dependencies of the mover. */
export interface AdapterMoverOptions {
    readonly self: InstanceId;
    readonly shards: EngineShards;
    readonly finder: Pick<EngineFinder, "find">;
    /** Engines of a service that accept requests. */
    readonly listUsable: (service: string) => readonly BackendServer[];
    readonly findHolder: (shard: number) => InstanceId | undefined;
    readonly send: (holder: InstanceId, message: PrepareMessage) => void;
}

/** Mover of adapters between engines. */
export interface AdapterMover {
    /** Asks the holders at which requests for the adapters will arrive; `adapters` is in the order of their demand. */
    readonly move: (service: string, adapters: readonly AdapterKey[]) => void;
    /** Loads adapters on engines of this holder, unless they are resident on one. */
    readonly loadAhead: (message: PrepareMessage) => void;
}

/** Loads that no request waits for yet go after all others. */
const priority = 10;
/** Time after which the requests that would have used the load have caused one themselves. */
const patienceMilliseconds: Milliseconds = 3_000;

/**
 * Creates the mover.
 *
 * @param options - shards, their holders and the finder of this instance
 * @returns the mover
 */
export function createAdapterMover(options: AdapterMoverOptions): AdapterMover {
    // no client waits for these loads
    const { signal } = new AbortController();
    const loadAhead = ({ service, adapters }: PrepareMessage): void => {
        for (const key of adapters) {
            const request = {
                id: `move ${key}`,
                service,
                ...parseAdapterKey(key),
                excluded: [],
                priority,
                usefulFor: 0,
                patience: patienceMilliseconds,
                deadline: patienceMilliseconds,
                isLoadIgnored: true,
            };
            startTask("load ahead", () => options.finder.find(request, signal));
        }
    };
    return {
        loadAhead,
        move: (service, adapters) => {
            const byHolder = new Map<InstanceId, AdapterKey[]>();
            for (const key of adapters) {
                const [preferred] = options.shards.rank(options.listUsable(service), key, 1);
                const holder = preferred && options.findHolder(preferred.shard);
                if (holder !== undefined) {
                    byHolder.set(holder, [...byHolder.get(holder) ?? [], key]);
                }
            }
            for (const [holder, keys] of byHolder) {
                const message: PrepareMessage = { kind: "prepare", service, adapters: keys };
                if (holder === options.self) {
                    loadAhead(message);
                }
                else {
                    options.send(holder, message);
                }
            }
        },
    };
}
