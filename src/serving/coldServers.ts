/**
 * Keeps for each run of a server whether it is cold, and decides what may be sent to it. A cold run tolerates only a few
 * requests per second from all instances together, for which the holder of the server's shard grants permits.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import {
    type ColdEvent,
    type ColdState,
    computeAllowedRate,
    computeColdLoad,
    computeColdRates,
    isSuspicion,
    unknownColdState,
    updateColdState,
} from "../routing/index.js";
import { type Clock, createLogger, type Milliseconds } from "../shared/index.js";
import {
    type BackendServer,
    formatServerRunId,
    type ServerRunId,
    type ServingService,
    type StatedColdness,
} from "./types.js";

/** Dependencies of the table. */
export interface ColdServersOptions {
    readonly clock: Pick<Clock, "now">;
    /** Present Unix time, from which the age of a run follows. @default that of the process */
    readonly readUnixTime?: () => Milliseconds;
    readonly findService: (name: string) => ServingService | undefined;
    /** Whether this instance is cut off from servers that other instances reach. @default it isn't */
    readonly isCutOff?: () => boolean;
    /** Factor and number of requests by which a cold server may get more than it tolerates. */
    readonly readBounds: () => { readonly over: number; readonly slack: number; };
}

/** Permit for one request to a server. */
export interface SendPermit {
    /** Time of the decision; the server may have turned cold since. */
    readonly decidedAt: Milliseconds;
    /** Time after which the permit is void; `undefined` when the server needed none. */
    readonly until: Milliseconds | undefined;
}

/** What identifies the run of a server, and its service. */
export type ColdServer = Pick<BackendServer, "id" | "startedAt" | "service">;

/** Coldness of all servers. */
export interface ColdServers {
    /** Reads the entries of servers; those of a snapshot are all that there are. */
    readonly readEntries: (entries: readonly BackendServer[], isSnapshot: boolean) => void;
    /** Records that the entry of a server was deleted or has lapsed. */
    readonly markEntryGone: (id: string) => void;
    /** Records a response of a server and what its header states. */
    readonly recordResponse: (server: ColdServer, coldFor: StatedColdness | undefined) => void;
    /** Records that an attempt was answered or could not be sent. */
    readonly recordReached: (run: ServerRunId, isReached: boolean) => void;
    /** Records what another instance was told by a server. */
    readonly recordTold: (run: ServerRunId, remaining: Milliseconds) => void;
    /** Time for which a run stays cold; 0 when it isn't cold. */
    readonly measureRemaining: (run: ServerRunId) => Milliseconds;
    /** Whether a request to a run needs a permit: it is or may be cold, or was so a moment ago. */
    readonly needsPermit: (run: ServerRunId) => boolean;
    /** Whether the run itself, its entry or its start say that it is cold, rather than this instance alone. */
    readonly isStatedCold: (run: ServerRunId) => boolean;
    /** Whether servers of the run's service can be cold. */
    readonly canBeCold: (run: ServerRunId) => boolean;
    /** Requests per second that the holder may grant; `undefined` for any number. */
    readonly findRate: (run: ServerRunId, isSettled: boolean, isAskedCold: boolean) => number | undefined;
    /** Part of a run's slots that counts as occupied because it is or was cold. */
    readonly measureLoad: (run: ServerRunId) => number;
    /** Whether a request with this permit may be written now. */
    readonly mayBegin: (run: ServerRunId, permit: SendPermit | undefined) => boolean;
    /** Number of cold runs that are listed. */
    readonly countCold: () => number;
}

interface KnownRun {
    readonly startedAt: Milliseconds;
    readonly service: string;
    /** `undefined` until the service is known as one whose servers can be cold. */
    state: ColdState | undefined;
    /** Last statement of the entry, which may be read before the configuration. */
    entry: { readonly coldFor: Milliseconds; readonly at: Milliseconds; } | undefined;
    isListed: boolean;
    /** Whether the run was cold when it was last looked at. */
    wasCold: boolean;
    /** Whether an unreadable statement was logged. */
    isLogged: boolean;
}

/** Runs that are remembered, also when they aren't listed. */
const maximumRuns = 16_384;
const log = createLogger("serving");

/**
 * Creates the table without servers.
 *
 * @param options - clock, services and bounds
 * @returns the table, of which an instance needs one object
 */
export function createColdServers(options: ColdServersOptions): ColdServers {
    const { clock, findService, readUnixTime = Date.now } = options;
    const runs = new LRUCache<ServerRunId, KnownRun>({ max: maximumRuns });
    const listed = new Map<string, ServerRunId>();
    let hasSnapshot = false;
    const findTolerated = (known: KnownRun | undefined): number =>
        known === undefined ? 0 : findService(known.service)?.coldPerSecond ?? 0;
    const isCold = (known: KnownRun): boolean => (known.state?.coldUntil ?? 0) > clock.now();
    const openState = (known: KnownRun): ColdState => {
        const { coldStart = 0 } = findService(known.service) ?? {};
        const age = readUnixTime() - known.startedAt;
        const state = updateColdState(unknownColdState, { kind: "listed", age }, coldStart, clock.now());
        const remaining = known.entry && known.entry.coldFor - (clock.now() - known.entry.at);
        return remaining === undefined || remaining <= 0
            ? state
            : updateColdState(state, { kind: "stated", by: "entry", remaining }, coldStart, clock.now());
    };
    const apply = (run: ServerRunId, event: ColdEvent): void => {
        const known = runs.get(run);
        if (!known || findTolerated(known) === 0) {
            return;
        }
        const { coldStart = 0 } = findService(known.service)!;
        known.state = updateColdState(known.state ?? openState(known), event, coldStart, clock.now());
        // also notices coldness that has ended with its time
        if (isCold(known) !== known.wasCold) {
            const { coldUntil, reason } = known.state;
            const { wasCold } = known;
            known.wasCold = !wasCold;
            log.info(wasCold ? "server no longer cold" : "server cold", {
                run,
                reason,
                remaining: wasCold ? undefined : Math.round(coldUntil - clock.now()),
            });
        }
    };
    const getRun = (server: ColdServer): KnownRun => {
        const run = formatServerRunId(server);
        const { service, startedAt } = server;
        const known: KnownRun = runs.get(run) ??
            { service, startedAt, state: undefined, entry: undefined, isListed: true, wasCold: false, isLogged: false };
        runs.set(run, known);
        return known;
    };
    const applyStatement = (run: ServerRunId, by: "entry" | "header", coldFor: StatedColdness | undefined): void => {
        const known = runs.get(run);
        if (coldFor === "unreadable" && known && !known.isLogged) {
            known.isLogged = true;
            log.warn("coldness unreadable", { run, by, reason: "give milliseconds, 0 or more" });
        }
        if (typeof coldFor === "number") {
            apply(run, { kind: "stated", by, remaining: coldFor });
        }
    };
    const readEntry = (server: BackendServer): void => {
        const run = formatServerRunId(server);
        const isNew = !runs.has(run);
        const known = getRun(server);
        apply(run, { kind: "asked" });
        // a run that appears is new or comes back, whatever its start says, as clocks may differ
        if (!known.isListed || (isNew && hasSnapshot && !isCold(known))) {
            apply(run, { kind: "returned" });
        }
        known.isListed = true;
        listed.set(server.id, run);
        known.entry = typeof server.coldFor === "number" ? { coldFor: server.coldFor, at: clock.now() } : undefined;
        applyStatement(run, "entry", server.coldFor);
    };
    const markEntryGone = (id: string): void => {
        const known = runs.peek(listed.get(id) ?? "");
        listed.delete(id);
        if (known) {
            known.isListed = false;
        }
    };
    const chooseOwnEvent = (kind: "unreached" | "asked"): ColdEvent => ({
        kind: options.isCutOff?.() ? "cutOff" : kind,
    });
    // the state of a run whose servers can be cold; one that was left alone for long is suspected from now on
    const checkState = (run: ServerRunId): ColdState | undefined => {
        apply(run, chooseOwnEvent("asked"));
        const known = runs.get(run);
        return findTolerated(known) > 0 ? known?.state : undefined;
    };
    const isStatedCold = (run: ServerRunId): boolean => {
        const state = checkState(run);
        return state !== undefined && state.coldUntil > clock.now() && !isSuspicion(state);
    };
    return {
        readEntries: (entries, isSnapshot) => {
            if (isSnapshot) {
                const present = new Set(entries.map(server => server.id));
                [...listed.keys()].filter(id => !present.has(id)).forEach(markEntryGone);
            }
            entries.forEach(readEntry);
            hasSnapshot ||= isSnapshot;
        },
        markEntryGone,
        recordResponse: (server, coldFor) => {
            const run = formatServerRunId(server);
            getRun(server);
            apply(run, { kind: "reached" });
            applyStatement(run, "header", coldFor);
        },
        recordReached: (run, isReached) => apply(run, isReached ? { kind: "reached" } : chooseOwnEvent("unreached")),
        recordTold: (run, remaining) => apply(run, { kind: "stated", by: "instance", remaining }),
        measureRemaining: run => Math.max(0, (checkState(run)?.coldUntil ?? 0) - clock.now()),
        needsPermit: run => {
            const state = checkState(run);
            return state !== undefined && computeAllowedRate(state.coldUntil, 1, clock.now()) !== undefined;
        },
        isStatedCold,
        canBeCold: run => findTolerated(runs.get(run)) > 0,
        findRate: (run, isSettled, isAskedCold) => {
            const state = checkState(run);
            if (!state) {
                return undefined;
            }
            const perSecond = findTolerated(runs.get(run));
            const rates = computeColdRates({ perSecond, ...options.readBounds() });
            const rate = isSettled ? rates.settled : rates.contested;
            return isAskedCold ? rate : computeAllowedRate(state.coldUntil, rate, clock.now());
        },
        measureLoad: run => {
            const coldUntil = checkState(run)?.coldUntil;
            return coldUntil === undefined ? 0 : computeColdLoad(coldUntil, clock.now());
        },
        mayBegin: (run, permit) => {
            if (permit?.until !== undefined) {
                return clock.now() <= permit.until;
            }
            // what is older than the decision was known to whom decided
            const isNews = permit === undefined || (runs.get(run)?.state?.toldAt ?? 0) >= permit.decidedAt;
            return !isNews || !isStatedCold(run);
        },
        countCold: () =>
            [...listed.values()].filter(run => (runs.peek(run)?.state?.coldUntil ?? 0) > clock.now()).length,
    };
}
