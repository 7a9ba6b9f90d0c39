/**
 * Tells from when on what the store says is complete again. After its return from an older copy it lacks what its writers
 * have written since, until they write it again. A process that has just started can't tell how long ago the store came
 * back; the entries of the other instances say since when they know its era.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { type ClockReading, readClocks } from "./freshness.js";
import type { StoreEra, StoreEras } from "./storeEras.js";

/** Dependencies of the settling. */
export interface EraSettlingOptions {
    readonly eras: StoreEras;
    /** Whether the whole system starts for the first time: nothing was written before its first era. */
    readonly isFirstStart: boolean;
    /** Unix time at which the first instance saw an era, by the entries of all; `undefined` when none says so. */
    readonly findSeenAtInEntries: (era: StoreEra) => Milliseconds | undefined;
    /** The same on the monotonic clock, by what others have answered. @default nobody was asked */
    readonly findSeenAtInAnswers?: (era: StoreEra) => Milliseconds | undefined;
    /** Whether others are still asked for what they know. @default they never are */
    readonly isAsking?: () => boolean;
    /** Reads the clocks. @default those of the process */
    readonly readClocks?: () => ClockReading;
}

/** Settling of the store's newest era. */
export interface EraSettling {
    /** Time from which the store has again all that was written, on the monotonic clock; it may become earlier. */
    readonly readSettledAt: () => Milliseconds;
    readonly isSettled: () => boolean;
}

/** Time in which the writers write again what the store has lost: the platform names two seconds for the entries of servers. */
export const rewriteMilliseconds: Milliseconds = 2_000;

/**
 * Creates the settling.
 *
 * @param options - eras of the store, and what others say of them
 * @returns the settling, of which an instance needs one object
 */
export function createEraSettling(options: EraSettlingOptions): EraSettling {
    const { eras, isAsking = () => false, readClocks: readNow = readClocks } = options;
    const isFirstEra = (): boolean => eras.countRises() <= 1 && options.isFirstStart;
    // the entries hold times of other clocks, and count only where nobody answers, as after a mass kill
    const findSeenByOthers = (): Milliseconds => {
        const registeredAt = options.findSeenAtInEntries(eras.read());
        const now = readNow();
        return options.findSeenAtInAnswers?.(eras.read()) ??
            (registeredAt === undefined ? Number.POSITIVE_INFINITY : now.monotonic - (now.timeOfDay - registeredAt));
    };
    const findSeenAt = (): Milliseconds =>
        eras.countRises() > 1 ? eras.readSeenAt() : Math.min(eras.readSeenAt(), findSeenByOthers());
    const readSettledAt = (): Milliseconds => {
        if (eras.read() === 0 || isFirstEra()) {
            return Number.NEGATIVE_INFINITY;
        }
        return isAsking()
            ? Number.POSITIVE_INFINITY
            : findSeenAt() + rewriteMilliseconds;
    };
    return { readSettledAt, isSettled: () => readNow().monotonic >= readSettledAt() };
}
