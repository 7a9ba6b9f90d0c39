/**
 * Creates operators' changes, from a settings file or for single nodes.
 *
 * @packageDocumentation
 */
import { randomBytes } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { compareText, hashKey, type Result, wrapError, wrapValue } from "../shared/index.js";
import { readVersion, type SettingsState } from "./acceptRule.js";
import type { ChangeId, ConfigurationChange, NodeChange } from "./records.js";
import { type NodeName, type SettingsDocument, settingsFormat, type SettingsNode } from "./schema.js";

/** Identifier and author of a change. */
export interface ChangeOrigin {
    readonly changeId: ChangeId;
    readonly author: string;
}

/** Why a key could not be granted or withdrawn. */
export type KeyError =
    | { readonly kind: "unknownAccount"; readonly account: NodeName; }
    | { readonly kind: "nameTaken"; readonly name: NodeName; }
    | { readonly kind: "unknownKey"; readonly name: NodeName; };

/** A new key with the change that grants it; the key itself is shown to the operator once and never stored. */
export interface KeyGrant {
    readonly key: string;
    readonly change: ConfigurationChange;
}

const keyBytes = 32;
const keyPrefix = "ohk_";
const changeIdBytes = 12;

/**
 * Creates a random identifier for a change.
 *
 * @returns 96 random bits in base64url, unique in practice
 */
export function createChangeId(): ChangeId {
    return randomBytes(changeIdBytes).toString("base64url");
}

/**
 * Compares the current tree with a settings file.
 *
 * @param current - state that was read last
 * @param document - content of the settings file
 * @param origin - identifier and author of the change
 * @returns the change that turns the current tree into that of the file, or `undefined` if they are equal
 */
export function diffSettings(
    current: SettingsState,
    document: SettingsDocument,
    origin: ChangeOrigin,
): ConfigurationChange | undefined {
    const wanted = new Map(Object.entries(document.nodes));
    const set = [...wanted]
        .filter(([name, value]) => !isDeepStrictEqual(current.tree.get(name), value))
        .map(([name, value]) => createNodeChange(current, name, value));
    const removed = [...current.tree.names()]
        .filter(name => !wanted.has(name))
        .map(name => createNodeChange(current, name, undefined));
    const nodes = [...set, ...removed].sort((left, right) => compareText(left.name, right.name));
    return nodes.length > 0 ? createChange(current, origin, nodes) : undefined;
}

/**
 * Creates a change of the given nodes; all other nodes stay as they are.
 *
 * @param current - state that was read last
 * @param origin - identifier and author of the change
 * @param nodes - new value of each node, `undefined` to remove it
 * @returns the change, based on the node versions in `current`
 */
export function createNodesChange(
    current: SettingsState,
    origin: ChangeOrigin,
    nodes: ReadonlyMap<NodeName, SettingsNode | undefined>,
): ConfigurationChange {
    return createChange(current, origin, [...nodes].map(([name, value]) => createNodeChange(current, name, value)));
}

/**
 * Grants a new random key to a client account.
 *
 * @param current - state that was read last
 * @param origin - identifier and author of the change
 * @param account - name of the client account
 * @param name - name of the new key node
 * @returns the key and the change, which holds only its hash; an error if the account is unknown or the name is taken
 */
export function grantKey(
    current: SettingsState,
    origin: ChangeOrigin,
    account: NodeName,
    name: NodeName,
): Result<KeyGrant, KeyError> {
    if (current.tree.get(account)?.kind !== "clientAccount") {
        return wrapError({ kind: "unknownAccount", account });
    }
    if (current.tree.get(name)) {
        return wrapError({ kind: "nameTaken", name });
    }
    const key = `${keyPrefix}${randomBytes(keyBytes).toString("base64url")}`;
    const node: SettingsNode = { kind: "key", account, hash: hashKey(key) };
    return wrapValue({ key, change: createNodesChange(current, origin, new Map([[name, node]])) });
}

/**
 * Creates the change that withdraws a key.
 *
 * @param current - state that was read last
 * @param origin - identifier and author of the change
 * @param name - name of the key node
 * @returns the change that removes the node; an error if there is no such key node
 */
export function withdrawKey(
    current: SettingsState,
    origin: ChangeOrigin,
    name: NodeName,
): Result<ConfigurationChange, KeyError> {
    if (current.tree.get(name)?.kind !== "key") {
        return wrapError({ kind: "unknownKey", name });
    }
    return wrapValue(createNodesChange(current, origin, new Map([[name, undefined]])));
}

/**
 * Creates the content of a settings file from the tree.
 *
 * @param state - state whose nodes are written, without inherited fields
 * @returns a document with the nodes sorted by name
 */
export function createSettingsDocument(state: SettingsState): SettingsDocument {
    const names = [...state.tree.names()].sort(compareText);
    return { format: settingsFormat, nodes: Object.fromEntries(names.map(name => [name, state.tree.get(name)!])) };
}

function createNodeChange(current: SettingsState, name: NodeName, value: SettingsNode | undefined): NodeChange {
    const baseVersion = readVersion(current, name);
    return value ? { name, baseVersion, value } : { name, baseVersion };
}

function createChange(
    current: SettingsState,
    origin: ChangeOrigin,
    nodes: readonly NodeChange[],
): ConfigurationChange {
    return { ...origin, basedOn: current.appliedOffset, nodes };
}
