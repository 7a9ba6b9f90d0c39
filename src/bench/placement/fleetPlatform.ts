/**
 * What placement needs of the other parts, on a history: agreed members, ownership of engines and the load budget, each
 * as strict as its interface says and no more.
 *
 * @packageDocumentation
 */
import type { MemberEpoch, OwnershipLease } from "../../membership/index.js";
import { compareText, type InstanceId, type Milliseconds, rankByRendezvous } from "../../shared/index.js";
import type { History } from "../../testing/index.js";

/** Times of the platform. */
export interface PlatformTimes {
    readonly leaseDuration: Milliseconds;
    readonly renewInterval: Milliseconds;
}

/** Members and owners, as every instance reads them. */
export interface FleetPlatform {
    /** Renews an instance's leases; called by the instance while it runs and is not cut off. */
    readonly renew: (instance: InstanceId) => void;
    /** Removes an instance from the list at once; its leases lapse in their own time. */
    readonly remove: (instance: InstanceId) => void;
    /** Takes an engine from its owner, which notices only when its lease lapses. */
    readonly move: (engine: string) => void;
    readonly listLive: () => readonly InstanceId[];
    readonly readEpoch: () => MemberEpoch;
    readonly readValidUntil: (instance: InstanceId) => Milliseconds;
    readonly findOwner: (engine: string) => InstanceId | undefined;
    readonly findLease: (instance: InstanceId, engine: string, now: Milliseconds) => OwnershipLease | undefined;
    /** Lets lapsed leases go to others. */
    readonly advance: () => void;
}

interface Ownership {
    owner: InstanceId | undefined;
    fencingNumber: number;
    validUntil: Milliseconds;
    /** Whether the owner's lease is no longer renewed. */
    isLeaving: boolean;
}

/**
 * Creates the platform's side.
 *
 * @param history - virtual time
 * @param engines - names of the engines
 * @param times - how long leases last
 * @returns members and owners
 */
export function createFleetPlatform(
    history: Pick<History<unknown>, "now">,
    engines: readonly string[],
    times: PlatformTimes,
): FleetPlatform {
    const validUntil = new Map<InstanceId, Milliseconds>();
    const live = new Set<InstanceId>();
    let liveList: readonly InstanceId[] = [];
    const owners = new Map<string, Ownership>(
        engines.map(engine => [engine, { owner: undefined, fencingNumber: 0, validUntil: 0, isLeaving: false }]),
    );
    let offset = 0;
    let epoch: MemberEpoch = { number: -1, members: [], gainsAllowedAt: 0 };

    const setMembers = (): void => {
        const members = [...validUntil].flatMap(([name, until]) => until > history.now() ? [name] : [])
            .sort(compareText);
        if (members.join() !== epoch.members.join()) {
            epoch = { number: ++offset, members, gainsAllowedAt: history.now() };
        }
    };
    const setOwner = (engine: string, ownership: Ownership): void => {
        if (ownership.owner !== undefined && ownership.validUntil > history.now()) {
            return;
        }
        const candidates = epoch.members.filter(member => live.has(member) && member !== ownership.owner);
        const next = rankByRendezvous(engine, candidates.length > 0 ? candidates : epoch.members, 1)[0];
        ownership.owner = next;
        ownership.fencingNumber = next === undefined ? ownership.fencingNumber : ++offset;
        ownership.validUntil = next === undefined ? 0 : history.now() + times.leaseDuration;
        ownership.isLeaving = false;
    };
    return {
        renew: instance => {
            if (!live.has(instance)) {
                live.add(instance);
                liveList = [...live].sort(compareText);
            }
            const until = history.now() + times.leaseDuration;
            validUntil.set(instance, until);
            for (const ownership of owners.values()) {
                const isHeld = ownership.owner === instance && ownership.validUntil > history.now();
                ownership.validUntil = isHeld && !ownership.isLeaving ? until : ownership.validUntil;
            }
        },
        remove: instance => {
            live.delete(instance);
            liveList = [...live].sort(compareText);
        },
        move: engine => {
            owners.get(engine)!.isLeaving = true;
        },
        listLive: () => liveList,
        readEpoch: () => epoch,
        readValidUntil: instance => validUntil.get(instance) ?? 0,
        findOwner: engine => owners.get(engine)?.owner,
        findLease: (instance, engine, now) => {
            const ownership = owners.get(engine);
            return ownership?.owner === instance && ownership.validUntil > now
                ? {
                    shard: `engine/${engine}`,
                    owner: instance,
                    fencingNumber: ownership.fencingNumber,
                    validUntil: ownership.validUntil,
                }
                : undefined;
        },
        advance: () => {
            setMembers();
            owners.forEach((ownership, engine) => setOwner(engine, ownership));
        },
    };
}
