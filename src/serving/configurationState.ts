/**
 * The configuration that this instance uses. It is never replaced by an older version. Its age tells how long ago it
 * was last confirmed as current, because requests with keys are only served while the configuration is recent.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { type ClockReading, measureAge } from "./freshness.js";
import { createRouteTable, type RouteTable } from "./routeTable.js";
import type { ServingAccount, ServingConfig } from "./types.js";

/** A configuration with its lookup tables. */
export interface ActiveConfig {
    readonly config: ServingConfig;
    readonly routes: RouteTable;
    readonly accountsByKey: ReadonlyMap<string, ServingAccount>;
}

/** Current configuration and its age. */
export interface ConfigurationState {
    /** Returns the current configuration; `undefined` before the first one. */
    readonly read: () => ActiveConfig | undefined;
    /** Replaces the configuration if the given version is higher; returns whether it was. */
    readonly apply: (config: ServingConfig) => boolean;
    /** Records that the configuration was current at the given time. */
    readonly markConfirmed: (at: ClockReading) => void;
    /** Returns the time since the last confirmation, infinite before the first one. */
    readonly measureAge: (now: ClockReading) => Milliseconds;
}

/**
 * Creates the state of an instance that has not read a configuration yet.
 *
 * @returns the state, of which an instance needs one object
 */
export function createConfigurationState(): ConfigurationState {
    let active: ActiveConfig | undefined;
    let confirmedAt: ClockReading | undefined;
    return {
        read: () => active,
        apply: config => {
            if (active && config.version <= active.config.version) {
                return false;
            }
            active = buildActiveConfig(config);
            return true;
        },
        markConfirmed: at => {
            confirmedAt = at;
        },
        measureAge: now => measureAge(confirmedAt, now),
    };
}

function buildActiveConfig(config: ServingConfig): ActiveConfig {
    const accountsByKey = new Map<string, ServingAccount>();
    for (const account of config.accounts ?? []) {
        account.keys.forEach(key => accountsByKey.set(key, account));
    }
    return { config, routes: createRouteTable(config), accountsByKey };
}
