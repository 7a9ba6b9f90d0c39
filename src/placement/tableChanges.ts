/**
 * Differences between consecutive tables of an engine. Owners send these, by default every half second, because most of
 * a table stays the same in that time.
 *
 * @packageDocumentation
 */
import type { EngineTable, EngineTableChange, LoadName, RunningCount } from "./messages.js";

/** Result of applying a change to a table. */
export type TableChangeResult =
    | { readonly kind: "applied"; readonly table: EngineTable; }
    /** The same or a newer table is already known. */
    | { readonly kind: "old"; }
    /** The table that the change applies to isn't known; the receiver has to request the full table. */
    | { readonly kind: "baseMissing"; };

/**
 * Computes the difference between two tables of one owner.
 *
 * @param base - the table that was sent before
 * @param table - the current table, of the same engine, incarnation and owner
 * @returns the fields that differ, with the sequence numbers of both tables
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
 * Applies a change to the known table of an engine.
 *
 * @param known - the newest known table of the engine
 * @param change - the change that its owner sent
 * @returns the new table, or why the change can't be applied; `known` stays as it was
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

// a load that has no requests any more is listed with a count of 0
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
