/**
 * Tables of engines as changes: most of a table is as it was half a second before.
 *
 * @packageDocumentation
 */
import type { EngineTable, EngineTableChange, LoadName, RunningCount } from "./messages.js";

/** What became of a change. */
export type TableChangeResult =
    | { readonly kind: "applied"; readonly table: EngineTable; }
    /** A newer table is known. */
    | { readonly kind: "old"; }
    /** The table that it is a change of isn't known; the owner is to be asked for the whole. */
    | { readonly kind: "baseMissing"; };

/**
 * Compares two tables of one owner.
 *
 * @param base - the table sent before
 * @param table - the table now, of the same engine, incarnation and owner
 * @returns what changed
 */
export function diffTables(base: EngineTable, table: EngineTable): EngineTableChange {
    const added = listMissing(table.resident, base.resident);
    const removed = listMissing(base.resident, table.resident);
    const running = diffRunning(base.running, table.running);
    return {
        engine: table.engine,
        incarnation: table.incarnation,
        fencingNumber: table.fencingNumber,
        baseSequence: base.sequence,
        sequence: table.sequence,
        inFlight: table.inFlight,
        ...(added.length > 0 ? { added } : {}),
        ...(removed.length > 0 ? { removed } : {}),
        ...(running.length > 0 ? { running } : {}),
        ...(hasSameNames(base.retiring, table.retiring) ? {} : { retiring: table.retiring }),
        ...(hasSameNames(base.loading, table.loading) ? {} : { loading: table.loading }),
        ...(base.failed === table.failed ? {} : { failed: table.failed }),
    };
}

/**
 * Applies a change.
 *
 * @param known - the newest table known of the engine
 * @param change - what its owner sent
 * @returns the table now, unless the change is old or of a table that isn't known
 */
export function applyTableChange(known: EngineTable | undefined, change: EngineTableChange): TableChangeResult {
    if (known && isStale(change, known)) {
        return { kind: "old" };
    }
    const isBase = known?.fencingNumber === change.fencingNumber && known.sequence === change.baseSequence
        && known.incarnation === change.incarnation;
    if (!known || !isBase) {
        return { kind: "baseMissing" };
    }
    const removed = new Set(change.removed);
    const table: EngineTable = {
        ...known,
        sequence: change.sequence,
        inFlight: change.inFlight,
        resident: change.added || change.removed
            ? [...known.resident.filter(name => !removed.has(name)), ...change.added ?? []]
            : known.resident,
        running: change.running ? applyRunning(known.running, change.running) : known.running,
        retiring: change.retiring ?? known.retiring,
        loading: change.loading ?? known.loading,
        failed: change.failed ?? known.failed,
    };
    return { kind: "applied", table };
}

function isStale(change: EngineTableChange, known: EngineTable): boolean {
    return change.fencingNumber < known.fencingNumber
        || (change.fencingNumber === known.fencingNumber && change.sequence <= known.sequence);
}

function listMissing(names: readonly LoadName[], others: readonly LoadName[]): readonly LoadName[] {
    const known = new Set(others);
    return names.filter(name => !known.has(name));
}

// a load without requests is told of with a count of 0
function diffRunning(base: readonly RunningCount[], running: readonly RunningCount[]): readonly RunningCount[] {
    const before = new Map(base.map(({ name, count }) => [name, count]));
    const now = new Set(running.map(({ name }) => name));
    const ended = base.filter(({ name }) => !now.has(name)).map(({ name }) => ({ name, count: 0 }));
    return [...running.filter(({ name, count }) => before.get(name) !== count), ...ended];
}

function applyRunning(known: readonly RunningCount[], changes: readonly RunningCount[]): readonly RunningCount[] {
    const counts = new Map(known.map(({ name, count }) => [name, count]));
    changes.forEach(({ name, count }) => count === 0 ? counts.delete(name) : counts.set(name, count));
    return [...counts].map(([name, count]) => ({ name, count }));
}

function hasSameNames(left: readonly string[], right: readonly string[]): boolean {
    return left.length === right.length && left.every((name, index) => name === right[index]);
}
