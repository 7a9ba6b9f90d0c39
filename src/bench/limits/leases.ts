/**
 * A stand-in of membership that keeps its contract: epochs in one agreed order, leases on a prefix of them, and gains
 * only once every lease on a shorter prefix has lapsed. Instances learn of epochs at different times.
 *
 * @packageDocumentation
 */
import type { MemberEpoch } from "../../membership/index.js";
import type { InstanceId, Milliseconds } from "../../shared/index.js";

/** Life of a lease, counted from the start of its renewal. */
export const leaseLifeMilliseconds = 3_000;
/** Time between two renewals. */
export const renewalIntervalMilliseconds = 800;

interface EpochRecord {
    readonly number: number;
    readonly members: readonly InstanceId[];
    readonly appendedAt: Milliseconds;
}

/** What an instance reads at a renewal; times are true time. */
export interface LeaseReading {
    readonly epoch: MemberEpoch;
    readonly validUntil: Milliseconds;
}

/** The agreed epochs. */
export interface LeaseAuthority {
    readonly append: (members: readonly InstanceId[], now: Milliseconds) => void;
    readonly readMembers: () => readonly InstanceId[];
    /** Reads up to the head and renews the lease. */
    readonly renew: (now: Milliseconds) => LeaseReading;
    /** While the log is down no epoch is appended; peers' witnesses go on renewing leases. */
    readonly setLogUp: (isUp: boolean) => void;
    readonly isLogUp: () => boolean;
}

/**
 * Creates the stand-in.
 *
 * @param founders - members of the first epoch, in force from the start
 * @returns the stand-in
 */
export function createLeaseAuthority(founders: readonly InstanceId[]): LeaseAuthority {
    const records: EpochRecord[] = [{ number: 0, members: founders, appendedAt: -leaseLifeMilliseconds }];
    let isLogUp = true;
    const readHead = (): EpochRecord => records.at(-1)!;
    return {
        append: (members, now) => {
            if (isLogUp) {
                records.push({ number: readHead().number + 1, members: [...members].sort(), appendedAt: now });
            }
        },
        readMembers: () => readHead().members,
        renew: now => {
            const { number, members, appendedAt } = readHead();
            const growAt = appendedAt + leaseLifeMilliseconds;
            return { epoch: { number, members, gainsAllowedAt: growAt }, validUntil: now + leaseLifeMilliseconds };
        },
        setLogUp: up => isLogUp = up,
        isLogUp: () => isLogUp,
    };
}
