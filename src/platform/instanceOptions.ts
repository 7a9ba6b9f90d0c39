/**
 * Translates the settings of a process on the platform to those of an instance.
 *
 * @packageDocumentation
 */
import type { ServingOptions } from "../serving/servingOptions.js";
import { type Clock, type Milliseconds } from "../shared/index.js";
import type { PlatformBounds, PlatformSettings } from "./settings.js";

/** Lifetime of this instance's membership in the shard group, unless the store requires a longer one. */
const defaultMembershipTtlMilliseconds: Milliseconds = 1_500;

/**
 * Creates the settings of the instance.
 *
 * @param settings - settings with which the process has started
 * @param readBounds - returns the present bounds, which are read each time that one is needed
 * @param metricsPort - port that serves `/metrics`
 * @param clock - clock of the process
 * @returns the settings, whose bounds change with those of `readBounds`
 */
export function createInstanceOptions(
    settings: PlatformSettings,
    readBounds: () => PlatformBounds,
    metricsPort: number,
    clock: Clock,
): ServingOptions {
    return {
        instanceName: settings.instanceName,
        host: settings.host,
        failureDomain: settings.failureDomain,
        region: settings.region ?? settings.regionsByDomain.get(settings.failureDomain),
        regionsByDomain: settings.regionsByDomain,
        cores: settings.cores,
        clientPort: parsePort(settings.clientAddress),
        readyPort: parsePort(settings.readinessAddress),
        peerPort: settings.peerPort,
        metricsPort,
        shardCount: settings.engineShardCount,
        shardTtl: Math.max(defaultMembershipTtlMilliseconds, settings.minimumMembershipTtl),
        serverHeartbeat: settings.serverHeartbeatInterval,
        isFirstStart: settings.isFirstStart,
        clock,
        get orderLease() {
            return readBounds().orderLease;
        },
        get areOrdersFenced() {
            return readBounds().areOrdersFenced;
        },
        get revocationBound() {
            return readBounds().keyRevocationDelay;
        },
        get versionBound() {
            return readBounds().adapterVersionGracePeriod;
        },
        get evacuationBound() {
            return readBounds().evacuationDelay;
        },
        get grace() {
            return readBounds().gracePeriod;
        },
        quota: {
            get window() {
                return readBounds().quotaWindow;
            },
            get excessRatio() {
                return readBounds().quotaExcessRatio;
            },
            get excessUnits() {
                return readBounds().quotaExcessAllowance;
            },
        },
        cold: {
            get over() {
                return readBounds().coldExcessFactor;
            },
            get slack() {
                return readBounds().coldExcessAllowance;
            },
        },
        retry: {
            window: settings.bounds.retryWindow,
            get ratio() {
                return readBounds().retryRatio;
            },
            get slack() {
                return readBounds().retryAllowance;
            },
        },
    };
}

function parsePort(address: string): number {
    return Number(address.slice(address.lastIndexOf(":") + 1));
}
