/**
 * Which software versions of each service serve, or have served not long ago.
 *
 * @packageDocumentation
 */
import type { BackendServer, SoftwareVersion } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import type { OriginView } from "./types.js";

/** Software versions of all services over time. */
export interface VersionHistory {
    /** Replaces the servers that are listed now. */
    readonly update: (servers: readonly BackendServer[], now: Milliseconds) => void;
    /** Returns what has served the services at any time since `since`. */
    readonly view: (services: readonly string[], since: Milliseconds) => OriginView;
    /** Forgets the versions that have not served since `since`. */
    readonly prune: (since: Milliseconds) => void;
}

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
    let followedSince = isFromStart ? Number.NEGATIVE_INFINITY : undefined;
    const markSeen = (service: string, version: SoftwareVersion | undefined, now: Milliseconds): void => {
        const versions: Versions = lastSeen.get(service) ?? new Map();
        versions.set(version, now);
        lastSeen.set(service, versions);
    };
    return {
        update: (servers, now) => {
            followedSince ??= now;
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
        view: (services, since) => ({
            origins: services.flatMap(service =>
                [...lastSeen.get(service) ?? []]
                    .filter(([version, seenAt]) => seenAt >= since || listed.get(service)?.has(version))
                    .map(([version]) => ({ service, version }))
            ),
            isComplete: followedSince !== undefined && followedSince <= since,
        }),
        prune: since => {
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
