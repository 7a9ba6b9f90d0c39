/**
 * Evictions that are written ahead: an intent is known to a majority of the members, and every holder of a use lease
 * has let go, before the order to unload is sent.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { LoadName } from "./messages.js";

/** An eviction under way. */
export interface EvictionIntent {
    readonly name: LoadName;
    readonly startedAt: Milliseconds;
    /** Last answer of each instance: whether it still runs requests on the load. */
    readonly answers: ReadonlyMap<InstanceId, boolean>;
    readonly lastRequestedAt: Milliseconds;
    /** Whether the order has been sent at least once, and when last. */
    readonly unloadOrderedAt: Milliseconds | undefined;
    /** Whether an order is under way. */
    readonly isUnloadInFlight: boolean;
}

/** Who may still use a load, and until when at the latest. */
export type HolderExpiries = ReadonlyMap<InstanceId, Milliseconds>;

/**
 * Starts an intent.
 *
 * @param name - the load to evict
 * @param now - present time
 * @returns an intent that nobody has answered
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
 * Adds an instance's answer.
 *
 * @param intent - the intent
 * @param from - who answers
 * @param inUse - whether requests of that instance still run on the load
 * @returns the intent with the answer
 */
export function addAnswer(intent: EvictionIntent, from: InstanceId, inUse: boolean): EvictionIntent {
    // an answer that nothing runs is final: the instance starts nothing more on this load
    const isFinal = intent.answers.get(from) === false;
    return isFinal ? intent : { ...intent, answers: new Map(intent.answers).set(from, inUse) };
}

/**
 * Counts the members that a quorum needs; any two quorums share a member.
 *
 * @param members - number of members
 * @returns the least majority
 */
export function countMajority(members: number): number {
    return Math.floor(members / 2) + 1;
}

/**
 * Counts the members a new owner must hear from to learn of every intent that a majority has witnessed.
 *
 * @param members - number of members
 * @returns the least number that meets each majority
 */
export function countTakeoverQuorum(members: number): number {
    return members - Math.floor(members / 2);
}

/**
 * Lists the instances that have not yet let go of the load.
 *
 * @param intent - the intent
 * @param holders - who may use the load, and until when
 * @param now - present time
 * @returns those for whom the eviction waits
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
 * @param holders - who may use the load, and until when
 * @param members - agreed members, whose majority bears witness
 * @param now - present time
 * @returns whether the load is in nobody's use and stays so
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
