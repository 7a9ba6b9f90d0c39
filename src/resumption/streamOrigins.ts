/**
 * Tells at which service and software version a stream goes on that a client takes up again, at any instance. While
 * servers of several versions serve, the version of each stream is told to two instances before its first event is
 * written to the client; while one version is known to have served all the time, nothing is sent.
 *
 * @packageDocumentation
 */
import type { ShardHolders } from "../adapters/shardHolders.js";
import type { PeerNetwork } from "../peers/index.js";
import type { ClockReading } from "../serving/freshness.js";
import type { BackendServer, ServingConfig } from "../serving/types.js";
import { type Clock, createLogger, type InstanceId, type Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import { listKeepers } from "./keepers.js";
import { type ResumptionMessage, resumptionMessageSchema, toldAgeMilliseconds } from "./messages.js";
import { decideOrigin, isCovered, type OriginAnswer, type OriginVerdict } from "./originDecision.js";
import { createRouteHistory } from "./routeHistory.js";
import type { StreamArchive } from "./streamArchive.js";
import { computeStreamKey, type StreamKey } from "./streamKey.js";
import { createStreamRecords, type StreamRecord } from "./streamRecords.js";
import type { OriginDecision, OriginView, StreamId, StreamOrigin, StreamPath, TimeSpan } from "./types.js";
import { createVersionHistory, type VersionHistory } from "./versionHistory.js";

/** Dependencies of the origins. */
export interface StreamOriginsOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly holders: ShardHolders;
    readonly shardCount: number;
    /** Whether no server has served before this instance started. */
    readonly isFirstStart: boolean;
    /** Streams from before the start of all instances. */
    readonly archive: StreamArchive;
    /**
     * Reads the list of servers once more, and passes it to `observeServers` and `confirmServers`; resolves when that is done
     * or has taken too long.
     */
    readonly checkServers: () => Promise<void>;
    /** Reads both clocks; the monotonic one is `clock`. @default those of the process */
    readonly readNow?: () => ClockReading;
    /** Longest time from the beginning of a stream to the end of a client's last return. */
    readonly readStreamLifetime: () => Milliseconds;
}

/** Origins of streams, as far as they are known here or at others. */
export interface StreamOrigins {
    /** Records what began a stream; call it before its first event is written to the client. */
    readonly markBegun: (
        stream: StreamId,
        origin: StreamOrigin,
        services: readonly string[],
        path?: StreamPath,
    ) => void;
    /** Records that a client has received the whole stream. */
    readonly markComplete: (stream: StreamId) => void;
    /** Finds what began a stream; `services` are those of its route, to which those before of its path are added. */
    readonly find: (stream: StreamId, services: readonly string[], path?: StreamPath) => Promise<OriginDecision>;
    /** Replaces the routes. */
    readonly handleRoutes: (config: Pick<ServingConfig, "routes">) => void;
    /** Replaces the servers that are listed now. */
    readonly handleServers: (servers: readonly BackendServer[]) => void;
    /** Adds servers that are listed now, of which `handleServers` may not have been told yet. */
    readonly observeServers: (servers: readonly BackendServer[]) => void;
    /** Records that all writes of the list of servers before a time have been passed on. */
    readonly confirmServers: (at: ClockReading) => void;
    readonly handleMessage: (
        message: ResumptionMessage,
    ) => ResumptionMessage | undefined | Promise<ResumptionMessage | undefined>;
    /** Does what is due; must be called regularly. */
    readonly tick: () => void;
}

/** Where a stream may have begun. */
interface StreamPlace {
    /** Services of its route. */
    readonly services: readonly string[];
    readonly path: StreamPath | undefined;
}

/** Instances that are told of a stream. */
const copyCount = 2;
/** Instances that are asked: one more, as the holders may have changed since. */
const askedCount = 3;
const askTimeoutMilliseconds = 200;
/** The same where the other instance reads the list of servers before. */
const checkedAskTimeoutMilliseconds = 450;
/** Age of the list up to which an instance has followed it so far, for what others are told of its own streams. */
const usualAgeMilliseconds = 4_000;
/** Streams of this instance whose clients may still return. */
const maximumOwnStreams = 4_096;
/** Streams that are kept for all instances. */
const maximumKeptStreams = 16_384;
const streamsPerMessage = 500;
const log = createLogger("resumption");

/**
 * Creates the origins of one instance.
 *
 * @param options - the other instances, and how long streams last
 * @returns the origins, without streams
 */
export function createStreamOrigins(options: StreamOriginsOptions): StreamOrigins {
    const { archive, clock, holders, network, self } = options;
    const history = createVersionHistory(options.isFirstStart);
    const routes = createRouteHistory(options.isFirstStart);
    const own = createStreamRecords(maximumOwnStreams);
    const kept = createStreamRecords(maximumKeptStreams);
    const knownHolders = new Map<number, InstanceId>();
    const readSince = (): Milliseconds => clock.now() - options.readStreamLifetime();
    const readExpiry = (): Milliseconds => clock.now() + options.readStreamLifetime();
    const readNow = options.readNow ?? ((): ClockReading => ({ monotonic: clock.now(), timeOfDay: Date.now() }));
    const readView = ({ services, path }: StreamPlace, now = readNow()): OriginView => {
        const former = path ? routes.list(path, readSince()) : [];
        const { origins, followed } = history.view([...new Set([...services, ...former])], readSince(), now);
        const start = path ? routes.readStart() : Number.NEGATIVE_INFINITY;
        return { origins, followed: followed.flatMap(span => trimSpan(span, start)) };
    };
    const isComplete = ({ followed }: OriginView): boolean =>
        isCovered({ from: readSince(), to: clock.now() - usualAgeMilliseconds }, followed);
    const listHolders = (key: StreamKey, count: number): readonly InstanceId[] =>
        listKeepers(holders, options.shardCount, key, count);
    // this instance knows its own streams: the copies are with others
    const listCopies = (key: StreamKey): readonly InstanceId[] =>
        listHolders(key, askedCount).filter(keeper => keeper !== self).slice(0, copyCount);
    const keep = (records: readonly StreamRecord[]): void => records.forEach(record => kept.put(record, readExpiry()));
    const sendRecords = (
        records: readonly StreamRecord[],
        listReceivers: (key: StreamKey) => readonly InstanceId[],
        isCopy = false,
    ): void => {
        const byKeeper = new Map<InstanceId, StreamRecord[]>();
        for (const record of records) {
            for (const keeper of listReceivers(record.key)) {
                const streams = byKeeper.get(keeper) ?? [];
                streams.push(record);
                byKeeper.set(keeper, streams);
            }
        }
        byKeeper.delete(self);
        for (const [keeper, streams] of byKeeper) {
            for (let first = 0; first < streams.length; first += streamsPerMessage) {
                const part = streams.slice(first, first + streamsPerMessage);
                network.send(keeper, "resumption", { kind: "began", streams: part, isCopy });
            }
        }
    };
    // those that are told write the streams to the store, so that few instances write
    const publishStreams = (records: readonly StreamRecord[]): void => {
        sendRecords(records, listCopies);
        archive.add(records.filter(({ key }) => listCopies(key).length === 0));
    };
    const createAnswer = (key: StreamKey | undefined, place: StreamPlace): OriginAnswer => {
        const now = clock.now();
        const origin = key === undefined ? undefined : kept.find(key, now) ?? own.find(key, now);
        if (key !== undefined && origin) {
            kept.put({ key, origin }, readExpiry());
        }
        return { origin, ...readView(place) };
    };
    const respondToQuestion = async (
        { key, services, path, isChecked }: Extract<ResumptionMessage, { readonly kind: "askOrigin"; }>,
    ): Promise<ResumptionMessage> => {
        const receivedAt = readNow();
        if (isChecked) {
            await options.checkServers();
        }
        const { origin, origins } = createAnswer(key, { services, path });
        const view = readView({ services, path }, receivedAt);
        return {
            kind: "origin",
            origin,
            origins: [...origins],
            isComplete: isComplete(view),
            isOfPath: path !== undefined,
            followed: view.followed.map(({ from, to }) => [
                Math.min(toldAgeMilliseconds, receivedAt.monotonic - from),
                Math.min(toldAgeMilliseconds, receivedAt.monotonic - to),
            ]),
        };
    };
    const requestOrigin = async (
        keeper: InstanceId,
        key: StreamKey | undefined,
        place: StreamPlace,
        isChecked: boolean,
    ): Promise<OriginAnswer | undefined> => {
        if (keeper === self) {
            return createAnswer(key, place);
        }
        const { services, path } = place;
        const message: ResumptionMessage = { kind: "askOrigin", key, services: [...services], path, isChecked };
        const askedAt = clock.now();
        const timeout = isChecked ? checkedAskTimeoutMilliseconds : askTimeoutMilliseconds;
        const response = await network.request(keeper, "resumption", message, timeout);
        if (!response.ok) {
            holders.markSilent(keeper, response.error.kind === "unreachable" ? "unreachable" : "timeout");
            startTask("holders of shards", holders.refresh);
            return undefined;
        }
        const parsed = resumptionMessageSchema.safeParse(response.value);
        if (!parsed.success || parsed.data.kind !== "origin") {
            return undefined;
        }
        const { origin, origins, isOfPath } = parsed.data;
        const followed = path && !isOfPath ? [] : parsed.data.followed ?? [];
        const answeredAt = clock.now();
        // the question was received between these two times
        return {
            origin,
            origins,
            followed: followed.map(([fromAge, toAge]) => ({ from: answeredAt - fromAge, to: askedAt - toAge })),
        };
    };
    // the last question goes to those too that didn't respond in time just before: without them the return is refused
    const requestOrigins = (
        key: StreamKey | undefined,
        place: StreamPlace,
        isChecked: boolean,
    ): Promise<readonly OriginAnswer[]> => {
        const asked = isChecked ? { find: holders.find, isSilent: () => false } : holders;
        const keepers = listKeepers(asked, options.shardCount, key ?? "", askedCount);
        return collectAnswers(keepers.map(keeper => requestOrigin(keeper, key, place, isChecked)));
    };
    // the list that others and this instance have may lack a server which joined before the client returned
    const decideChecked = async (
        key: StreamKey | undefined,
        place: StreamPlace,
        possibleTime: TimeSpan,
    ): Promise<OriginVerdict> => {
        const answers = await requestOrigins(key, place, false);
        const verdict = decideOrigin(readView(place), answers, possibleTime);
        if (verdict.kind !== "unconfirmed") {
            return verdict;
        }
        await options.checkServers();
        const ownVerdict = decideOrigin(readView(place), answers, possibleTime);
        if (ownVerdict.kind !== "unconfirmed") {
            return ownVerdict;
        }
        const checked = await requestOrigins(key, place, true);
        return decideOrigin(readView(place), [...answers, ...checked], possibleTime);
    };
    const find: StreamOrigins["find"] = async (stream, services, path) => {
        const possibleTime: TimeSpan = { from: readSince(), to: clock.now() };
        const key = computeStreamKey(stream);
        const ownOrigin = key === undefined ? undefined : own.find(key, clock.now());
        const archived = key === undefined || ownOrigin ? undefined : await archive.find(key);
        const known = ownOrigin ?? archived;
        if (known) {
            return { kind: "known", origin: known };
        }
        const verdict = await decideChecked(key, { services, path }, possibleTime);
        return verdict.kind === "unconfirmed" ? { kind: "unknown", reason: verdict.reason } : verdict;
    };
    const findMovedShards = (): readonly InstanceId[] => {
        const gained = new Set<InstanceId>();
        for (let shard = 0; shard < options.shardCount; shard++) {
            const holder = holders.find(shard);
            if (holder !== undefined && knownHolders.get(shard) !== holder) {
                knownHolders.set(shard, holder);
                gained.add(holder);
            }
        }
        return [...gained];
    };
    const listServices = (servers: readonly BackendServer[]): ReadonlySet<string> =>
        new Set(servers.map(({ service }) => service));
    const countOrigins = (service: string): number => readView({ services: [service], path: undefined }).origins.length;
    const publishOwn = (services: readonly string[]): number => {
        const streams = own.list(clock.now()).filter(({ origin }) => services.includes(origin.service));
        publishStreams(streams);
        return streams.length;
    };
    const addServers = (servers: readonly BackendServer[], add: VersionHistory["update"]): void => {
        const services = [...listServices(servers)];
        const before = new Map(services.map(service => [service, countOrigins(service)]));
        add(servers, clock.now());
        const mixed = services.filter(service => before.get(service)! <= 1 && countOrigins(service) > 1);
        if (mixed.length > 0) {
            log.info("several software versions", { services: mixed.join(), streams: publishOwn(mixed) });
        }
    };
    return {
        markBegun: (stream, origin, services, path) => {
            const key = computeStreamKey(stream);
            if (key === undefined) {
                return;
            }
            own.put({ key, origin }, readExpiry());
            // others can't rule out an earlier version while this instance can't
            const view = readView({ services, path });
            if (view.origins.length > 1 || !isComplete(view)) {
                publishStreams([{ key, origin }]);
            }
        },
        markComplete: stream => {
            const key = computeStreamKey(stream);
            if (key !== undefined) {
                own.remove(key);
            }
        },
        find,
        handleRoutes: config => {
            const moved = [...routes.update(config, clock.now())];
            if (moved.length > 0) {
                log.info("routes lead elsewhere", { services: moved.join(), streams: publishOwn(moved) });
            }
        },
        handleServers: servers => addServers(servers, history.update),
        observeServers: servers => addServers(servers, history.observe),
        confirmServers: at => history.confirm(at, clock.now()),
        handleMessage: message => {
            switch (message.kind) {
                case "began":
                    keep(message.streams);
                    if (!message.isCopy) {
                        archive.add(message.streams);
                    }
                    return undefined;
                case "askOrigin":
                    return respondToQuestion(message);
                case "origin":
                    return undefined;
            }
        },
        tick: () => {
            const now = clock.now();
            own.expire(now);
            kept.expire(now);
            history.prune(readSince());
            routes.prune(readSince());
            const gained = findMovedShards();
            if (gained.length > 0) {
                sendRecords(
                    kept.list(now),
                    key => listHolders(key, askedCount).filter(keeper => gained.includes(keeper)),
                    true,
                );
            }
        },
    };
}

// the part of a time from `start` on, if there is one
function trimSpan({ from, to }: TimeSpan, start: Milliseconds): readonly TimeSpan[] {
    return to > start ? [{ from: Math.max(from, start), to }] : [];
}

// the first answer that names the stream's origin is enough; else all are waited for
function collectAnswers(asks: readonly Promise<OriginAnswer | undefined>[]): Promise<readonly OriginAnswer[]> {
    return new Promise(resolve => {
        const answers: OriginAnswer[] = [];
        let open = asks.length;
        const handleAnswer = (answer: OriginAnswer | undefined): void => {
            open--;
            if (answer) {
                answers.push(answer);
            }
            if (open === 0 || answer?.origin) {
                resolve(answers);
            }
        };
        const waitForAnswer = async (asked: Promise<OriginAnswer | undefined>): Promise<void> =>
            handleAnswer(await asked);
        // an ask that failed is one without an answer
        asks.forEach(asked =>
            startTask("ask for a stream's origin", () => waitForAnswer(asked), () => handleAnswer(undefined))
        );
        if (open === 0) {
            resolve([]);
        }
    });
}
