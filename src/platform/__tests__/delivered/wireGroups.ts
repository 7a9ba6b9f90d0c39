/**
 * Groups of the stand-in store, whose members hold partitions of a topic.
 */
import { createSeededRandom } from "../../../shared/index.js";
import { createStoreCopies } from "./storeCopies.js";

/** A call of a member. */
export interface GroupCall {
    readonly group: string;
    readonly member_id: string;
    readonly topics: readonly string[];
    readonly ttl_ms: number;
    readonly generation: number;
}

/** All groups. Times are in milliseconds. */
export interface WireGroups {
    readonly join: (call: GroupCall, now: number) => unknown;
    readonly removeMember: (call: GroupCall, now: number) => unknown;
    readonly listOwners: (group: string, now: number) => unknown;
    /** Reassigns all partitions of all groups without any request. */
    readonly reset: (now: number) => void;
    /** Takes all groups back to a time; the members' times begin anew. */
    readonly restore: (at: number, now: number) => void;
}

/** Returns a member for each partition. */
export type PartDealer = (members: readonly string[], partCount: number) => readonly string[];

interface GroupMember {
    at: number;
    ttl: number;
    generation: number;
}

interface Group {
    generation: number;
    readonly topic: string;
    readonly members: Map<string, GroupMember>;
    readonly owners: Map<number, string | undefined>;
    readonly targets: Map<number, string | undefined>;
}

/**
 * Creates a dealer that gives the same partitions to the same members.
 *
 * @returns the dealer
 */
export function createSteadyDealer(): PartDealer {
    return (members, partCount) => Array.from({ length: partCount }, (unused, part) => members[part % members.length]!);
}

/**
 * Creates a dealer that gives each member equally many partitions, other ones each time.
 *
 * @param seed - seed of the chance
 * @returns the dealer
 */
export function createChanceDealer(seed: number): PartDealer {
    const random = createSeededRandom(seed);
    return (members, partCount) => {
        const order = Array.from({ length: partCount }, (unused, part) => part)
            .map(part => ({ part, rank: random.next() }))
            .sort((a, b) => a.rank - b.rank)
            .map(({ part }) => part);
        return order.map(place => members[place % members.length]!);
    };
}

/**
 * Creates the groups, of which there are none.
 *
 * @param partCount - number of partitions of each topic
 * @param splitParts - decides who gets which partition at each change
 * @returns the groups
 */
export function createWireGroups(partCount: number, splitParts: PartDealer): WireGroups {
    let groups = new Map<string, Group>();
    const copies = createStoreCopies<ReadonlyMap<string, Group>>();
    // one that another member still holds moves when that member has learned of it
    const moveParts = (group: Group): void => {
        group.generation++;
        const dealt = splitParts([...group.members.keys()].sort(), partCount);
        for (let part = 0; part < partCount; part++) {
            group.targets.set(part, dealt[part]);
        }
    };
    const settle = (group: Group): void => {
        for (let part = 0; part < partCount; part++) {
            const owner = group.owners.get(part);
            const known = owner === undefined ? undefined : group.members.get(owner);
            // the generation of a member may be one of before a restore, and later than any of the store
            if (!known || known.generation >= group.generation) {
                group.owners.set(part, group.targets.get(part));
            }
        }
    };
    const expireMembers = (group: Group, now: number): void => {
        const gone = [...group.members].filter(([, member]) => now - member.at > member.ttl);
        gone.forEach(([name]) => group.members.delete(name));
        if (gone.length > 0) {
            moveParts(group);
        }
        settle(group);
    };
    return {
        join: (call, now) => {
            const group = groups.get(call.group) ??
                { generation: 0, topic: call.topics[0]!, members: new Map(), owners: new Map(), targets: new Map() };
            groups.set(call.group, group);
            expireMembers(group, now);
            const isNew = !group.members.has(call.member_id);
            group.members.set(call.member_id, { at: now, ttl: call.ttl_ms, generation: call.generation });
            if (isNew) {
                moveParts(group);
            }
            settle(group);
            copies.add(groups, now);
            const held = [...group.owners]
                .filter(([part, owner]) => owner === call.member_id && group.targets.get(part) === call.member_id);
            return { generation: group.generation, parts: held.map(([part]) => [group.topic, part, 0]) };
        },
        removeMember: (call, now) => {
            const group = groups.get(call.group);
            if (group?.members.delete(call.member_id)) {
                moveParts(group);
                settle(group);
                copies.add(groups, now);
            }
            return {};
        },
        listOwners: (name, now) => {
            const group = groups.get(name);
            if (!group) {
                return [];
            }
            expireMembers(group, now);
            copies.add(groups, now);
            return [...group.owners]
                .filter(([, owner]) => owner !== undefined)
                .map(([part, owner]) => [group.topic, part, owner, 0]);
        },
        reset: now => {
            groups.forEach(moveParts);
            copies.add(groups, now);
        },
        restore: (at, now) => {
            groups = new Map(copies.restore(at));
            groups.forEach(group => group.members.forEach(member => member.at = now));
            copies.add(groups, now);
        },
    };
}
