/**
 * Options of the coordinator of adapters on engines.
 *
 * @packageDocumentation
 */
import type { PeerNetwork } from "../peers/index.js";
import type { ColdServers } from "../serving/coldServers.js";
import type { BackendServer, EngineLimits, ServerRunId } from "../serving/types.js";
import type { Clock, FailureDomainId, InstanceId, Milliseconds, SeededRandom } from "../shared/index.js";
import type { RoomDecision } from "./roomPool.js";
import type { ShardHolder } from "./shardHolders.js";
import type { EngineControl } from "./types.js";

/** Where an instance learned that a server is about to stop. */
export type LeavingSource = "response" | "engine" | "instance";

/** Options of the adapter coordinator. */
export interface AdapterCoordinatorOptions {
    readonly self: InstanceId;
    /** Identifies one run of the process, so that requests of an earlier run can't be taken for those of this one. */
    readonly runId: string;
    readonly failureDomain: FailureDomainId;
    readonly shardCount: number;
    readonly control: EngineControl;
    readonly clock: Clock;
    readonly random: SeededRandom;
    readonly network: PeerNetwork;
    /** Reads the holders of all shards from the store; `undefined` when that fails. */
    readonly readHolders: () => Promise<readonly ShardHolder[] | undefined>;
    /** All engines in the list of servers, also draining ones. */
    readonly listEngines: () => readonly BackendServer[];
    /** Engines of a service that accept requests. */
    readonly listUsable: (service: string) => readonly BackendServer[];
    /** Whether a run of a server takes requests: it is listed, and neither draining nor leaving. */
    readonly isServing: (run: ServerRunId) => boolean;
    /** Whether a run of a server may receive requests and orders now. */
    readonly mayReceive: (run: ServerRunId) => boolean;
    /** Whether a run of a server has announced that it is about to stop. */
    readonly isLeaving: (run: ServerRunId) => boolean;
    /** Whether nothing may be sent to a server, as its failure domain is evacuated. @default none is */
    readonly isEvacuated?: (server: BackendServer) => boolean;
    /** Filters the engines in some regions. @default none is in a region */
    readonly filterByRegions?: (
        engines: readonly BackendServer[],
        regions: readonly string[],
    ) => readonly BackendServer[];
    /** Called when an engine's response to an order or a report, or another instance, tells that a server leaves. */
    readonly onLeaving: (run: ServerRunId, learnedFrom: LeavingSource) => void;
    readonly findLimits: (service: string) => EngineLimits | undefined;
    /** Called with each decision on a request for a place here. @default nothing is called */
    readonly onRoomDecision?: (decision: RoomDecision) => void;
    /** Time from a version's announcement during which requests may still start on older ones. */
    readonly versionGracePeriod: Milliseconds;
    /** Coldness of the servers. @default none is ever cold */
    readonly cold?: ColdServers;
    /** Time after which the store reassigns the shards of an instance that is silent. @default 0 */
    readonly shardTtl?: Milliseconds;
}
