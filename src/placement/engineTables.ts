/**
 * One instance's view of all engines: the newest table of each engine, and the engines that hold each adapter.
 *
 * @packageDocumentation
 */
import type { EngineIncarnation } from "../backends/index.js";
import type { BackendServerId, Milliseconds } from "../shared/index.js";
import { parseAdapterVersionKey } from "./adapterSlots.js";
import type { AdapterVersionKey, EngineTable, LoadName } from "./messages.js";

/** A load that is resident on an engine. */
export interface LoadLocation {
    readonly engine: BackendServerId;
    readonly name: LoadName;
}

/** The newest table of each engine. */
export interface EngineTables {
    /** Stores a table. Returns `false` when it is of an ended incarnation or not newer than the known one. */
    readonly add: (table: EngineTable, now: Milliseconds) => boolean;
    /** Removes tables that were received before the given time: without an active owner, their loads can't be used. */
    readonly expire: (receivedBefore: Milliseconds) => void;
    /** Removes the table of an incarnation that has ended; tables of it that arrive later are rejected. */
    readonly end: (engine: BackendServerId, incarnation: EngineIncarnation) => void;
    readonly find: (engine: BackendServerId) => EngineTable | undefined;
    readonly list: () => Iterable<EngineTable>;
    /** Lists the engines on which an adapter version is resident, with the name of each load. */
    readonly listLocations: (key: AdapterVersionKey) => readonly LoadLocation[];
}

/**
 * Creates a set without tables.
 *
 * @returns the set, owned by the caller
 */
export function createEngineTables(): EngineTables {
    const tables = new Map<BackendServerId, EngineTable>();
    const receivedAt = new Map<BackendServerId, Milliseconds>();
    const endedIncarnations = new Map<BackendServerId, EngineIncarnation>();
    const locations = new Map<AdapterVersionKey, readonly LoadLocation[]>();
    const removeLocations = (table: EngineTable | undefined): void => {
        for (const name of table?.resident ?? []) {
            const key = parseAdapterVersionKey(name);
            const rest = (locations.get(key) ?? []).filter(location => location.engine !== table!.engine);
            if (rest.length > 0) {
                locations.set(key, rest);
            }
            else {
                locations.delete(key);
            }
        }
    };
    const addLocations = (table: EngineTable): void => {
        for (const name of table.resident) {
            const key = parseAdapterVersionKey(name);
            locations.set(key, [...locations.get(key) ?? [], { engine: table.engine, name }]);
        }
    };
    return {
        add: (table, now) => {
            const known = tables.get(table.engine);
            if (
                endedIncarnations.get(table.engine) === table.incarnation || (known && compareTables(known, table) >= 0)
            ) {
                return false;
            }
            const sameResidents = known !== undefined && known.resident.length === table.resident.length
                && known.resident.every((name, index) => name === table.resident[index]);
            if (!sameResidents) {
                removeLocations(known);
                addLocations(table);
            }
            tables.set(table.engine, table);
            receivedAt.set(table.engine, now);
            return true;
        },
        expire: receivedBefore => {
            for (const [engine, at] of receivedAt) {
                if (at < receivedBefore) {
                    removeLocations(tables.get(engine));
                    tables.delete(engine);
                    receivedAt.delete(engine);
                }
            }
        },
        end: (engine, incarnation) => {
            endedIncarnations.set(engine, incarnation);
            if (tables.get(engine)?.incarnation === incarnation) {
                removeLocations(tables.get(engine));
                tables.delete(engine);
            }
        },
        find: engine => tables.get(engine),
        list: () => tables.values(),
        listLocations: key => locations.get(key) ?? [],
    };
}

function compareTables(left: EngineTable, right: EngineTable): number {
    return left.fencingNumber - right.fencingNumber || left.sequence - right.sequence;
}
