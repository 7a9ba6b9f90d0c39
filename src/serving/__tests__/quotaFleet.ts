/**
 * Instances that keep quotas together, in virtual time: holders of shards, their hand-over and the group in the store are
 * those of the product, the network and the store are models.
 */
import { createShardHolders, type ShardHolder } from "../../adapters/shardHolders.js";
import { createShardTask, type ShardTask } from "../../adapters/shardTask.js";
import type { PeerNetwork } from "../../peers/index.js";
import {
    createSeededRandom,
    type InstanceId,
    type Milliseconds,
    type SeededRandom,
    wrapError,
    wrapValue,
} from "../../shared/index.js";
import { createHistory, type History, startDetached } from "../../testing/index.js";
import { type AccountLimits, createAccountLimits } from "../accountLimits.js";
import { createAccountShards, createQuotaClient, type QuotaClient } from "../quotaClient.js";
import { createQuotaHolder } from "../quotaHolder.js";
import { type QuotaDecision, quotaMessageSchema, type QuotaUrgency } from "../quotaMessages.js";
import type { QuotaBounds } from "../startAllowance.js";
import type { ServingAccount } from "../types.js";
import { createQuotaStore, type QuotaStore } from "./quotaStore.js";

/** Options of the fleet. */
export interface QuotaFleetOptions {
    readonly seed: number;
    readonly size: number;
    readonly accounts: readonly ServingAccount[];
    readonly bounds: QuotaBounds;
    /** Time that a process takes to start, which ends with `start`. @default 600 */
    readonly startDuration?: Milliseconds;
}

/** Units of one request that was admitted. */
export interface AdmittedUnits {
    readonly at: Milliseconds;
    readonly units: number;
}

/** The instances, and what clients got. */
export interface QuotaFleet {
    readonly history: History<unknown>;
    readonly random: SeededRandom;
    readonly store: QuotaStore;
    readonly names: readonly InstanceId[];
    /** Instances that clients are sent to. */
    readonly rotation: Set<InstanceId>;
    readonly admitted: Map<string, AdmittedUnits[]>;
    readonly refused: { readonly at: Milliseconds; readonly instance: InstanceId; }[];
    /** Messages between instances. */
    readonly counts: { messages: number; };
    readonly start: (name: InstanceId) => void;
    /** A planned stop: shards are given up at once, and the process ends later. */
    readonly stop: (name: InstanceId) => void;
    /** The process ends without a word. */
    readonly kill: (name: InstanceId) => void;
    readonly isRunning: (name: InstanceId) => boolean;
    readonly cut: (left: ReadonlySet<InstanceId>, duration: Milliseconds) => void;
    /** Takes units at any instance that clients are sent to; `undefined` where it ends meanwhile. */
    readonly take: (
        account: ServingAccount,
        units: number,
        urgency?: QuotaUrgency,
    ) => Promise<QuotaDecision | undefined>;
    /** Sends requests of all accounts, each at the given multiple of its rate. */
    readonly send: (multiple: () => number, unitsAt: number, until: Milliseconds) => void;
}

interface Process {
    readonly limits: AccountLimits;
    readonly shards: ShardTask;
    readonly quotas: QuotaClient;
    readonly listHolders: () => readonly ShardHolder[];
    readonly end: AbortController;
}

const shardCount = 4;
const memberLimit = 8;
const tickMilliseconds = 300;
const holderTickMilliseconds = 100;
const usualStartMilliseconds = 600;

export function createQuotaFleet(options: QuotaFleetOptions): QuotaFleet {
    const { accounts, bounds, seed, size } = options;
    const history = createHistory<unknown>({ seed });
    const random = createSeededRandom(seed);
    const { clock } = history;
    const store = createQuotaStore(clock, shardCount);
    const names = Array.from({ length: size }, (unused, index) => `i-${index}`);
    const processes = new Map<InstanceId, Process>();
    const registered = new Set<InstanceId>();
    const rotation = new Set<InstanceId>();
    const counts = { messages: 0 };
    const admitted = new Map<string, AdmittedUnits[]>(accounts.map(({ name }) => [name, []]));
    const refused: { readonly at: Milliseconds; readonly instance: InstanceId; }[] = [];
    let separated: ReadonlySet<InstanceId> = new Set();
    let separatedUntil = 0;
    const isCut = (from: InstanceId, to: InstanceId): boolean =>
        history.now() < separatedUntil && separated.has(from) !== separated.has(to);
    // carries a message to the process that runs at its arrival, and its answer back
    const deliver = async (
        sender: () => Process | undefined,
        from: InstanceId,
        to: InstanceId,
        body: unknown,
    ): Promise<unknown> => {
        const isSentBy = sender();
        counts.messages++;
        await clock.sleep(random.between(1, 3));
        const receiver = processes.get(to);
        if (!isSentBy || isCut(from, to)) {
            return undefined;
        }
        if (!receiver) {
            return "unreachable";
        }
        const answer = await receiver.quotas.handleMessage(from, quotaMessageSchema.parse(body));
        await clock.sleep(random.between(1, 3));
        return isCut(from, to) || processes.get(to) !== receiver ? undefined : answer;
    };
    const createNetwork = (self: InstanceId): PeerNetwork => {
        const readSender = (): Process | undefined => processes.get(self);
        const request = async (to: InstanceId, topic: string, message: unknown, timeout: Milliseconds) => {
            const cancel = new AbortController();
            const late = clock.sleep(timeout, cancel.signal);
            const delivered = deliver(readSender, self, to, message);
            const body = await Promise.race([late, delivered.then(answer => answer ?? late)]);
            cancel.abort();
            switch (body) {
                case undefined:
                    return wrapError({ kind: "timeout" });
                case "unreachable":
                    return wrapError({ kind: "unreachable", detail: "ended" });
                default:
                    return wrapValue(body);
            }
        };
        return {
            self,
            request,
            send: (to: InstanceId, topic: string, message: unknown) =>
                startDetached(deliver(readSender, self, to, message)),
            handle: () => undefined,
        } as unknown as PeerNetwork;
    };
    const createProcess = (self: InstanceId, startDuration: Milliseconds): Process => {
        // a planned stop removes the entry; at the very first start there is none
        const wasKilled = registered.has(self) || clock.now() === 0;
        const end = new AbortController();
        const ownRandom = createSeededRandom(random.between(0, 2 ** 30));
        const findShard = createAccountShards(shardCount);
        const countInstances = (): number => Math.max(1, registered.size);
        const readStore = async (): Promise<readonly ShardHolder[] | undefined> => {
            if (store.cut.has(self)) {
                await clock.sleep(holderTickMilliseconds);
                return undefined;
            }
            const owners = await store.listOwners();
            return owners.ok ? owners.value.map(({ shard, member }): ShardHolder => [shard, member]) : undefined;
        };
        const holders = createShardHolders({
            self,
            clock,
            random: ownRandom,
            askInstance: async instance => {
                await clock.sleep(random.between(2, 6));
                return isCut(self, instance) ? undefined : processes.get(instance)?.listHolders();
            },
            readStore,
            onMoved: () => undefined,
        });
        const shards: ShardTask = createShardTask({
            group: store,
            member: self,
            ttl: 1_500,
            orderLease: 3_000,
            isFenced: true,
            clock,
            startedAt: clock.now(),
            findHolderChangedAt: holders.findChangedAt,
            isMember: () => [...registered].slice(0, memberLimit).includes(self),
            onShardGained: shard => quotas.handleShardGained(shard),
            onShardLost: shard => {
                quotas.handleShardLost(shard);
                holders.markReleased(shard);
            },
            onMembershipChange: () => startDetached(holders.reload()),
        });
        const quotaHolder = createQuotaHolder({
            countInstances,
            isCounted: instance => instance === self || registered.has(instance),
            findShard,
        });
        quotaHolder.update(accounts, clock.now());
        const quotas: QuotaClient = createQuotaClient({
            self,
            clock,
            findShard,
            holders,
            isHeld: shard => shards.find(shard) !== undefined,
            quotaHolder,
            network: createNetwork(self),
        });
        const limits = createAccountLimits({
            now: clock.now,
            random: ownRandom,
            bounds,
            startDuration,
            countInstances,
            wasKilled: () => wasKilled,
            ask: quotas.ask,
            giveBack: quotas.giveBack,
        });
        const runTick = (): void => {
            if (!end.signal.aborted) {
                quotas.tick();
                history.schedule(shards.list().length > 0 ? holderTickMilliseconds : tickMilliseconds, runTick);
            }
        };
        history.schedule(random.between(0, tickMilliseconds), runTick);
        startDetached(shards.run(end.signal));
        return { limits, shards, quotas, listHolders: holders.list, end };
    };
    const endProcess = (name: InstanceId): void => {
        processes.get(name)?.end.abort();
        processes.delete(name);
        rotation.delete(name);
    };
    const start = (name: InstanceId): void => {
        processes.set(name, createProcess(name, options.startDuration ?? usualStartMilliseconds));
        registered.add(name);
    };
    const take: QuotaFleet["take"] = async (account, units, urgency) => {
        const listed = [...rotation];
        const instance = listed[random.between(0, listed.length - 1)];
        const taker = processes.get(instance ?? "");
        const decision = await taker?.limits.take(account, units, false, urgency);
        if (decision?.kind === "admitted") {
            admitted.get(account.name)!.push({ at: history.now() + decision.delay, units });
        }
        if (decision?.kind === "exceeded") {
            refused.push({ at: history.now(), instance: instance! });
        }
        return decision;
    };
    const request = async (account: ServingAccount, instance: InstanceId, units: number): Promise<void> => {
        const decision = await processes.get(instance)?.limits.take(account, units);
        switch (decision?.kind) {
            case "admitted":
                admitted.get(account.name)!.push({ at: history.now() + decision.delay, units });
                break;
            case "exceeded":
                refused.push({ at: history.now(), instance });
                break;
            case undefined:
                break;
        }
    };
    const sendOne = (account: ServingAccount, multiple: () => number, unitsAt: number, until: Milliseconds): void => {
        const listed = [...rotation];
        const units = account.quota!.ratePerSecond * unitsAt;
        if (listed.length > 0) {
            startDetached(request(account, listed[random.between(0, listed.length - 1)]!, units));
        }
        const interval = 1_000 * unitsAt / multiple();
        if (history.now() < until) {
            // an even rate, with some chance in it
            const pause = interval * (0.5 + random.next());
            history.schedule(pause, () => sendOne(account, multiple, unitsAt, until));
        }
    };
    return {
        history,
        random,
        store,
        names,
        rotation,
        admitted,
        refused,
        counts,
        start,
        stop: name => {
            const process = processes.get(name);
            registered.delete(name);
            if (process) {
                startDetached(process.shards.leave());
            }
        },
        kill: endProcess,
        isRunning: name => processes.has(name),
        cut: (left, duration) => {
            separated = left;
            separatedUntil = history.now() + duration;
        },
        take,
        send: (multiple, unitsAt, until) => accounts.forEach(account => sendOne(account, multiple, unitsAt, until)),
    };
}

/**
 * Finds the window in which most units were admitted.
 *
 * @param admitted - requests of one account at all instances
 * @param window - length of the windows, wherever they begin
 * @returns the largest sum of units
 */
export function findLargestWindow(admitted: readonly AdmittedUnits[], window: Milliseconds): number {
    const entries = [...admitted].sort((left, right) => left.at - right.at);
    let largest = 0;
    let sum = 0;
    let first = 0;
    for (const entry of entries) {
        sum += entry.units;
        while (entries[first]!.at <= entry.at - window) {
            sum -= entries[first]!.units;
            first++;
        }
        largest = Math.max(largest, sum);
    }
    return largest;
}
