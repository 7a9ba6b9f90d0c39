/**
 * Which software versions of each service serve, or have served not long ago.
 *
 * @packageDocumentation
 */
import { type ClockReading, measureAge } from "../serving/freshness.js";
import type { BackendServer, SoftwareVersion } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import type { OriginView } from "./types.js";

/** Software versions of all services over time. */
export interface VersionHistory {
    /** Replaces the servers that are listed now. */
    readonly update: (servers: readonly BackendServer[], now: Milliseconds) => void;
    /** Adds servers that are listed now to those of the last update. */
    readonly observe: (servers: readonly BackendServer[], now: Milliseconds) => void;
    /**
     * Records that all writes of the list before `at` have been passed to `update` or `observe`. Time since the confirmation
     * before counts as followed unless there is too much of it.
     */
    readonly confirm: (at: ClockReading, now: Milliseconds) => void;
    /** Returns what has served the services at any time since `since`, and over which times that was followed. */
    readonly view: (services: readonly string[], since: Milliseconds, now: ClockReading) => OriginView;
    /** Forgets the versions that have not served since `since`. */
    readonly prune: (since: Milliseconds) => void;
}

interface FollowedTime {
    readonly from: Milliseconds;
    to: ClockReading;
}

/**
 * Longest time between two confirmations that counts as followed: a read of the list that waits for news, relayed and from
 * data of the greatest age that is used. Within it a server would have to come and go unseen.
 */
const maximumConfirmationGapMilliseconds = 4_000;
const maximumFollowedTimes = 16;
/** The time of day is read in whole milliseconds: so much of a difference is none. */
const timeOfDayResolutionMilliseconds = 1;

type Versions = Map<SoftwareVersion | undefined, Milliseconds>;

/**
 * Creates a history without servers.
 *
 * @param isFromStart - whether no server has served before, so that the history is complete from the beginning
 * @returns the history
 */
export function createVersionHistory(isFromStart: boolean): VersionHistory {
    const listed = new Map<string, Set<SoftwareVersion | undefined>>();
    const lastSeen = new Map<string, Versions>();
    let followed: FollowedTime[] = [];
    let isFirst = true;
    const markSeen = (service: string, version: SoftwareVersion | undefined, now: Milliseconds): void => {
        const versions: Versions = lastSeen.get(service) ?? new Map();
        versions.set(version, now);
        lastSeen.set(service, versions);
    };
    return {
        update: (servers, now) => {
            // versions that are gone now have served until just before
            listed.forEach((versions, service) => versions.forEach(version => markSeen(service, version, now)));
            listed.clear();
            for (const { service, softwareVersion } of servers) {
                const versions = listed.get(service) ?? new Set();
                versions.add(softwareVersion);
                listed.set(service, versions);
                markSeen(service, softwareVersion, now);
            }
        },
        observe: (servers, now) =>
            servers.forEach(({ service, softwareVersion }) => markSeen(service, softwareVersion, now)),
        confirm: (at, now) => {
            const last = followed.at(-1);
            if (last && at.monotonic <= last.to.monotonic) {
                return;
            }
            if (last && measureAge(last.to, at) <= maximumConfirmationGapMilliseconds) {
                last.to = at;
                return;
            }
            // what came and went before the list was received isn't in it
            followed.push({ from: isFirst && isFromStart ? Number.NEGATIVE_INFINITY : now, to: at });
            followed = followed.slice(-maximumFollowedTimes);
            isFirst = false;
        },
        view: (services, since, now) => ({
            origins: services.flatMap(service =>
                [...lastSeen.get(service) ?? []]
                    .filter(([version, seenAt]) => seenAt >= since || listed.get(service)?.has(version))
                    .map(([version]) => ({ service, version }))
            ),
            // the beginning is never taken for earlier, nor the end for later, than it was by either clock
            followed: followed.map(({ from, to }) => ({
                from,
                to: now.monotonic - measureAge(to, reduceTimeOfDay(now)),
            })),
        }),
        prune: since => {
            followed = followed.filter((time, index) => time.to.monotonic >= since || index === followed.length - 1);
            for (const [service, versions] of lastSeen) {
                for (const [version, seenAt] of versions) {
                    if (seenAt < since && !listed.get(service)?.has(version)) {
                        versions.delete(version);
                    }
                }
                if (versions.size === 0) {
                    lastSeen.delete(service);
                }
            }
        },
    };
}

function reduceTimeOfDay({ monotonic, timeOfDay }: ClockReading): ClockReading {
    return { monotonic, timeOfDay: timeOfDay - timeOfDayResolutionMilliseconds };
}
