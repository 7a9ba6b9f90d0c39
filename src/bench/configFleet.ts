/**
 * Fleets of real configuration and membership tasks in virtual time, with their messages, log calls and bytes counted.
 *
 * @packageDocumentation
 */
import { pack } from "msgpackr";
import type { ListedEngine, ListedInstance, LogService } from "../backends/index.js";
import {
    type ConfigTask,
    type ConfigurationChange,
    configurationModel,
    createConfigTask,
    createPublisher,
} from "../config/index.js";
import { createMembershipTask, type MembershipTask } from "../membership/index.js";
import type { PeerMessagesByTopic, PeerNetwork, PeerTopic } from "../peers/index.js";
import { createSeededRandom, type InstanceId, type Milliseconds } from "../shared/index.js";
import { createRecordCodec } from "../streams/index.js";
import {
    createHistory,
    createNodeClock,
    createVirtualList,
    createVirtualLog,
    createVirtualPeers,
    type History,
    startDetached,
    type VirtualList,
    type VirtualLog,
    type VirtualMessage,
} from "../testing/index.js";

/** Which tasks a fleet runs. */
export interface FleetOptions {
    readonly seed: number;
    readonly instances: number;
    readonly engines: number;
    readonly failureDomains: number;
    readonly runs: "config" | "membership";
    /** Longest way of a message between two instances, one way. */
    readonly longestDelay: Milliseconds;
    /** How long a relay may hold an answer back; the task's own default when unset. */
    readonly relayWaitFor?: Milliseconds;
}

/** One instance of a fleet. */
export interface FleetInstance {
    readonly id: InstanceId;
    readonly failureDomain: string;
    readonly config: ConfigTask | undefined;
    readonly membership: MembershipTask | undefined;
}

/** What a fleet has sent. */
export interface FleetCounts {
    readonly messages: number;
    readonly bytes: number;
    /** Bytes that each instance has sent and received. */
    readonly bytesOf: ReadonlyMap<InstanceId, number>;
    readonly logReads: number;
    readonly appends: number;
}

/** A fleet. */
export interface Fleet {
    readonly history: History<VirtualMessage>;
    readonly log: VirtualLog;
    readonly list: VirtualList;
    readonly instances: Map<InstanceId, FleetInstance>;
    readonly start: (id: InstanceId, failureDomain: string) => FleetInstance;
    /** Ends an instance at once; the list shows it after its lag. */
    readonly crash: (id: InstanceId) => void;
    readonly readCounts: () => FleetCounts;
    readonly runFor: (duration: Milliseconds) => Promise<void>;
}

const frameBytes = 20;
const listLagMilliseconds = 2_000;
const region = "region";

/**
 * Creates a fleet and starts its instances.
 *
 * @param options - sizes
 * @returns the fleet at time 0
 */
export function createFleet(options: FleetOptions): Fleet {
    const history = createHistory<VirtualMessage>({ seed: options.seed, maximumDelay: options.longestDelay });
    const log = createVirtualLog(history);
    const list = createVirtualList(history, listLagMilliseconds);
    const instances = new Map<InstanceId, FleetInstance>();
    const counts = { messages: 0, bytes: 0, logReads: 0 };
    const bytesOf = new Map<InstanceId, number>();

    const countBody = (ends: readonly InstanceId[], body: PeerMessagesByTopic[PeerTopic]): void => {
        const size = frameBytes + pack(body).length;
        counts.messages++;
        counts.bytes += size;
        ends.forEach(end => bytesOf.set(end, (bytesOf.get(end) ?? 0) + size));
    };
    const countPeers = (peers: PeerNetwork): PeerNetwork => ({
        self: peers.self,
        send: (to, topic, message) => {
            countBody([peers.self, to], message);
            peers.send(to, topic, message);
        },
        request: (to, topic, message, timeout) => {
            countBody([peers.self, to], message);
            return peers.request(to, topic, message, timeout);
        },
        handle: (topic, handler) =>
            peers.handle(topic, async (from, message) => {
                const answer = await handler(from, message);
                if (answer !== undefined) {
                    countBody([peers.self, from], answer);
                }
                return answer;
            }),
    });
    const countLog = (client: LogService): LogService => ({
        append: client.append,
        read: (stream, wanted) => {
            counts.logReads++;
            return client.read(stream, wanted);
        },
    });
    const start = (id: InstanceId, failureDomain: string): FleetInstance => {
        const self: ListedInstance = { kind: "instance", id, address: id, failureDomain, region, state: "live" };
        const shared = {
            log: countLog(log.createClient(id)),
            peers: countPeers(createVirtualPeers(history, id)),
            clock: createNodeClock(history, id),
            readWallClock: history.now,
        };
        const relay = options.relayWaitFor === undefined ? {} : { relayWaitFor: options.relayWaitFor };
        const listPeers = (): readonly InstanceId[] => [...instances.keys()];
        const random = createSeededRandom(options.seed + instances.size);
        const membership = options.runs === "membership"
            ? createMembershipTask({ ...shared, self, random, instanceList: list.createClient(id) })
            : undefined;
        const config = options.runs === "config"
            ? createConfigTask({ ...shared, ...relay, instance: id, listPeers })
            : undefined;
        const running: FleetInstance = { id, failureDomain, config, membership };
        instances.set(id, running);
        list.update(listing => ({ ...listing, instances: [...listing.instances, self] }));
        startDetached((config ?? membership)!.run(new AbortController().signal));
        return running;
    };
    list.update(listing => ({
        ...listing,
        backendServers: Array.from({ length: options.engines }, (unused, index) => createEngine(index)),
    }));
    for (let index = 0; index < options.instances; index++) {
        start(`i${index}`, `domain-${index % options.failureDomains}`);
    }
    return {
        history,
        log,
        list,
        instances,
        start,
        crash: id => {
            history.crash(id);
            instances.delete(id);
            list.update(listing => ({
                ...listing,
                instances: listing.instances.filter(instance => instance.id !== id),
            }));
        },
        readCounts: () => ({
            ...counts,
            bytesOf: new Map(bytesOf),
            appends: log.countAppends(),
        }),
        runFor: duration => history.runAsync(history.now() + duration),
    };
}

/**
 * Finds how much the busiest instance has sent and received between two counts.
 *
 * @param before - the earlier count
 * @param after - the later count
 * @returns its bytes
 */
export function findBusiestBytes(before: FleetCounts, after: FleetCounts): number {
    return Math.max(0, ...[...after.bytesOf].map(([id, bytes]) => bytes - (before.bytesOf.get(id) ?? 0)));
}

function createEngine(index: number): ListedEngine {
    return {
        kind: "engine",
        id: `e${index}`,
        address: `e${index}`,
        failureDomain: "domain-0",
        region,
        state: "live",
        baseModel: "base",
        pool: "pool",
        adapterSlots: 8,
        batchLimit: 32,
        fencing: "checked",
    };
}

/**
 * Appends changes as operators' records.
 *
 * @param fleet - the fleet
 * @param changes - the changes
 */
export async function appendChanges(fleet: Fleet, changes: readonly ConfigurationChange[]): Promise<void> {
    const codec = createRecordCodec(configurationModel);
    const client = fleet.log.createClient("setup");
    for (const change of changes) {
        const appended = client.append("configuration", codec.encode({ kind: "change", change }));
        await fleet.runFor(20);
        await appended;
    }
}

/**
 * Publishes changes one after the other and measures how long each takes from the operator's call until it is in force
 * on every instance.
 *
 * @param fleet - a fleet whose instances are ready
 * @param createChange - makes the change with that number
 * @param count - how many
 * @param excluded - an instance that is not waited for
 * @returns the times, sorted
 */
export async function measurePublishing(
    fleet: Fleet,
    createChange: (serial: number) => ConfigurationChange,
    count: number,
    excluded?: InstanceId,
): Promise<readonly Milliseconds[]> {
    const publisher = createPublisher({
        log: fleet.log.createClient("operator"),
        clock: createNodeClock(fleet.history, "operator"),
    });
    const times: Milliseconds[] = [];
    for (let serial = 0; serial < count; serial++) {
        const startedAt = fleet.history.now();
        let isAnswered = false;
        const outcome = publisher.publish(createChange(serial)).finally(() => {
            isAnswered = true;
        });
        const offset = fleet.log.listRecords("configuration").length;
        while (!isInForce(fleet, offset, excluded) && fleet.history.now() - startedAt < publishLimitMilliseconds) {
            await fleet.runFor(publishStepMilliseconds);
        }
        times.push(fleet.history.now() - startedAt);
        while (!isAnswered) {
            await fleet.runFor(publishStepMilliseconds);
        }
        await outcome;
    }
    return times.sort((left, right) => left - right);
}

const publishStepMilliseconds = 5;
const publishLimitMilliseconds = 20_000;

function isInForce(fleet: Fleet, offset: number, excluded: InstanceId | undefined): boolean {
    return [...fleet.instances.values()].every(({ id, config }) =>
        id === excluded || (config?.view.read()?.appliedOffset ?? -1) >= offset
    );
}
