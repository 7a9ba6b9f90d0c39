/**
 * Tells the holders of servers' shards which limits the servers have named to this instance, and asks them for permits
 * for servers that have no places of their own.
 *
 * @packageDocumentation
 */
import { type BackendServer, formatServerRunId, type ServerRunId } from "../serving/types.js";
import type { Clock, InstanceId, Milliseconds } from "../shared/index.js";

/** Dependencies of the client. */
export interface PermitClientOptions {
    readonly clock: Clock;
    /** Holder of a server's shard; `undefined` when none is known or it doesn't respond. */
    readonly findHolder: (server: BackendServer) => InstanceId | undefined;
    /** Tells a holder, which may be this instance, of a server's limit. */
    readonly tell: (holder: InstanceId, server: BackendServer, requestsPerSecond: number | undefined) => void;
    /** Asks a holder for a permit; resolves with the time until there is one, or `undefined` without a response. */
    readonly ask: (
        holder: InstanceId,
        server: BackendServer,
        requestsPerSecond: number,
    ) => Promise<Milliseconds | undefined>;
}

/** Client for permits. */
export interface PermitClient {
    /** Records the limit that a response of a server named; `undefined` when it named none. */
    readonly recordLimit: (server: BackendServer, requestsPerSecond: number | undefined) => void;
    /** Whether a server has named a limit to this instance. */
    readonly isLimited: (run: ServerRunId) => boolean;
    /** Takes a permit for a request; one for a server without a limit is always there. */
    readonly acquirePermit: (server: BackendServer) => Promise<boolean>;
    readonly remove: (run: ServerRunId) => void;
}

interface NamedLimit {
    readonly requestsPerSecond: number;
    readonly toldAt: Milliseconds;
    readonly toldTo: InstanceId | undefined;
}

/** Interval at which a holder is told again of a limit that is still named. */
const repeatMilliseconds = 2_000;
/** Wait before a holder is asked again that gave no answer. */
const unansweredWaitMilliseconds = 200;

/**
 * Creates the client.
 *
 * @param options - the holders and the calls to them
 * @returns the client
 */
export function createPermitClient(options: PermitClientOptions): PermitClient {
    const { clock } = options;
    const limits = new Map<ServerRunId, NamedLimit>();
    const waitUntil = new Map<ServerRunId, Milliseconds>();
    return {
        recordLimit: (server, requestsPerSecond) => {
            const run = formatServerRunId(server);
            const known = limits.get(run);
            if (requestsPerSecond === undefined && !known) {
                return;
            }
            const now = clock.now();
            const holder = options.findHolder(server);
            const isDue = known?.requestsPerSecond !== requestsPerSecond || known?.toldTo !== holder ||
                now - known!.toldAt >= repeatMilliseconds;
            if (isDue && holder !== undefined) {
                options.tell(holder, server, requestsPerSecond);
            }
            if (requestsPerSecond === undefined) {
                limits.delete(run);
                waitUntil.delete(run);
                return;
            }
            const toldAt = isDue ? now : known!.toldAt;
            limits.set(run, { requestsPerSecond, toldAt, toldTo: holder });
        },
        isLimited: run => limits.has(run),
        acquirePermit: async server => {
            const run = formatServerRunId(server);
            const limit = limits.get(run);
            if (!limit) {
                return true;
            }
            const holder = options.findHolder(server);
            if (holder === undefined || (waitUntil.get(run) ?? 0) > clock.now()) {
                return false;
            }
            const wait = await options.ask(holder, server, limit.requestsPerSecond) ?? unansweredWaitMilliseconds;
            waitUntil.set(run, clock.now() + wait);
            return wait === 0;
        },
        remove: run => {
            limits.delete(run);
            waitUntil.delete(run);
        },
    };
}
