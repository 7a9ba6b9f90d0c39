/**
 * Obtains a place on an engine for a request of this instance: asks the holders of the shards that the request's
 * adapter prefers, one after the other. While the holder of a shard doesn't respond, the request goes to the engine on
 * which its adapter was last, and then to the engines of other holders.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import { permitLifetimeMilliseconds } from "../routing/index.js";
import type { SendPermit } from "../serving/coldServers.js";
import {
    type AnswerReport,
    type BackendServer,
    formatServerRunId,
    type ModelChoice,
    type PlaceOutcome,
    type ServerRunId,
    type SoftwareVersion,
} from "../serving/types.js";
import { type Clock, createLogger, type InstanceId, type Milliseconds, waitUnlessAborted } from "../shared/index.js";
import { createWaitLimit, startTask } from "../supervision/index.js";
import type { AdapterVersions } from "./adapterVersions.js";
import type { EngineShards } from "./engineShards.js";
import {
    type AdapterKey,
    formatAdapterKey,
    type PlaceDemand,
    type PlacePermit,
    type PlaceRequest,
    type PlaceResponse,
} from "./messages.js";
import type { ShardHolders } from "./shardHolders.js";

/** Parameters for a place. Times are on the instance's clock. */
export interface AcquireRequest extends Omit<PlaceDemand, "objective"> {
    readonly service: string;
    readonly choice: ModelChoice;
    /** Software version that the engine must have; `undefined` for any. */
    readonly softwareVersion: SoftwareVersion | undefined;
    /** All engines of the service that accept requests; called again after each wait. */
    readonly listServers: () => readonly BackendServer[];
    /** Engines that must not be used. */
    readonly excluded: ReadonlySet<ServerRunId>;
    /** Engines of which one must be used; `undefined` for any. */
    readonly allowed: ReadonlySet<ServerRunId> | undefined;
    /** Time at which the request stops waiting for a place. */
    readonly until: Milliseconds;
    /** Time at which the request has ended at the latest. */
    readonly deadlineAt: Milliseconds;
    /** Priority of the request; lower numbers go first. */
    readonly priority: number;
    /** Latest end of a load with which the request can still be answered within its target latency. */
    readonly usefulUntil: Milliseconds;
    /** End of the latency objective; missing where it isn't known. */
    readonly objectiveAt?: Milliseconds | undefined;
    /** Whether an engine may become usable while none is; the request ends at once where it can't. @default it may */
    readonly canWait?: () => boolean;
    /** Called when a holder has no room in time, before `acquire` resolves; `wait` is the time until there is. */
    readonly onRefused?: (wait: Milliseconds) => void;
    /** Aborted when the request may not begin any more. */
    readonly signal: AbortSignal;
}

/** Place on an engine. */
export interface AcquiredEngine {
    readonly server: BackendServer;
    /** Version that the engine must have; `undefined` while any version is allowed. */
    readonly requiredVersion: number | undefined;
    /** Permit of the holder, where servers of the service can be cold. */
    readonly permit: SendPermit | undefined;
    /** Gives the place back; must be called once. */
    readonly release: (outcome: PlaceOutcome, report?: AnswerReport) => void;
    /** Tells the holder that the answer has begun; missing where the holder doesn't want to know. */
    readonly begin?: ((report: AnswerReport) => void) | undefined;
}

/** Dependencies of the client. */
export interface PlaceClientOptions {
    /** Identifies one run of this process; begins the ids of its requests. */
    readonly runId: string;
    readonly clock: Clock;
    readonly shards: EngineShards;
    readonly holders: ShardHolders;
    readonly versions: AdapterVersions;
    /** Whether a server is limited or may be cold, so that only its holder may let requests go there. */
    readonly isLimited: (run: ServerRunId) => boolean;
    /**
     * Whether an engine is known to be cold, so that a place on it needs a permit, which holders of older builds don't
     * give. @default none is
     */
    readonly isStatedCold?: (run: ServerRunId) => boolean;
    /**
     * Makes sure that a holder which gives places without permits knows that an engine is cold; returns whether it had
     * been told before, so that it has decided otherwise since. @default it knows
     */
    readonly confirmColdness?: (holder: InstanceId, server: BackendServer) => boolean;
    /** Whether an engine has announced that it is about to stop; its holder may not know yet. */
    readonly isLeaving: (run: ServerRunId) => boolean;
    /** Tells a holder that an engine is about to stop. */
    readonly reportLeaving: (holder: InstanceId, run: ServerRunId) => void;
    /** Asks a holder, also when that is this instance itself; `undefined` when it doesn't respond in time. */
    readonly ask: (holder: InstanceId, shard: number, request: PlaceRequest) => Promise<PlaceResponse | undefined>;
    /** Tells a holder that a request has ended. */
    readonly end: (holder: InstanceId, id: string, outcome: PlaceOutcome, report?: AnswerReport) => void;
    /** Tells a holder that the answer to a request has begun. */
    readonly begin: (holder: InstanceId, id: string, report: AnswerReport) => void;
}

/** Client for places on engines. */
export interface PlaceClient {
    /** Waits for a place; resolves with `undefined` when there is none before the request's `until`. */
    readonly acquire: (request: AcquireRequest) => Promise<AcquiredEngine | undefined>;
}

interface AskedHolder {
    readonly response: PlaceResponse | undefined;
    /** Time at which the question was sent that was answered. */
    readonly askedAt: Milliseconds;
}

type AskedPlace =
    | { readonly kind: "acquired"; readonly engine: AcquiredEngine; }
    | { readonly kind: "busy"; readonly load: number; }
    | { readonly kind: "refused"; readonly wait: Milliseconds; }
    | { readonly kind: "unavailable"; }
    | { readonly kind: "noHolder"; };

/** Number of shards that are tried for one request before the emptiest of them is used. */
const triedShardCount = 3;
/** Times that a holder is asked again at once which gave a place on an engine that can't be used. */
const maximumAsks = 2;
/** Pause before all shards are tried again, when no engine could be used or no holder responded. */
const retryIntervalMilliseconds = 150;
/** Number of adapters whose last engine is remembered. */
const rememberedAdapterCount = 1_000;
const log = createLogger("adapters");

// requests for a base model alone go to all of its engines; those that share a beginning of their prompt, to the same ones
function describeSpread({ choice, parts, account }: AcquireRequest, key: AdapterKey): string {
    return choice.adapter === undefined ? `${key}${parts?.[0]?.[0] ?? account ?? ""}` : key;
}

/**
 * Creates the client.
 *
 * @param options - shards, their holders and the calls to them
 * @returns the client
 */
export function createPlaceClient(options: PlaceClientOptions): PlaceClient {
    const { clock, holders } = options;
    const lastEngines = new LRUCache<AdapterKey, ServerRunId>({ max: rememberedAdapterCount });
    let lastRequest = 0;
    // a new holder may not know yet what responses have told
    const isPermitted = (holder: InstanceId, server: BackendServer, permit: SendPermit | undefined): boolean => {
        if (permit?.until !== undefined) {
            return clock.now() <= permit.until;
        }
        const isCold = options.isStatedCold?.(formatServerRunId(server)) ?? false;
        return !isCold || (permit !== undefined && (options.confirmColdness?.(holder, server) ?? true));
    };
    const describePlace = (
        request: AcquireRequest,
        holder: InstanceId,
        id: string,
        response: Extract<PlaceResponse, { readonly kind: "placed"; }>,
        askedAt: Milliseconds,
    ): AcquiredEngine | undefined => {
        const run = formatServerRunId(response.server);
        const permit = describePermit(response.permit, askedAt);
        const server = request.listServers().find(listed => formatServerRunId(listed) === run);
        return !server || !isPermitted(holder, server, permit) ? undefined : {
            server,
            permit,
            requiredVersion: response.version,
            release: (outcome, report) => options.end(holder, id, outcome, report),
            begin: response.isFirstEventWanted ? report => options.begin(holder, id, report) : undefined,
        };
    };
    const createMessage = (request: AcquireRequest, id: string, isLoadIgnored: boolean): PlaceRequest => {
        const now = clock.now();
        return {
            id,
            service: request.service,
            ...request.choice,
            softwareVersion: request.softwareVersion,
            excluded: [...request.excluded],
            allowed: request.allowed && [...request.allowed],
            priority: request.priority,
            usefulFor: request.usefulUntil - now,
            patience: request.until - now,
            deadline: request.deadlineAt - now,
            isLoadIgnored,
            route: request.route,
            account: request.account,
            tokens: request.tokens,
            parts: request.parts,
            objective: request.objectiveAt === undefined ? undefined : request.objectiveAt - now,
            regions: request.regions,
        };
    };
    // engines of another version don't help a stream that is bound to one, so that it needn't wait for them
    const hasUsableEngine = (request: AcquireRequest): boolean =>
        (request.softwareVersion === undefined && request.canWait?.() !== false) ||
        request.listServers().some(server => !request.excluded.has(formatServerRunId(server)));
    const isWithinTime = (request: AcquireRequest): boolean => !request.signal.aborted && clock.now() < request.until;
    const isOpen = (request: AcquireRequest): boolean => isWithinTime(request) && hasUsableEngine(request);
    const requestUntilDecided = async (
        request: AcquireRequest,
        holder: InstanceId,
        shard: number,
        message: PlaceRequest,
    ): Promise<AskedHolder> => {
        let hasWaited = false;
        for (;;) {
            const askedAt = clock.now();
            const response = await waitUnlessAborted(options.ask(holder, shard, message), request.signal);
            // one that has lost the shard may still give the request a place on another
            if (hasWaited && response?.kind === "notHolder") {
                options.end(holder, message.id, "unknown");
            }
            hasWaited = true;
            if (response?.kind !== "waiting" && !request.signal.aborted) {
                return { response, askedAt };
            }
            if (!isOpen(request)) {
                options.end(holder, message.id, "unknown");
                return { response: { kind: "unavailable" }, askedAt };
            }
        }
    };
    const requestPlace = async (
        request: AcquireRequest,
        shard: number,
        isLoadIgnored: boolean,
        asksLeft = maximumAsks,
    ): Promise<AskedPlace> => {
        const holder = holders.find(shard);
        if (holder === undefined || holders.isSilent(holder)) {
            startTask("holders of shards", holders.refresh);
            return { kind: "noHolder" };
        }
        lastRequest++;
        const id = `${options.runId} ${lastRequest}`;
        const message = createMessage(request, id, isLoadIgnored);
        const { response, askedAt } = await requestUntilDecided(request, holder, shard, message);
        switch (response?.kind) {
            case "placed": {
                const engine = describePlace(request, holder, id, response, askedAt);
                if (engine) {
                    return { kind: "acquired", engine };
                }
                options.end(holder, id, "unknown");
                const run = formatServerRunId(response.server);
                if (asksLeft === 0 || !isOpen(request)) {
                    return { kind: "unavailable" };
                }
                if (options.isLeaving(run)) {
                    options.reportLeaving(holder, run);
                    return requestPlace(request, shard, isLoadIgnored, asksLeft - 1);
                }
                // its holder may not know of an evacuation yet, or be of a build that knows no homes
                const excluded = new Set([...request.excluded, run]);
                return requestPlace({ ...request, excluded }, shard, isLoadIgnored, asksLeft - 1);
            }
            case "busy":
            case "refused":
            case "unavailable":
                return response;
            case "notHolder":
                startTask("holders of shards", holders.refresh);
                return { kind: "noHolder" };
            case "waiting":
            case undefined:
                log.warn("holder silent", { request: id, shard, holder });
                options.end(holder, id, "unknown");
                startTask("holders of shards", holders.refresh);
                return { kind: "noHolder" };
        }
    };
    // without a holder to ask, the engine where the adapter was last probably still holds it; if not, it refuses
    const findLastEngine = (
        request: AcquireRequest,
        key: AdapterKey,
        guessed: Set<ServerRunId>,
    ): AcquiredEngine | undefined => {
        const run = lastEngines.get(key);
        const isUsable = run !== undefined && !guessed.has(run) && !options.isLimited(run) &&
            (!request.allowed || request.allowed.has(run));
        if (!isUsable) {
            return undefined;
        }
        const server = request.listServers().find(listed => formatServerRunId(listed) === run);
        const holder = server && holders.find(options.shards.findShard(server.id));
        if (!server || (holder !== undefined && !holders.isSilent(holder))) {
            return undefined;
        }
        guessed.add(run);
        return {
            server,
            requiredVersion: options.versions.findOldestAllowed(key, clock.now()),
            permit: undefined,
            release: () => undefined,
        };
    };
    const tryShards = async (
        request: AcquireRequest,
        key: AdapterKey,
        guessed: Set<ServerRunId>,
    ): Promise<AcquiredEngine | "refused" | undefined> => {
        const ranked = options.shards.rank(request.listServers(), describeSpread(request, key), triedShardCount);
        let emptiest: { readonly shard: number; readonly load: number; } | undefined;
        for (const candidate of ranked) {
            const asked = await requestPlace(request, candidate.shard, false);
            if (asked.kind === "acquired") {
                lastEngines.set(key, formatServerRunId(asked.engine.server));
                return asked.engine;
            }
            if (asked.kind === "busy" && asked.load < (emptiest?.load ?? Number.POSITIVE_INFINITY)) {
                emptiest = { shard: candidate.shard, load: asked.load };
            }
            if (asked.kind === "refused") {
                request.onRefused?.(asked.wait);
                return "refused";
            }
            const engine = asked.kind === "noHolder" ? findLastEngine(request, key, guessed) : undefined;
            if (engine) {
                return engine;
            }
            if (request.signal.aborted || !hasUsableEngine(request)) {
                return undefined;
            }
        }
        const asked = emptiest && await requestPlace(request, emptiest.shard, true);
        if (asked?.kind === "refused") {
            request.onRefused?.(asked.wait);
            return "refused";
        }
        return asked?.kind === "acquired" ? asked.engine : undefined;
    };
    const findPlace = async (request: AcquireRequest): Promise<AcquiredEngine | undefined> => {
        const key = formatAdapterKey(request.choice.model, request.choice.adapter ?? "");
        const guessed = new Set<ServerRunId>(request.excluded);
        while (isOpen(request)) {
            const engine = await tryShards(request, key, guessed);
            if (engine) {
                return engine === "refused" ? undefined : engine;
            }
            if (isOpen(request)) {
                await clock.sleep(retryIntervalMilliseconds, request.signal);
            }
        }
        return undefined;
    };
    return {
        acquire: async request => {
            const limit = createWaitLimit(clock, request.until, request.signal);
            try {
                return await findPlace({ ...request, signal: limit.signal });
            }
            finally {
                limit.finish();
            }
        },
    };
}

// the permit was given after the question was sent, but for the age that the holder states
function describePermit(permit: PlacePermit | undefined, askedAt: Milliseconds): SendPermit | undefined {
    return permit && {
        decidedAt: askedAt - permit.age,
        until: permit.isPaced ? askedAt - permit.age + permitLifetimeMilliseconds : undefined,
    };
}
