/**
 * Evictions are announced before they are carried out: the order to unload is sent only after a majority of the members
 * knows of the intent and no holder of a use lease can use the load any more.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { LoadName } from "./messages.js";

/** An eviction in progress. */
export interface EvictionIntent {
    readonly name: LoadName;
    readonly startedAt: Milliseconds;
    /** Last answer of each instance: whether it still runs requests on the load. */
    readonly answers: ReadonlyMap<InstanceId, boolean>;
    readonly lastRequestedAt: Milliseconds;
    /** When the order to unload was last sent; `undefined` before the first time. */
    readonly unloadOrderedAt: Milliseconds | undefined;
    /** Whether an order to unload has been sent and has no result yet. */
    readonly isUnloadInFlight: boolean;
}

/** The instances that may still use a load, and when each of them ceases to be a holder. */
export type HolderExpiries = ReadonlyMap<InstanceId, Milliseconds>;

/**
 * Creates the intent to evict a load.
 *
 * @param name - the load to evict
 * @param now - current time
 * @returns an intent without answers
 */
export function createEvictionIntent(name: LoadName, now: Milliseconds): EvictionIntent {
    return {
        name,
        startedAt: now,
        answers: new Map(),
        lastRequestedAt: Number.NEGATIVE_INFINITY,
        unloadOrderedAt: undefined,
        isUnloadInFlight: false,
    };
}

/**
 * Adds the answer of an instance.
 *
 * @param intent - the intent
 * @param from - the instance that answered
 * @param inUse - whether requests of that instance still run on the load
 * @returns a new intent, or the same one if the instance has already answered that nothing runs
 */
export function addAnswer(intent: EvictionIntent, from: InstanceId, inUse: boolean): EvictionIntent {
    // the answer that nothing runs is final, since the instance starts no more requests on this load
    const isFinal = intent.answers.get(from) === false;
    return isFinal ? intent : { ...intent, answers: new Map(intent.answers).set(from, inUse) };
}

/**
 * Counts the members of a majority; any two majorities share a member.
 *
 * @param members - number of members
 * @returns the size of the smallest majority
 */
export function countMajority(members: number): number {
    return Math.floor(members / 2) + 1;
}

/**
 * Counts the members that a new owner must hear from to learn of every intent that a majority knows of.
 *
 * @param members - number of members
 * @returns the size of the smallest set of members that shares one with each majority
 */
export function countTakeoverQuorum(members: number): number {
    return members - Math.floor(members / 2);
}

/**
 * Lists the instances that may still use the load.
 *
 * @param intent - the intent
 * @param holders - the holders of the load
 * @param now - current time
 * @returns the instances that the eviction waits for
 */
export function listBlockingInstances(
    intent: EvictionIntent,
    holders: HolderExpiries,
    now: Milliseconds,
): readonly InstanceId[] {
    const blocking = new Set<InstanceId>();
    for (const [instance, until] of holders) {
        if (intent.answers.get(instance) !== false && until > now) {
            blocking.add(instance);
        }
    }
    for (const [instance, inUse] of intent.answers) {
        if (inUse && (holders.get(instance) ?? Number.POSITIVE_INFINITY) > now) {
            blocking.add(instance);
        }
    }
    return [...blocking];
}

/**
 * Checks whether the order to unload may be sent.
 *
 * @param intent - the intent
 * @param holders - the holders of the load
 * @param members - members of the current epoch, of which a majority must know of the eviction
 * @param now - current time
 * @returns whether a majority of the members knows of the eviction and no instance can use the load any more
 */
export function isUnloadSafe(
    intent: EvictionIntent,
    holders: HolderExpiries,
    members: readonly InstanceId[],
    now: Milliseconds,
): boolean {
    const witnesses = members.filter(member => intent.answers.has(member)).length;
    return witnesses >= countMajority(members.length) && listBlockingInstances(intent, holders, now).length === 0;
}
