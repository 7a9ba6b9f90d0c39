/**
 * The rule by which every reader of the log accepts or rejects a change, and the state that the rule needs.
 *
 * @packageDocumentation
 */
import { compareText, type LogOffset } from "../shared/index.js";
import {
    absentVersion,
    type ChangeId,
    type ConfigurationChange,
    type SettingsEntry,
    type SettingsPart,
    type SettledChange,
} from "./records.js";
import { createResolvedTables, type ResolvedTables } from "./resolve.js";
import type { ResolvedSettings } from "./resolvedSettings.js";
import type { NodeName, SettingsNode } from "./schema.js";
import { createSettingsTree, type ReadonlySettingsTree, type SettingsTree } from "./tree.js";
import { findFault, listAffected, listReferrersIfKindChanged, type TreeFault } from "./validate.js";

/**
 * How many offsets back a change may be based, and for how many offsets removed nodes and decided changes are
 * remembered. A change that is older than what is remembered can't be judged, so it is rejected.
 */
export const retentionWindowOffsets = 10_000;

/** A node that has been set since the operator read it. */
export interface StaleNode {
    readonly name: NodeName;
    readonly baseVersion: LogOffset;
    readonly currentVersion: LogOffset;
}

/** Why a change was rejected. */
export type Rejection =
    | { readonly kind: "stale"; readonly nodes: readonly StaleNode[]; }
    | { readonly kind: "invalid"; readonly fault: TreeFault; }
    | { readonly kind: "tooOld"; readonly basedOn: LogOffset; readonly oldestAllowed: LogOffset; }
    /** The same change stood in the log before, and that first record decides. */
    | { readonly kind: "repeated"; readonly first: SettledChange; }
    /** Names a node twice, or a node that isn't there is to be removed. */
    | { readonly kind: "senseless"; readonly detail: string; };

/** What the rule says of a change. */
export type Decision =
    | { readonly kind: "accepted"; }
    | { readonly kind: "rejected"; readonly rejection: Rejection; };

/** Tree, versions and memory of one reader; its one owner applies records to it in the order of the log. */
export interface SettingsState {
    readonly tree: SettingsTree;
    readonly tables: ResolvedTables;
    /** Versions of nodes, removed ones included. */
    readonly versions: Map<NodeName, LogOffset>;
    /** Removed nodes in the order of their removal. */
    readonly removed: Map<NodeName, LogOffset>;
    /** Decided changes in the order of the log. */
    readonly settled: Map<ChangeId, SettledChange>;
    /** Offset of the last record taken into account. */
    appliedOffset: LogOffset;
}

/**
 * Creates the state before the first record.
 *
 * @returns an empty state
 */
export function createSettingsState(): SettingsState {
    return {
        tree: createSettingsTree(),
        tables: createResolvedTables(),
        versions: new Map(),
        removed: new Map(),
        settled: new Map(),
        appliedOffset: absentVersion,
    };
}

/**
 * Applies a change. The state is changed in place; it is the same for every reader that applied the same records.
 *
 * @param state - state after all records before this one
 * @param offset - the record's offset
 * @param change - the change
 * @returns whether it is accepted
 */
export function applyChange(state: SettingsState, offset: LogOffset, change: ConfigurationChange): Decision {
    const decision = decideChange(state, offset, change);
    const repeated = decision.kind === "rejected" && decision.rejection.kind === "repeated";
    if (!repeated) {
        const accepted = decision.kind === "accepted";
        state.settled.set(change.changeId, { changeId: change.changeId, offset, accepted });
    }
    advanceOffset(state, offset);
    return decision;
}

/**
 * Takes an offset into account whose record changes nothing in the tree, and forgets what is out of the window.
 *
 * @param state - the state
 * @param offset - the offset
 */
export function advanceOffset(state: SettingsState, offset: LogOffset): void {
    state.appliedOffset = offset;
    const oldest = offset - retentionWindowOffsets;
    for (const [name, version] of state.removed) {
        if (version >= oldest) {
            break;
        }
        state.removed.delete(name);
        state.versions.delete(name);
    }
    for (const [changeId, settled] of state.settled) {
        if (settled.offset >= oldest) {
            break;
        }
        state.settled.delete(changeId);
    }
}

function decideChange(state: SettingsState, offset: LogOffset, change: ConfigurationChange): Decision {
    const first = state.settled.get(change.changeId);
    if (first) {
        return createRejection({ kind: "repeated", first });
    }
    const oldestAllowed = offset - retentionWindowOffsets;
    if (change.basedOn < oldestAllowed || change.basedOn >= offset) {
        return createRejection({ kind: "tooOld", basedOn: change.basedOn, oldestAllowed });
    }
    const senseless = describeNodeListError(state.tree, change);
    const stale = listStaleNodes(state, change);
    if (stale.length > 0) {
        return createRejection({ kind: "stale", nodes: stale });
    }
    if (senseless !== undefined) {
        return createRejection({ kind: "senseless", detail: senseless });
    }
    const fault = tryNodeChanges(state, change);
    if (fault) {
        return createRejection({ kind: "invalid", fault });
    }
    for (const node of change.nodes) {
        recordVersion(state, node.name, offset, node.value !== undefined);
    }
    return { kind: "accepted" };
}

function createRejection(rejection: Rejection): Decision {
    return { kind: "rejected", rejection };
}

function listStaleNodes(state: SettingsState, change: ConfigurationChange): readonly StaleNode[] {
    return change.nodes
        .map(({ name, baseVersion }) => ({ name, baseVersion, currentVersion: readVersion(state, name) }))
        .filter(node => node.baseVersion !== node.currentVersion);
}

function describeNodeListError(tree: ReadonlySettingsTree, change: ConfigurationChange): string | undefined {
    const names = new Set(change.nodes.map(node => node.name));
    if (names.size < change.nodes.length) {
        return "a node stands twice in the change";
    }
    const absent = change.nodes.find(node => node.value === undefined && !tree.get(node.name));
    return absent && `${absent.name} is to be removed and isn't in the tree`;
}

// changes the tree first and puts it back if a fault shows, so that the checks see one whole tree
function tryNodeChanges(state: SettingsState, change: ConfigurationChange): TreeFault | undefined {
    const { tree, tables } = state;
    const previous = change.nodes.map(({ name, value }): [NodeName, SettingsNode | undefined] => [
        name,
        tree.set(name, value),
    ]);
    const affected = listAffected(tree, change.nodes.map(node => node.name));
    const referrers = previous.flatMap(([name, node]) => [...listReferrersIfKindChanged(tree, name, node)]);
    const fault = findFault(tree, affected) ?? findFault(tree, referrers);
    if (fault) {
        for (const [name, node] of previous) {
            tree.set(name, node);
        }
        return fault;
    }
    tables.update(tree, affected);
    return undefined;
}

function recordVersion(state: SettingsState, name: NodeName, version: LogOffset, present: boolean): void {
    state.versions.set(name, version);
    // deleted first, so that the map stays in the order of removal
    state.removed.delete(name);
    if (!present) {
        state.removed.set(name, version);
    }
}

/**
 * Reads a node's version.
 *
 * @param state - the state
 * @param name - the node
 * @returns the offset that last set or removed it; -1 if none is remembered
 */
export function readVersion(state: SettingsState, name: NodeName): LogOffset {
    return state.versions.get(name) ?? absentVersion;
}

/**
 * Reads the resolved tree.
 *
 * @param state - the state
 * @returns a tree that later changes of the state leave alone
 */
export function readResolvedSettings(state: SettingsState): ResolvedSettings {
    return state.tables.read(state.appliedOffset);
}

/**
 * Lists everything that another reader needs to go on from here.
 *
 * @param state - the state
 * @returns entries sorted by name, and the remembered changes in the order of the log
 */
export function createSnapshot(state: SettingsState): SettingsPart {
    const entries = [...state.versions]
        .sort(([left], [right]) => compareText(left, right))
        .map(([name, version]): SettingsEntry => {
            const value = state.tree.get(name);
            return value ? { name, version, value } : { name, version };
        });
    return { entries, settled: [...state.settled.values()] };
}

/**
 * Restores a state from all parts of a snapshot.
 *
 * @param parts - every part of one snapshot
 * @param offset - the offset that the snapshot covers
 * @returns the state after the record at that offset
 */
export function restoreState(parts: Iterable<SettingsPart>, offset: LogOffset): SettingsState {
    const state = createSettingsState();
    const removed: SettingsEntry[] = [];
    const settledChanges: SettledChange[] = [];
    for (const part of parts) {
        for (const entry of part.entries) {
            state.versions.set(entry.name, entry.version);
            if (entry.value) {
                state.tree.set(entry.name, entry.value);
            }
            else {
                removed.push(entry);
            }
        }
        settledChanges.push(...part.settled);
    }
    // both maps are forgotten from their oldest end
    removed.sort((left, right) => left.version - right.version);
    for (const entry of removed) {
        state.removed.set(entry.name, entry.version);
    }
    settledChanges.sort((left, right) => left.offset - right.offset);
    for (const settled of settledChanges) {
        state.settled.set(settled.changeId, settled);
    }
    state.tables.update(state.tree, state.tree.names());
    state.appliedOffset = offset;
    return state;
}
