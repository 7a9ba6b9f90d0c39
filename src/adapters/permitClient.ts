/**
 * Tells the holders of servers' shards which limits the servers have named to this instance, and asks them for permits
 * for servers that have no places of their own.
 *
 * @packageDocumentation
 */
import { permitLifetimeMilliseconds } from "../routing/index.js";
import type { ColdServers, SendPermit } from "../serving/coldServers.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "../serving/types.js";
import type { Clock, InstanceId, Milliseconds } from "../shared/index.js";

/** Dependencies of the client. */
export interface PermitClientOptions {
    readonly clock: Clock;
    readonly cold: Pick<ColdServers, "needsPermit" | "measureRemaining" | "findRate">;
    /** Holder of a server's shard; `undefined` when none is known or it doesn't respond. */
    readonly findHolder: (server: BackendServer) => InstanceId | undefined;
    /** Tells a holder, which may be this instance, of a server's limit. */
    readonly tell: (holder: InstanceId, server: BackendServer, limit: ToldLimit) => void;
    /**
     * Asks a holder for a permit; resolves with the time until there is one, or `undefined` without a response. `coldFor`
     * is `undefined` when the server is limited but not cold.
     */
    readonly ask: (
        holder: InstanceId,
        server: BackendServer,
        requestsPerSecond: number,
        coldFor: Milliseconds | undefined,
    ) => Promise<PermitAnswer | undefined>;
    /** Returns a permit that the server has not taken. */
    readonly giveBack: (holder: InstanceId, server: BackendServer) => void;
}

/** What a response of a server named. */
export interface ToldLimit {
    readonly requestsPerSecond: number | undefined;
    /** How much longer the server stays cold; `undefined` when that isn't told. */
    readonly coldFor: Milliseconds | undefined;
}

/** Answer of a holder. */
export interface PermitAnswer {
    /** Time until there is a permit; 0 grants it now. */
    readonly wait: Milliseconds;
    /** Whether the holder takes permits back. */
    readonly isReturnable: boolean;
}

/** Client for permits. */
export interface PermitClient {
    /** Records the limit that a response of a server named; `undefined` when it named none. */
    readonly recordLimit: (server: BackendServer, requestsPerSecond: number | undefined) => void;
    /** Whether a server has named a limit to this instance. */
    readonly isLimited: (run: ServerRunId) => boolean;
    /** Tells the holder what a response stated of the server's coldness. */
    readonly recordCold: (server: BackendServer, coldFor: Milliseconds) => void;
    /** Whether a holder was told last that a server is cold. */
    readonly isToldCold: (holder: InstanceId, run: ServerRunId) => boolean;
    /** Takes a permit for a request; one for a server that is neither limited nor cold is always there. */
    readonly acquirePermit: (server: BackendServer) => Promise<SendPermit | undefined>;
    /** Returns the permit of a request that the server has not taken. */
    readonly returnPermit: (server: BackendServer) => void;
    /** Time until a holder may be asked again for a permit; 0 when one may be asked now. */
    readonly measureWait: (run: ServerRunId) => Milliseconds;
    readonly remove: (run: ServerRunId) => void;
}

interface NamedLimit {
    readonly requestsPerSecond: number;
    readonly toldAt: Milliseconds;
    readonly toldTo: InstanceId | undefined;
}

interface ToldColdness {
    readonly isCold: boolean;
    readonly at: Milliseconds;
    readonly to: InstanceId;
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
    const toldColdness = new Map<ServerRunId, ToldColdness>();
    const returnableTo = new Map<ServerRunId, InstanceId>();
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
                options.tell(holder, server, { requestsPerSecond, coldFor: undefined });
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
        recordCold: (server, coldFor) => {
            const run = formatServerRunId(server);
            const holder = options.findHolder(server);
            if (holder === undefined) {
                return;
            }
            const now = clock.now();
            const told = toldColdness.get(run);
            const isCold = coldFor > 0;
            if (told?.isCold !== isCold || told.to !== holder || now - told.at >= repeatMilliseconds) {
                toldColdness.set(run, { isCold, at: now, to: holder });
                options.tell(holder, server, { requestsPerSecond: limits.get(run)?.requestsPerSecond, coldFor });
            }
        },
        isToldCold: (holder, run) => {
            const told = toldColdness.get(run);
            return told?.to === holder && told.isCold;
        },
        acquirePermit: async server => {
            const run = formatServerRunId(server);
            const limit = limits.get(run);
            const isCold = options.cold.needsPermit(run);
            const askedAt = clock.now();
            if (!limit && !isCold) {
                return { decidedAt: askedAt, until: undefined };
            }
            const holder = options.findHolder(server);
            if (holder === undefined || (waitUntil.get(run) ?? 0) > askedAt) {
                return undefined;
            }
            const coldFor = isCold ? options.cold.measureRemaining(run) : undefined;
            const rate = limit?.requestsPerSecond ?? options.cold.findRate(run, false, true) ?? 0;
            const answer = await options.ask(holder, server, rate, coldFor);
            const wait = answer?.wait ?? unansweredWaitMilliseconds;
            // of the turns that requests asked for at the same time, the first one
            const known = waitUntil.get(run) ?? 0;
            const turnAt = clock.now() + wait;
            waitUntil.set(run, known > clock.now() ? Math.min(known, turnAt) : turnAt);
            if (wait > 0) {
                return undefined;
            }
            if (answer?.isReturnable) {
                returnableTo.set(run, holder);
            }
            else {
                returnableTo.delete(run);
            }
            return { decidedAt: askedAt, until: isCold ? askedAt + permitLifetimeMilliseconds : undefined };
        },
        returnPermit: server => {
            const holder = returnableTo.get(formatServerRunId(server));
            if (holder !== undefined) {
                options.giveBack(holder, server);
            }
        },
        measureWait: run => Math.max(0, (waitUntil.get(run) ?? 0) - clock.now()),
        remove: run => {
            limits.delete(run);
            waitUntil.delete(run);
            toldColdness.delete(run);
            returnableTo.delete(run);
        },
    };
}
