/**
 * The configuration in force at this instance. It never goes back, and what depends on keys is served only while it is
 * known to be fresh.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { type ClockReading, measureAge } from "./freshness.js";
import { createRouteTable, type RouteTable } from "./routeTable.js";
import type { ServingAccount, ServingConfig } from "./types.js";

/** A configuration with its tables. */
export interface ActiveConfig {
    readonly config: ServingConfig;
    readonly routes: RouteTable;
    readonly accountsByKey: ReadonlyMap<string, ServingAccount>;
}

/** Configuration and its freshness. */
export interface ConfigurationState {
    readonly read: () => ActiveConfig | undefined;
    /** Takes a newer version; tells whether it was newer. */
    readonly apply: (config: ServingConfig) => boolean;
    readonly markConfirmed: (at: ClockReading) => void;
    readonly measureAge: (now: ClockReading) => Milliseconds;
}

/**
 * Creates the state of an instance that knows no configuration.
 *
 * @returns the state
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
    return { config, routes: createRouteTable(config), accountsByKey: accountsByKey };
}
