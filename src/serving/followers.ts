/**
 * Tasks that follow the operator's configuration, the list of backend servers and the list of instances.
 *
 * @packageDocumentation
 */
import { type Clock, createDebug, type Milliseconds } from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import type { ConfigurationState } from "./configurationState.js";
import { readClocks } from "./freshness.js";
import type { InstanceDirectory } from "./instanceDirectory.js";
import { createKeyedFollower } from "./keyedFollower.js";
import type { ServerList, ServerListChange } from "./serverList.js";
import type {
    BackendServer,
    KeyedLog,
    KeyedRecord,
    KeyedTopic,
    RecordCodec,
    ServingConfig,
    StoreError,
} from "./types.js";

/** What followers need and tell. */
export interface FollowersOptions {
    readonly log: KeyedLog;
    readonly codec: RecordCodec;
    readonly clock: Clock;
    readonly configuration: ConfigurationState;
    readonly servers: ServerList;
    readonly directory: InstanceDirectory;
    readonly onStoreFailure: (topic: KeyedTopic) => void;
    readonly onServers: (change: ServerListChange) => void;
    readonly onConfiguration: (config: ServingConfig) => void;
    /** `namedAt` is the earliest time at which the version can have been named. */
    readonly onAdapterVersion: (
        model: string,
        adapter: string,
        version: number,
        earliestPublishedAt: Milliseconds,
    ) => void;
}

/** A read that waits longer would hide a silent connection for too long. */
const longPollMilliseconds = 1_600;
const directoryLongPollMilliseconds = 10_000;
const expiryPeriodMilliseconds = 100;
const log = createDebug("serving");

/**
 * Creates the tasks.
 *
 * @param options - where they read and what they tell
 * @returns the tasks
 */
export function createFollowers(options: FollowersOptions): readonly Task[] {
    return [
        createConfigurationFollower(options),
        createServerFollower(options),
        createExpiryTask(options),
        createDirectoryFollower(options),
    ];
}

function createConfigurationFollower(options: FollowersOptions): Task {
    const { clock, configuration } = options;
    const applyRecord = (record: KeyedRecord): void => {
        const decoded = record.value && options.codec.decodeOperatorRecord(record.key, record.value);
        if (!decoded) {
            return;
        }
        if (!decoded.ok) {
            log.warn("operator record unreadable", { key: record.key, detail: decoded.error.detail });
            return;
        }
        switch (decoded.value.kind) {
            case "configuration":
                if (configuration.apply(decoded.value.config)) {
                    options.onConfiguration(decoded.value.config);
                }
                break;
            case "adapterVersion": {
                const { model, adapter, version } = decoded.value;
                // it may have been named at any time since the read before this one
                options.onAdapterVersion(model, adapter, version, clock.now() - configuration.measureAge(readClocks()));
                break;
            }
            case "other":
                break;
        }
    };
    const applyAll = (records: readonly KeyedRecord[]): void => records.forEach(applyRecord);
    return createKeyedFollower({
        log: options.log,
        topic: "configuration",
        wait: longPollMilliseconds,
        sleep: clock.sleep,
        onSnapshot: applyAll,
        onRecords: applyAll,
        onConfirmed: configuration.markConfirmed,
        onFailure: createFailureHandler(options, "configuration"),
    });
}

function createServerFollower(options: FollowersOptions): Task {
    const { clock, servers } = options;
    const handleFailure = createFailureHandler(options, "servers");
    const decodeServer = (record: KeyedRecord): BackendServer | undefined => {
        const decoded = record.value && options.codec.decodeServerEntry(record.key, record.value);
        if (decoded && !decoded.ok) {
            log.warn("server entry unreadable", { key: record.key, detail: decoded.error.detail.slice(0, 200) });
        }
        return decoded?.ok ? decoded.value : undefined;
    };
    return createKeyedFollower({
        log: options.log,
        topic: "servers",
        wait: longPollMilliseconds,
        sleep: clock.sleep,
        onSnapshot: records => {
            const entries = records.map(decodeServer).filter(server => server !== undefined);
            options.onServers(servers.replaceAll(entries, clock.now()));
        },
        onRecords: records => {
            for (const record of records) {
                const server = decodeServer(record);
                options.onServers(server ? servers.put(server) : servers.remove(record.key, clock.now()));
            }
        },
        onConfirmed: () => undefined,
        onFailure: error => {
            servers.markStoreFailure(clock.now());
            handleFailure(error);
        },
    });
}

function createExpiryTask(options: FollowersOptions): Task {
    return {
        name: "expire servers",
        run: async signal => {
            while (!signal.aborted) {
                await options.clock.sleep(expiryPeriodMilliseconds, signal);
                options.onServers(options.servers.expire(options.clock.now()));
            }
        },
    };
}

function createDirectoryFollower(options: FollowersOptions): Task {
    return createKeyedFollower({
        log: options.log,
        topic: "instances",
        wait: directoryLongPollMilliseconds,
        sleep: options.clock.sleep,
        onSnapshot: records => options.directory.replaceAll(records, options.clock.now()),
        onRecords: records => records.forEach(record => options.directory.applyRecord(record, options.clock.now())),
        onConfirmed: () => undefined,
        onFailure: createFailureHandler(options, "instances"),
    });
}

function createFailureHandler(options: FollowersOptions, topic: KeyedTopic): (error: StoreError) => void {
    return error => {
        options.onStoreFailure(topic);
        log.warn("store read failed", { topic, ...error });
    };
}
