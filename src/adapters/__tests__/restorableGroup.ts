/**
 * Model of the store's group, in virtual time: it deals shards by chance at each change, keeps copies of itself, and may
 * come back from one of them. Each such restore raises its era; the generation goes back to that of the copy.
 *
 * @packageDocumentation
 */
import type { Milliseconds, SeededRandom } from "../../shared/index.js";

/** How a group behaves where the platform leaves it open. */
export interface GroupVariant {
    /** Whether a shard whose former member still lives waits until that member knows of the change. */
    readonly isReserved: boolean;
    /** Whether a member keeps its shards at a change, as far as they are dealt evenly then. */
    readonly isSticky: boolean;
    /** Whether the lifetimes of members pause while the store is away; they run on otherwise. */
    readonly doTimesPause: boolean;
}

/** Answer to a join. */
export interface GroupAnswer {
    readonly era: number;
    readonly generation: number;
    readonly shards: readonly number[];
}

/** Group of a store that may come back older. */
export interface RestorableGroup {
    readonly join: (member: string, known: number, ttl: Milliseconds) => GroupAnswer;
    readonly leave: (member: string) => undefined;
    readonly listOwners: () => readonly { readonly shard: number; readonly member: string; }[];
    readonly readEra: () => number;
    /** Deals all shards anew without any request. */
    readonly dealAgain: () => void;
    /** Drops expired members and keeps a copy; called at regular times while the store isn't away. */
    readonly tick: () => void;
    /** Ends a time away: with the state of before, or with that of a copy of at least the given age. */
    readonly resume: (away: Milliseconds, age: Milliseconds | undefined) => void;
}

interface GroupMember {
    readonly joinedAt: Milliseconds;
    readonly ttl: Milliseconds;
}

interface GroupShard {
    readonly owner: string | undefined;
    /** Member that must learn of a change first, and the generation of that change. */
    readonly former: { readonly member: string; readonly generation: number; } | undefined;
}

interface GroupState {
    readonly at: Milliseconds;
    readonly generation: number;
    readonly members: ReadonlyMap<string, GroupMember>;
    readonly shards: readonly GroupShard[];
}

const keptCopies = 120;

/**
 * Creates a group without members.
 *
 * @param shardCount - shards that it deals
 * @param variant - its behaviour
 * @param random - source of the dealing
 * @param now - virtual time
 * @param recordLine - told of each change, for a trace
 * @returns the group
 */
export function createRestorableGroup(
    shardCount: number,
    variant: GroupVariant,
    random: SeededRandom,
    now: () => Milliseconds,
    recordLine: (line: string) => void,
): RestorableGroup {
    let era = 1;
    let state: GroupState = {
        at: 0,
        generation: 0,
        members: new Map(),
        shards: Array.from({ length: shardCount }, () => ({ owner: undefined, former: undefined })),
    };
    let copies: readonly GroupState[] = [];

    const describeOwners = (): string => state.shards.map(({ owner }) => owner ?? "-").join(" ");
    const grantShards = (members: ReadonlyMap<string, GroupMember>, why: string): void => {
        const generation = state.generation + 1;
        const owners = chooseOwners(state.shards, [...members.keys()], variant.isSticky, random);
        const shards = state.shards.map((shard, index) => {
            const owner = owners[index];
            const living = shard.former?.member ?? shard.owner;
            const isLeft = living === undefined || living === owner || !members.has(living);
            const former = isLeft || !variant.isReserved
                ? undefined
                : shard.former ?? { member: living, generation };
            return { owner, former };
        });
        state = { ...state, generation, members, shards };
        recordLine(`era ${era} generation ${generation}, ${why}: ${describeOwners()}`);
    };
    const removeMembers = (removed: readonly string[], why: string): void => {
        const members = new Map([...state.members].filter(([name]) => !removed.includes(name)));
        if (members.size < state.members.size) {
            grantShards(members, `${removed.join(" ")} ${why}`);
        }
    };
    const expireMembers = (): void => {
        const isExpired = ({ joinedAt, ttl }: GroupMember): boolean => now() - joinedAt > ttl;
        removeMembers([...state.members].filter(([, member]) => isExpired(member)).map(([name]) => name), "expired");
    };
    const listShards = (member: string): readonly number[] =>
        state.shards.flatMap(({ owner, former }, shard) => owner === member && !former ? [shard] : []);
    const moveTimes = (members: ReadonlyMap<string, GroupMember>, by: Milliseconds): GroupState["members"] =>
        new Map([...members].map(([name, member]) => [name, { ...member, joinedAt: member.joinedAt + by }]));
    return {
        join: (member, known, ttl) => {
            expireMembers();
            const isNew = !state.members.has(member);
            const members = new Map(state.members).set(member, { joinedAt: now(), ttl });
            const shards = state.shards.map(shard => {
                const hasLearned = shard.former?.member === member && known >= shard.former.generation;
                return hasLearned ? { ...shard, former: undefined } : shard;
            });
            state = { ...state, members, shards };
            if (isNew) {
                grantShards(members, `${member} joined`);
            }
            return { era, generation: state.generation, shards: listShards(member) };
        },
        leave: member => {
            removeMembers([member], "left");
            return undefined;
        },
        listOwners: () =>
            state.shards.flatMap(({ owner, former }, shard) => {
                const member = former?.member ?? owner;
                return member === undefined ? [] : [{ shard, member }];
            }),
        readEra: () => era,
        dealAgain: () => grantShards(state.members, "dealt again"),
        tick: () => {
            expireMembers();
            copies = [...copies.slice(1 - keptCopies), { ...state, at: now() }];
        },
        resume: (away, age) => {
            const copy = age === undefined ? undefined : copies.findLast(({ at }) => at <= now() - age) ?? copies[0];
            const restored = copy ?? { ...state, at: now() - away };
            const pause = variant.doTimesPause ? now() - restored.at : 0;
            state = { ...restored, members: moveTimes(restored.members, pause) };
            era += copy ? 1 : 0;
            recordLine(`store back, era ${era} generation ${state.generation}: ${describeOwners()}`);
        },
    };
}

function chooseOwners(
    shards: readonly GroupShard[],
    members: readonly string[],
    isSticky: boolean,
    random: SeededRandom,
): readonly (string | undefined)[] {
    const seats = shards.map((shard, index) => members[index % Math.max(1, members.length)]);
    const takeSeat = (seat: number): string | undefined => seats.splice(seat, 1)[0];
    const kept = shards.map(({ owner }) => {
        const seat = isSticky && owner !== undefined ? seats.indexOf(owner) : -1;
        return seat < 0 ? undefined : takeSeat(seat);
    });
    return kept.map(owner => owner ?? (seats.length > 0 ? takeSeat(random.between(0, seats.length - 1)) : undefined));
}
