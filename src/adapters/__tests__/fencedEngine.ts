/**
 * Model of an engine that refuses a lower fencing number than it has seen, and forgets what it has seen at a restart.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../../shared/index.js";

/** Order of a holder. */
export interface HolderOrder {
    readonly holder: string;
    readonly fencingNumber: number;
    readonly sentAt: Milliseconds;
}

/** Order that has arrived at the engine. */
export interface ArrivedOrder extends HolderOrder {
    readonly at: Milliseconds;
    readonly incarnation: number;
}

/** Engine that checks fencing numbers. */
export interface FencedEngine {
    readonly shard: number;
    /** Accepts or refuses an order. */
    readonly accept: (order: HolderOrder, now: Milliseconds) => boolean;
    readonly restart: () => void;
    readonly listAccepted: () => readonly ArrivedOrder[];
    readonly listRefused: () => readonly ArrivedOrder[];
    /** Describes each number that one incarnation has accepted from two holders. */
    readonly listSharedNumbers: () => readonly string[];
    /** Time at which a holder sent its last order that has arrived; negative infinity when none has. */
    readonly findLastSent: (holder: string) => Milliseconds;
}

/**
 * Creates an engine that has seen no order.
 *
 * @param shard - its shard
 * @param recordLine - told of the first order of each holder with each number, for a trace
 * @returns the engine
 */
export function createFencedEngine(shard: number, recordLine: (line: string) => void): FencedEngine {
    const accepted: ArrivedOrder[] = [];
    const refused: ArrivedOrder[] = [];
    const shared = new Set<string>();
    const lastSent = new Map<string, Milliseconds>();
    let holders = new Map<number, string>();
    let noted = new Set<string>();
    let highest = Number.NEGATIVE_INFINITY;
    let incarnation = 1;
    const recordOnce = (line: string): void => {
        if (!noted.has(line)) {
            noted.add(line);
            recordLine(line);
        }
    };
    return {
        shard,
        accept: (order, now) => {
            const { holder, fencingNumber, sentAt } = order;
            const isAccepted = fencingNumber >= highest;
            recordOnce(`engine ${shard} ${isAccepted ? "accepts" : "refuses"} ${holder} with ${fencingNumber}`);
            lastSent.set(holder, Math.max(sentAt, lastSent.get(holder) ?? sentAt));
            (isAccepted ? accepted : refused).push({ ...order, at: now, incarnation });
            if (isAccepted) {
                const first = holders.get(fencingNumber) ?? holder;
                holders.set(fencingNumber, first);
                highest = fencingNumber;
                if (first !== holder) {
                    shared.add(`engine ${shard} accepts ${fencingNumber} from ${first} and ${holder}`);
                }
            }
            return isAccepted;
        },
        restart: () => {
            incarnation++;
            highest = Number.NEGATIVE_INFINITY;
            holders = new Map();
            noted = new Set();
        },
        listAccepted: () => accepted,
        listRefused: () => refused,
        listSharedNumbers: () => [...shared],
        findLastSent: holder => lastSent.get(holder) ?? Number.NEGATIVE_INFINITY,
    };
}
