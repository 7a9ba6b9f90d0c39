/**
 * Finds holders that take turns at an engine within the order lease, though nothing disturbed them or the store.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../../shared/index.js";
import type { ArrivedOrder, FencedEngine } from "./fencedEngine.js";

/** Times at which members or the store were disturbed. */
export interface Disturbances {
    /** Adds a disturbance of a member, or of all where `member` is `undefined`. */
    readonly add: (member: string | undefined, from: Milliseconds, until: Milliseconds) => void;
    /** Whether a member or the store was disturbed at some time between the two. */
    readonly has: (member: string, from: Milliseconds, until: Milliseconds) => boolean;
}

/**
 * Creates an empty list of disturbances.
 *
 * @returns the list
 */
export function createDisturbances(): Disturbances {
    const entries: {
        readonly member: string | undefined;
        readonly from: Milliseconds;
        readonly until: Milliseconds;
    }[] = [];
    return {
        add: (member, from, until) => void entries.push({ member, from, until }),
        has: (member, from, until) =>
            entries.some(entry =>
                (entry.member === undefined || entry.member === member) && entry.from <= until && entry.until >= from
            ),
    };
}

/**
 * Finds turns: orders of a holder, of another one and of the first again within the lease.
 *
 * @param engine - engine whose accepted orders are checked
 * @param disturbances - disturbances, after each of which holders may take turns for the duration of the lease
 * @param orderLease - time within which holders must not take turns
 * @returns a line for each turn
 */
export function findTurns(
    engine: FencedEngine,
    disturbances: Disturbances,
    orderLease: Milliseconds,
): readonly string[] {
    const changes = listChanges(engine.listAccepted());
    return changes.flatMap((change, index) => {
        const back = changes[index + 1];
        const isTurn = back?.to.holder === change.from.holder && back.to.at - change.from.at < orderLease
            && back.to.incarnation === change.from.incarnation;
        const isDisturbed = (holder: string): boolean =>
            disturbances.has(holder, change.from.at - orderLease, back!.to.at);
        return isTurn && !isDisturbed(change.from.holder) && !isDisturbed(change.to.holder)
            ? [
                `engine ${engine.shard}: ${change.from.holder} at ${change.from.at}, ${change.to.holder} at `
                + `${change.to.at}, again ${back.to.holder} at ${back.to.at}`,
            ]
            : [];
    });
}

interface HolderChange {
    readonly from: ArrivedOrder;
    readonly to: ArrivedOrder;
}

function listChanges(orders: readonly ArrivedOrder[]): readonly HolderChange[] {
    return orders.flatMap((to, index) => {
        const from = orders[index - 1];
        return from && from.holder !== to.holder ? [{ from, to }] : [];
    });
}
