/**
 * Joins what an instance needs to read the platform's store, also through other instances and when the store has come back
 * from an older copy.
 *
 * @packageDocumentation
 */
import type { PeerNetwork } from "../peers/index.js";
import type { Clock, SeededRandom } from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import { type ConfigurationInquiry, createConfigurationInquiry } from "./configurationInquiry.js";
import { createEraSettling, type EraSettling } from "./eraSettling.js";
import type { InstanceDirectory, InstanceEntry } from "./instanceDirectory.js";
import { createRegistration, type Registration } from "./registration.js";
import { createRelayedLog, type RelayedLog, type RelayedLogOptions } from "./relayedLog.js";
import { relayMessageSchema } from "./relayMessages.js";
import { createRestoreRules } from "./restoreRules.js";
import type { StoreEras } from "./storeEras.js";
import { createTopicCaches } from "./topicCaches.js";
import type { RestoreRules } from "./topicMemory.js";
import type { KeyedLog, KeyedRecord, KeyedTopic, RecordCodec } from "./types.js";

/** Dependencies of the reading. */
export interface StoreReadingOptions {
    readonly clock: Clock;
    readonly random: SeededRandom;
    readonly store: KeyedLog;
    readonly eras: StoreEras;
    readonly codec: RecordCodec;
    readonly directory: InstanceDirectory;
    /** Entry of this instance, without what changes while it runs. */
    readonly self: InstanceEntry;
    /** Whether this instance is about to end. */
    readonly isStopping: () => boolean;
    readonly network: Pick<PeerNetwork, "request">;
    /** Whether the whole system starts for the first time. */
    readonly isFirstStart: boolean;
    /** Called with the record of a configuration that another instance uses. */
    readonly onConfigurationRecord: (record: KeyedRecord) => void;
}

/** What the followers read by, what answers other instances, and the tasks beside the followers. */
export interface StoreReading {
    readonly caches: RelayedLogOptions["caches"];
    readonly rules: Readonly<Record<KeyedTopic, RestoreRules>>;
    readonly inquiry: ConfigurationInquiry;
    readonly settling: EraSettling;
    readonly relayed: RelayedLog;
    readonly registration: Registration;
    /** Inquiry at other instances, and the entry of this one. */
    readonly tasks: readonly Task[];
}

/**
 * Creates the reading of an instance that has read nothing.
 *
 * @param options - the store and the other instances
 * @returns the reading, whose tasks the caller runs
 */
export function createStoreReading(options: StoreReadingOptions): StoreReading {
    const { clock, codec, directory, eras, isFirstStart, network, random } = options;
    const caches = createTopicCaches(codec);
    const request: RelayedLogOptions["ask"] = async (other, message, timeout) => {
        const response = await network.request(other, "relay", message, timeout);
        return response.ok ? relayMessageSchema.safeParse(response.value).data : undefined;
    };
    const inquiry = createConfigurationInquiry({
        clock,
        random,
        eras,
        isFirstStart,
        listOthers: () => directory.isLoaded() ? directory.listOthers().map(({ id }) => id) : undefined,
        ask: request,
        onRecord: options.onConfigurationRecord,
    });
    const settling = createEraSettling({
        eras,
        isFirstStart,
        findSeenAtInEntries: directory.findEraSeenAt,
        findSeenAtInAnswers: inquiry.findSeenAt,
        isAsking: inquiry.isAsking,
    });
    const relayed = createRelayedLog({
        clock,
        store: options.store,
        listReaders: directory.listReaders,
        isReader: directory.isReader,
        ask: request,
        eras,
        describeConfiguration: inquiry.answer,
        caches,
    });
    const registration = createRegistration({
        clock,
        random,
        log: options.store,
        eras,
        directory,
        self: options.self,
        isStopping: options.isStopping,
    });
    return {
        caches,
        rules: createRestoreRules(codec),
        inquiry,
        settling,
        relayed,
        registration,
        tasks: [inquiry.task, registration.task],
    };
}
