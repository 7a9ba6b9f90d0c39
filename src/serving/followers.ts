/**
 * Tasks that follow the topics of the platform's store: the operator's configuration, the backend servers and the
 * instances.
 *
 * @packageDocumentation
 */
import type { RequestGuard } from "../quarantine/index.js";
import {
    type Clock,
    createLogger,
    type FailureDomainId,
    type Milliseconds,
    type Result,
    wrapError,
    wrapValue,
} from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import type { ColdServers } from "./coldServers.js";
import type { ConfigurationState } from "./configurationState.js";
import type { EraSettling } from "./eraSettling.js";
import type { EvacuationEvent } from "./evacuations.js";
import { type ClockReading, readClocks } from "./freshness.js";
import type { InstanceDirectory } from "./instanceDirectory.js";
import { createKeyedFollower, type KeyedFollowerOptions } from "./keyedFollower.js";
import type { TopicLag } from "./readProgress.js";
import { serversPauseMilliseconds } from "./readTiming.js";
import type { RefusedRecords } from "./refusedRecords.js";
import type { ServerList, ServerListChange } from "./serverList.js";
import type { TopicCache } from "./topicCache.js";
import type { RestoreRules } from "./topicMemory.js";
import type {
    BackendServer,
    KeyedLog,
    KeyedRecord,
    KeyedTopic,
    OperatorRecord,
    RecordCodec,
    RecordError,
    ServingConfig,
    StoreError,
} from "./types.js";

/** Dependencies of the followers, and callbacks for what they read. */
export interface FollowersOptions {
    /** The platform's store, which may be read through other instances. */
    readonly log: KeyedLog;
    /** Whether the store has all that was written to it, see `EraSettling`. @default it always has */
    readonly settling?: EraSettling;
    /** What of each topic doesn't go back with the store. @default the store's copy is taken as it is */
    readonly rules?: Readonly<Record<KeyedTopic, RestoreRules>>;
    /** Copies of the topics for the reads of other instances; `undefined` to keep none. */
    readonly caches?: Readonly<Record<KeyedTopic, TopicCache>>;
    readonly codec: RecordCodec;
    readonly clock: Clock;
    readonly configuration: ConfigurationState;
    readonly servers: ServerList;
    /** Coldness that entries state. @default not kept */
    readonly cold?: Pick<ColdServers, "readEntries" | "markEntryGone">;
    readonly directory: InstanceDirectory;
    readonly guard: Pick<RequestGuard, "replaceAll" | "applyRecord"> & Partial<Pick<RequestGuard, "markLost">>;
    readonly refused: Pick<RefusedRecords, "add" | "remove">;
    /** Called after each read that failed. */
    readonly onStoreFailure: (topic: KeyedTopic) => void;
    /** Called after each successful read with what is left to read of the topic. @default nobody is told */
    readonly onLag?: (topic: KeyedTopic, lag: TopicLag) => void;
    /** Called after each update of the server list; the change may be empty. */
    readonly onServers: (change: ServerListChange) => void;
    /** Called after `onServers` with a time before which all writes of the list have been passed to it. */
    readonly onServersConfirmed: (at: ClockReading) => void;
    /** Called with each newer configuration, and the record that holds it. */
    readonly onConfiguration: (config: ServingConfig, record: KeyedRecord) => void;
    /**
     * Called with each adapter version that the operator has published. `earliestPublishedAt` is the earliest time at
     * which that can have happened, on the monotonic clock.
     */
    readonly onAdapterVersion: (
        model: string,
        adapter: string,
        version: number,
        earliestPublishedAt: Milliseconds,
    ) => void;
    /** Whether the deployment has a failure domain; another one can't be evacuated. @default none */
    readonly isKnownDomain?: (domain: FailureDomainId) => boolean;
    /** Called with each record of an evacuation, and with those of each snapshot. @default nobody is told */
    readonly onEvacuation?: (event: EvacuationEvent) => void;
}

/** Time that the store may delay a read without news. A longer one would delay the detection of a dead connection. */
const longPollMilliseconds = 1_600;
/**
 * The same for the configuration, whose age decides whether requests with keys are served: after an outage and a return of
 * the store it must still be within its bound.
 */
const configurationLongPollMilliseconds = 1_000;
/**
 * Time that the store may delay a read of the instance list without news. It is longer, as unreachable instances are
 * noticed by their missing messages anyway.
 */
const directoryLongPollMilliseconds = 10_000;
/** Time that a follower of the instances waits for more changes: many instances may start at the same time. */
const directoryPauseMilliseconds = 500;
/** Time that the store may delay a read of the quarantines without news. */
const quarantinesLongPollMilliseconds = 5_000;
/** Time that a follower of the quarantines waits for more of them. */
const quarantinesPauseMilliseconds = 100;
const log = createLogger("serving");

/**
 * Creates the tasks that follow the store.
 *
 * @param options - the store, the state that is updated and callbacks
 * @returns the tasks, which the caller runs; that of the configuration is the first
 */
export function createFollowers(options: FollowersOptions): readonly Task[] {
    return [
        createConfigurationFollower(options),
        createServerFollower(options),
        createDirectoryFollower(options),
        createQuarantineFollower(options),
    ];
}

/**
 * Takes the record of a configuration that another instance uses.
 *
 * @param options - decoders, and the state that is updated
 * @param record - the record
 */
export function takeConfiguration(options: ConfigurationOptions, record: KeyedRecord): void {
    const decoded = record.value && options.codec.decodeOperatorRecord(record.key, record.value);
    if (decoded?.ok && decoded.value.kind === "configuration") {
        applyConfiguration(options, decoded.value.config, record);
    }
}

type ConfigurationOptions = Pick<FollowersOptions, "codec" | "configuration" | "onConfiguration">;

function applyConfiguration(options: ConfigurationOptions, config: ServingConfig, record: KeyedRecord): void {
    if (options.configuration.apply(config)) {
        options.onConfiguration(config, record);
    }
}

function createConfigurationFollower(options: FollowersOptions): Task {
    const { clock, configuration, settling } = options;
    // the first one may be older than what others have served; while it is unknown all requests are told to come back
    const isUsable = (): boolean => configuration.read() !== undefined || settling?.isSettled() !== false;
    const decodeRecord = ({ key, value }: KeyedRecord): OperatorRecord | undefined => {
        const decoded = value
            ? checkDomain(options, options.codec.decodeOperatorRecord(key, value))
            : wrapValue(options.codec.decodeOperatorDeletion?.(key));
        if (!decoded.ok) {
            options.refused.add("configuration", key, decoded.error);
            return undefined;
        }
        options.refused.remove("configuration", key);
        return decoded.value;
    };
    const applyRecord = (decoded: OperatorRecord, record: KeyedRecord): void => {
        switch (decoded.kind) {
            case "configuration":
                if (isUsable()) {
                    applyConfiguration(options, decoded.config, record);
                }
                break;
            case "adapterVersion": {
                const { model, adapter, version } = decoded;
                // the version may have been published at any time since the last confirmed read
                options.onAdapterVersion(model, adapter, version, clock.now() - configuration.measureAge(readClocks()));
                break;
            }
            case "evacuation":
                options.onEvacuation?.({ ...decoded, kind: "record" });
                break;
            case "other":
                break;
        }
    };
    const applyRecords = (records: readonly KeyedRecord[]): void => {
        for (const record of records) {
            const decoded = decodeRecord(record);
            if (decoded) {
                applyRecord(decoded, record);
            }
        }
    };
    const findDomain = ({ key }: KeyedRecord): readonly FailureDomainId[] => {
        const named = options.codec.decodeOperatorDeletion?.(key);
        return named?.kind === "evacuation" ? [named.domain] : [];
    };
    const applySnapshot = (records: readonly KeyedRecord[]): void => {
        const decoded = records.map(decodeRecord);
        const requested = decoded.filter(each => each?.kind === "evacuation").map(({ domain }) => domain);
        const unreadable = records.filter((record, index) => !decoded[index]).flatMap(findDomain);
        options.onEvacuation?.({ kind: "snapshot", requested, unreadable });
        decoded.forEach((each, index) => {
            if (each && each.kind !== "evacuation") {
                applyRecord(each, records[index]!);
            }
        });
    };
    return createKeyedFollower({
        log: options.log,
        topic: "configuration",
        cache: options.caches?.configuration,
        wait: configurationLongPollMilliseconds,
        ...describeReading(options, "configuration"),
        sleep: clock.sleep,
        onSnapshot: applySnapshot,
        onRecords: applyRecords,
        onConfirmed: configuration.markConfirmed,
        describeState: () => ({ version: configuration.read()?.config.version }),
        onFailure: createFailureHandler(options, "configuration"),
    });
}

function checkDomain(
    { isKnownDomain = () => false }: FollowersOptions,
    decoded: Result<OperatorRecord, RecordError>,
): Result<OperatorRecord, RecordError> {
    return decoded.ok && decoded.value.kind === "evacuation" && !isKnownDomain(decoded.value.domain)
        ? wrapError({ kind: "unreadable", field: "", detail: "the settings name no such failure domain" })
        : decoded;
}

function createServerFollower(options: FollowersOptions): Task {
    const { clock, servers } = options;
    const handleFailure = createFailureHandler(options, "servers");
    const decodeServer = (record: KeyedRecord): BackendServer | undefined => {
        const decoded = record.value && options.codec.decodeServerEntry(record.key, record.value);
        if (decoded && !decoded.ok) {
            options.refused.add("servers", record.key, decoded.error);
            return undefined;
        }
        options.refused.remove("servers", record.key);
        return decoded?.value;
    };
    return createKeyedFollower({
        log: options.log,
        topic: "servers",
        cache: options.caches?.servers,
        pause: serversPauseMilliseconds,
        wait: longPollMilliseconds,
        ...describeReading(options, "servers"),
        sleep: clock.sleep,
        onRestored: () => servers.markRestored(clock.now()),
        onSnapshot: records => {
            const entries = records.map(decodeServer).filter(server => server !== undefined);
            options.cold?.readEntries(entries, true);
            options.onServers(servers.replaceAll(entries, clock.now()));
        },
        onRecords: records => {
            for (const record of records) {
                const server = decodeServer(record);
                if (server) {
                    options.cold?.readEntries([server], false);
                }
                else {
                    options.cold?.markEntryGone(record.key);
                }
                options.onServers(server ? servers.put(server) : servers.remove(record.key, clock.now()));
            }
        },
        onAnswered: sentAt => servers.markStoreAnswer(sentAt.monotonic, clock.now()),
        onConfirmed: options.onServersConfirmed,
        onFailure: error => {
            servers.markStoreFailure(clock.now());
            handleFailure(error);
        },
    });
}

function createDirectoryFollower(options: FollowersOptions): Task {
    return createKeyedFollower({
        log: options.log,
        topic: "instances",
        cache: options.caches?.instances,
        pause: directoryPauseMilliseconds,
        wait: directoryLongPollMilliseconds,
        ...describeReading(options, "instances"),
        sleep: options.clock.sleep,
        onSnapshot: records => options.directory.replaceAll(records),
        onRecords: records => records.forEach(record => options.directory.applyRecord(record)),
        onConfirmed: () => undefined,
        onFailure: createFailureHandler(options, "instances"),
    });
}

function createQuarantineFollower(options: FollowersOptions): Task {
    return createKeyedFollower({
        log: options.log,
        topic: "quarantines",
        cache: options.caches?.quarantines,
        pause: quarantinesPauseMilliseconds,
        wait: quarantinesLongPollMilliseconds,
        ...describeReading(options, "quarantines"),
        sleep: options.clock.sleep,
        onRestored: options.guard.markLost,
        onSnapshot: options.guard.replaceAll,
        onRecords: records => records.forEach(options.guard.applyRecord),
        onConfirmed: () => undefined,
        onFailure: createFailureHandler(options, "quarantines"),
    });
}

// how the follower of a topic goes on when the store has come back from an older copy, and who is told how far it is
function describeReading(
    { rules, settling, onLag }: FollowersOptions,
    topic: KeyedTopic,
): Pick<KeyedFollowerOptions, "rules" | "readSettledAt" | "onLag"> {
    return { rules: rules?.[topic], readSettledAt: settling?.readSettledAt, onLag: lag => onLag?.(topic, lag) };
}

function createFailureHandler(options: FollowersOptions, topic: KeyedTopic): (error: StoreError) => void {
    return error => {
        options.onStoreFailure(topic);
        log.warn("store read failed", { topic, ...error });
    };
}
