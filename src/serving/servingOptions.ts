/**
 * What an instance is created from: its settings, and the systems that it depends on.
 *
 * @packageDocumentation
 */
import type { EngineControl, ShardGroup } from "../adapters/types.js";
import type { Clock, FailureDomainId, Milliseconds } from "../shared/index.js";
import type { UndecodedHeader } from "./servingMetrics.js";
import type { QuotaBounds } from "./startAllowance.js";
import type { StoreEras } from "./storeEras.js";
import type { ExpiringLog, HeaderCodec, KeyedLog, RecordCodec } from "./types.js";

/** Clients and codecs for the systems that an instance depends on. */
export interface ServingDependencies {
    /** Keyed topics of the platform's store. */
    readonly log: KeyedLog;
    /** Eras of the store, of which its client learns. @default the store names none */
    readonly eras?: StoreEras;
    /** Log of what began streams. */
    readonly streams: ExpiringLog;
    /** Group in which the store assigns shards of engines to instances. */
    readonly shards: ShardGroup;
    /** Calls that load and unload adapters. */
    readonly control: EngineControl;
    /** Codec of the headers of requests and responses. */
    readonly headers: HeaderCodec;
    /** Decoders of the records in keyed topics. */
    readonly records: RecordCodec;
    /** Headers of responses that no codec decodes, for the metrics. @default none */
    readonly listUndecodedHeaders?: () => readonly UndecodedHeader[];
}

/** Settings of an instance. Its bounds and its grace may change while it runs: each is read when it is needed. */
export interface ServingOptions {
    /** Name that is kept over restarts. */
    readonly instanceName: string;
    /** IP address of all ports. */
    readonly host: string;
    readonly failureDomain: FailureDomainId;
    /** Region of the instance. @default it is in none */
    readonly region?: string | undefined;
    /** Region of each failure domain of the deployment; others can't be evacuated and are in no region. @default none */
    readonly regionsByDomain?: ReadonlyMap<FailureDomainId, string>;
    /** Processor time that the instance may use, in cores; the largest instances hold the shards of engines. */
    readonly cores: number;
    readonly clientPort: number;
    /** Port of the readiness probe. */
    readonly readyPort: number;
    /** Port for connections between instances. */
    readonly peerPort: number;
    /** Port that serves `/metrics`. */
    readonly metricsPort: number;
    /** Number of shards into which the engines are divided. */
    readonly shardCount: number;
    /** Time after which the store reassigns the shards of an instance that has stopped renewing its membership. */
    readonly shardTtl: Milliseconds;
    /**
     * Time for which orders (calls that load or unload adapters) of the former holder of a shard may still take effect.
     * Where engines don't refuse such orders, a new holder waits that long before its first one, unless it has itself
     * started within this time.
     */
    readonly orderLease: Milliseconds;
    /** Whether engines refuse orders of former holders, which carry an old fencing number. */
    readonly areOrdersFenced: boolean;
    /** Time after the withdrawal of a key from which no request with it may be served. */
    readonly revocationBound: Milliseconds;
    /** Time after the publication of an adapter version from which older versions must not be used for new requests. */
    readonly versionBound: Milliseconds;
    /** Time from the request to evacuate a failure domain from which nothing may be sent to its servers. @default 5000 */
    readonly evacuationBound?: Milliseconds;
    /** Interval at which servers write their entries to the store. */
    readonly serverHeartbeat: Milliseconds;
    /** Time from SIGTERM until the platform kills the process. */
    readonly grace: Milliseconds;
    /** Whether the whole system starts for the first time, so that no server has served before. */
    readonly isFirstStart: boolean;
    /** Bounds within which quotas of client accounts may be exceeded. */
    readonly quota: QuotaBounds;
    /** Factor and number of requests by which a cold server may get more than it tolerates. @default 1 and 0 */
    readonly cold?: { readonly over: number; readonly slack: number; };
    /** Limit on the retries of all instances together, see `RetryBudgetOptions`. */
    readonly retry: { readonly window: Milliseconds; readonly ratio: number; readonly slack: number; };
    readonly clock: Clock;
}

/** An instance; it can be run once. */
export interface ServingInstance {
    /** Runs the instance until the signal is aborted or its tasks fail, then drains it; resolves when that is done. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}
