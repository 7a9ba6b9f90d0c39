/**
 * The rule by which every reader of the log accepts or rejects a change, and the state that the rule depends on. All
 * readers apply the same records in the same order, so they reach the same decisions without further communication.
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
 * Number of offsets for which removed nodes and decisions are kept. A change that is based on an older offset is
 * rejected, because the versions and decisions needed to check it may have been dropped.
 */
export const retentionWindowOffsets = 10_000;

/** A node that was set or removed after the operator read it. */
export interface StaleNode {
    readonly name: NodeName;
    readonly baseVersion: LogOffset;
    readonly currentVersion: LogOffset;
}

/** Why a change was rejected. */
export type Rejection =
    | { readonly kind: "stale"; readonly nodes: readonly StaleNode[]; }
    | { readonly kind: "invalid"; readonly fault: TreeFault; }
    /** `basedOn` is below `oldestAllowed`, or not below the offset of the change's own record. */
    | { readonly kind: "tooOld"; readonly basedOn: LogOffset; readonly oldestAllowed: LogOffset; }
    /** The log holds an earlier record of the same change, and the decision of that record applies. */
    | { readonly kind: "repeated"; readonly first: SettledChange; }
    /** The change names a node twice, or removes a node that does not exist. */
    | { readonly kind: "senseless"; readonly detail: string; };

/** Outcome of the rule for one change. */
export type Decision =
    | { readonly kind: "accepted"; }
    | { readonly kind: "rejected"; readonly rejection: Rejection; };

/**
 * Settings tree of one reader, with the versions and decisions that the rule depends on. Only its owner changes it, by
 * applying records in the order of the log.
 */
export interface SettingsState {
    readonly tree: SettingsTree;
    readonly tables: ResolvedTables;
    /** Versions of the nodes, including those of removed nodes that are still kept. */
    readonly versions: Map<NodeName, LogOffset>;
    /** Removed nodes with the offset of their removal, oldest first. */
    readonly removed: Map<NodeName, LogOffset>;
    /** Decisions on recent changes, in the order of the log. */
    readonly settled: Map<ChangeId, SettledChange>;
    /** Offset of the last record that was applied; -1 before the first. */
    appliedOffset: LogOffset;
}

/**
 * Creates the state before the first record.
 *
 * @returns an empty state, owned by the caller
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
 * Decides on a change and applies it if it is accepted. The state is changed in place; all readers that applied the
 * same records have the same state.
 *
 * @param state - state after all records before this one
 * @param offset - offset of the record that holds the change
 * @param change - change read from the record
 * @returns the decision, with the reason of a rejection
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
 * Advances the state to an offset without changing the tree, and drops removed nodes and decisions that are older than
 * `retentionWindowOffsets`.
 *
 * @param state - the state, changed in place
 * @param offset - offset of the last record read
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
        return "the change names a node twice";
    }
    const absent = change.nodes.find(node => node.value === undefined && !tree.get(node.name));
    return absent && `the change removes ${absent.name}, which is not in the tree`;
}

// the nodes are set before the checks and restored after a fault, because the checks need the complete changed tree
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
    // a map keeps the position of an existing key; deleting it first keeps the map in the order of removal
    state.removed.delete(name);
    if (!present) {
        state.removed.set(name, version);
    }
}

/**
 * Reads the version of a node.
 *
 * @param state - the state to read
 * @param name - name of the node
 * @returns offset of the record that last set or removed the node; -1 if no such record is known
 */
export function readVersion(state: SettingsState, name: NodeName): LogOffset {
    return state.versions.get(name) ?? absentVersion;
}

/**
 * Reads the settings after inheritance.
 *
 * @param state - the state to read
 * @returns settings that do not change when the state does
 */
export function readResolvedSettings(state: SettingsState): ResolvedSettings {
    return state.tables.read(state.appliedOffset);
}

/**
 * Creates a snapshot from which another reader can continue after the last applied record.
 *
 * @param state - the state to read
 * @returns one part with all nodes sorted by name and the kept decisions in the order of the log
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
 * @param parts - every part of one snapshot, in any order
 * @param offset - offset of the last record that the snapshot includes
 * @returns the state after the record at that offset, owned by the caller
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
    // `advanceOffset` expects both maps in the order of offsets, oldest first
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
