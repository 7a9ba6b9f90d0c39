import type { ListedEngine, ListedInstance, Listing } from "../../backends/index.js";
import { createSeededRandom, type Milliseconds } from "../../shared/index.js";
import { createRecordCodec, createReplay } from "../../streams/index.js";
import {
    createHistory,
    createNodeClock,
    createVirtualList,
    createVirtualLog,
    createVirtualPeers,
    type History,
    noLogFaults,
    startDetached,
    type SystemUnderTest,
    type VirtualList,
    type VirtualLog,
    type VirtualMessage,
} from "../../testing/index.js";
import { createMembershipTask, formatEngineShard, type MembershipTask } from "../index.js";
import { createOwnershipModel, type OwnershipMember } from "../ownershipState.js";

const roundingTolerance = 1e-6;
const model = createOwnershipModel("ownership-r");
const codec = createRecordCodec(model);

export interface RunningInstance {
    /** Instance id and node of the simulated network: the host and the number of its starts, such as `one.2`. */
    readonly node: string;
    /** Name that stays the same across restarts. */
    readonly host: string;
    readonly task: MembershipTask;
    /** Share of a limit that the instance uses, computed as in the limits part. */
    share: number;
}

export interface OwnershipWorld extends SystemUnderTest {
    /** Simulation in which the instances run; the `history` of this world only schedules faults in it. */
    readonly realHistory: History<VirtualMessage>;
    readonly log: VirtualLog;
    readonly list: VirtualList;
    /** Running instances by host. */
    readonly instances: Map<string, RunningInstance>;
    readonly scheduleAction: (delay: Milliseconds, action: () => void) => void;
    readonly leave: (host: string, downFor: Milliseconds) => void;
    /** Appends a record that removes the instance from the members, as another member does that considers it failed. */
    readonly suspect: (host: string) => void;
    readonly findHolders: (engine: string) => readonly RunningInstance[];
    /** Runs all scheduled faults, ends the faults of the log, and runs on for the given time. */
    readonly finish: (settle: Milliseconds) => Promise<void>;
}

export interface OwnershipWorldOptions {
    readonly seed: number;
    readonly hosts: readonly string[];
    readonly engines: readonly string[];
    /** `controlInterval` of the instances; a longer interval makes a history run faster. */
    readonly controlInterval: Milliseconds;
}

const listLagMilliseconds = 1_000;

export function createOwnershipWorld(options: OwnershipWorldOptions): OwnershipWorld {
    const { seed, hosts, engines } = options;
    let check = (): void => undefined;
    const history = createHistory<VirtualMessage>({ seed, lossRate: 0.01, duplicateRate: 0.01, check: () => check() });
    const log = createVirtualLog(history);
    const list = createVirtualList(history, listLagMilliseconds);
    const instances = new Map<string, RunningInstance>();
    const incarnations = new Map<string, number>();
    const newestFencing = new Map<string, number>();
    let cursor = 0;

    const scheduleAction = (delay: Milliseconds, action: () => void): void =>
        history.schedule(cursor + delay - history.now(), action);
    const updateList = (node: string, change: (entries: Listing["instances"]) => Listing["instances"]): void =>
        list.update(listing => ({
            ...listing,
            instances: change(listing.instances.filter(entry => entry.id !== node)),
        }));
    const startInstance = (host: string): void => {
        const incarnation = (incarnations.get(host) ?? 0) + 1;
        incarnations.set(host, incarnation);
        const node = `${host}.${incarnation}`;
        const failureDomain = `domain-${hosts.indexOf(host) % 3}`;
        const self: ListedInstance = {
            kind: "instance",
            id: node,
            address: node,
            failureDomain,
            region: "r",
            state: "live",
        };
        const task = createMembershipTask({
            self,
            instanceList: list.createClient(node),
            log: log.createClient(node),
            peers: createVirtualPeers(history, node),
            clock: createNodeClock(history, node),
            random: createSeededRandom(seed + incarnation),
            readWallClock: history.now,
            checkpointInterval: 15_000,
            controlInterval: options.controlInterval,
        });
        instances.set(host, { node, host, task, share: 0 });
        updateList(node, entries => [...entries, self]);
        startDetached(task.run(new AbortController().signal));
    };
    const stopInstance = (host: string): void => {
        const running = instances.get(host);
        if (running) {
            history.crash(running.node);
            updateList(running.node, entries => entries);
            instances.delete(host);
        }
    };
    const findHolders = (engine: string): readonly RunningInstance[] =>
        [...instances.values()].filter(({ task }) =>
            task.ownership.findLease(formatEngineShard(engine), history.now()) !== undefined
        );
    const checkShards = (): void => {
        for (const engine of engines) {
            const holders = findHolders(engine);
            if (holders.length > 1) {
                throw new Error(
                    `${holders.map(holder => holder.node).join(" and ")} hold ${engine} at ${history.now()}`,
                );
            }
            const fencing = holders[0]?.task.ownership.findLease(formatEngineShard(engine), history.now())
                ?.fencingNumber;
            if (fencing !== undefined) {
                if (fencing < (newestFencing.get(engine) ?? fencing)) {
                    throw new Error(`fencing number of ${engine} fell to ${fencing} at ${history.now()}`);
                }
                newestFencing.set(engine, fencing);
            }
        }
    };
    const checkShares = (): void => {
        let sum = 0;
        for (const running of instances.values()) {
            const epoch = running.task.epochs.read();
            const target = epoch.members.includes(running.node) ? 1 / epoch.members.length : 0;
            const mayGrow = history.now() >= epoch.gainsAllowedAt;
            running.share = mayGrow ? target : Math.min(running.share, target);
            sum += history.now() < running.task.epochs.readValidUntil() ? running.share : 0;
        }
        if (sum > 1 + roundingTolerance) {
            throw new Error(`shares sum up to ${sum} at ${history.now()}`);
        }
    };
    const readMember = (node: string | undefined): OwnershipMember | undefined => {
        const replay = createReplay(model, 0);
        replay.apply(log.listRecords(model.stream));
        return node === undefined ? undefined : replay.state()!.members.get(node);
    };
    check = () => {
        checkShards();
        checkShares();
    };
    list.update(listing => ({
        ...listing,
        backendServers: engines.map((id): ListedEngine => ({
            kind: "engine",
            id,
            address: id,
            failureDomain: "domain-0",
            region: "r",
            state: "live",
            baseModel: "base",
            pool: "pool",
            adapterSlots: 4,
            batchLimit: 8,
            fencing: "checked",
        })),
    }));
    hosts.forEach(startInstance);
    const findNodes = (names: readonly string[]): string[] => names.flatMap(name => instances.get(name)?.node ?? []);
    return {
        realHistory: history,
        log,
        list,
        instances,
        scheduleAction,
        findHolders,
        history: {
            now: () => cursor,
            run: until => {
                cursor = until;
            },
            pause: (host, duration) =>
                scheduleAction(0, () => findNodes([host]).forEach(node => history.pause(node, duration))),
            cut: (left, right, duration) =>
                scheduleAction(0, () => history.cut(findNodes(left), findNodes(right), duration)),
        },
        restart: (host, downFor) =>
            scheduleAction(0, () => {
                if (instances.has(host)) {
                    stopInstance(host);
                    history.schedule(downFor, () => startInstance(host));
                }
            }),
        leave: (host, downFor) =>
            scheduleAction(0, () => {
                const running = instances.get(host);
                startDetached(
                    running?.task.leave().then(() => {
                        if (instances.get(host) === running) {
                            stopInstance(host);
                            history.schedule(downFor, () => startInstance(host));
                        }
                    }),
                );
            }),
        suspect: host =>
            scheduleAction(0, () => {
                const member = readMember(instances.get(host)?.node);
                if (member) {
                    const { instance, joinedAt } = member;
                    const basedOn = log.listRecords(model.stream).length - 1;
                    const change = { kind: "remove", basedOn, members: [{ instance, joinedAt }] } as const;
                    startDetached(
                        log.createClient("suspecting").append(model.stream, codec.encode({ kind: "change", change })),
                    );
                }
            }),
        finish: async settle => {
            await history.runAsync(cursor);
            log.setFaults(noLogFaults);
            await history.runAsync(cursor + settle);
        },
    };
}
