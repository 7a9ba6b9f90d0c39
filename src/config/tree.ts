/**
 * The settings tree with indexes of children, references and key hashes. With these indexes, the check of a change
 * visits only the nodes that the change can affect.
 *
 * @packageDocumentation
 */
import type { KeyHash } from "../shared/index.js";
import type { NodeName, SettingsNode } from "./schema.js";

/** A field that names another node, and the kind that this node must have. */
export interface NodeReference {
    readonly field: string;
    readonly target: NodeName;
    readonly targetKind: SettingsNode["kind"];
}

/** Read access to a settings tree. */
export interface ReadonlySettingsTree {
    readonly get: (name: NodeName) => SettingsNode | undefined;
    readonly names: () => Iterable<NodeName>;
    readonly size: () => number;
    /** Names of the nodes whose parent is the named node. */
    readonly children: (name: NodeName) => Iterable<NodeName>;
    /** Names of the nodes that refer to the named node in a field other than `parent`. */
    readonly referrers: (name: NodeName) => Iterable<NodeName>;
    /** Names of the key nodes with this hash; a valid tree has at most one. */
    readonly keysWithHash: (hash: KeyHash) => ReadonlySet<NodeName>;
    /** Names of the nodes of kind `weightStore`; a valid tree has at most one. */
    readonly weightStores: () => ReadonlySet<NodeName>;
}

/** A settings tree that can be changed; only its owner changes it. */
export interface SettingsTree extends ReadonlySettingsTree {
    /** Sets a node, or removes it if `node` is `undefined`; returns the previous value, if any. */
    readonly set: (name: NodeName, node: SettingsNode | undefined) => SettingsNode | undefined;
}

const emptySet: ReadonlySet<NodeName> = new Set();

/**
 * Creates an empty settings tree.
 *
 * @returns the tree, owned by the caller
 */
export function createSettingsTree(): SettingsTree {
    const nodes = new Map<NodeName, SettingsNode>();
    const children = new Map<NodeName, Set<NodeName>>();
    const referrers = new Map<NodeName, Set<NodeName>>();
    const hashes = new Map<KeyHash, Set<NodeName>>();
    const weightStores = new Set<NodeName>();

    const updateIndexes = (name: NodeName, node: SettingsNode, change: typeof addToIndex): void => {
        if (node.parent !== undefined) {
            change(children, node.parent, name);
        }
        for (const reference of listReferences(node)) {
            change(referrers, reference.target, name);
        }
        if (node.kind === "key") {
            change(hashes, node.hash, name);
        }
    };
    const set = (name: NodeName, node: SettingsNode | undefined): SettingsNode | undefined => {
        const previous = nodes.get(name);
        if (previous) {
            updateIndexes(name, previous, removeFromIndex);
            weightStores.delete(name);
            nodes.delete(name);
        }
        if (node) {
            nodes.set(name, node);
            updateIndexes(name, node, addToIndex);
            if (node.kind === "weightStore") {
                weightStores.add(name);
            }
        }
        return previous;
    };
    return {
        set,
        get: name => nodes.get(name),
        names: () => nodes.keys(),
        size: () => nodes.size,
        children: name => children.get(name) ?? emptySet,
        referrers: name => referrers.get(name) ?? emptySet,
        keysWithHash: hash => hashes.get(hash) ?? emptySet,
        weightStores: () => weightStores,
    };
}

/**
 * Lists the references of a node to other nodes, except to its parent.
 *
 * @param node - the node whose fields are read
 * @returns one reference for each node that a field names; a field with a list gives several
 */
export function listReferences(node: SettingsNode): readonly NodeReference[] {
    const references: NodeReference[] = [];
    const add = (field: string, target: NodeName | undefined, targetKind: SettingsNode["kind"]): void => {
        if (target !== undefined) {
            references.push({ field, target, targetKind });
        }
    };
    if (node.kind === "route") {
        add("adapter", node.adapter, "adapter");
    }
    if (node.kind === "route" || node.kind === "group") {
        add("openAccount", node.openAccount, "clientAccount");
        node.accounts?.forEach(account => add("accounts", account, "clientAccount"));
    }
    if (node.kind === "key" || node.kind === "group") {
        add("account", node.account, "clientAccount");
    }
    return references;
}

function addToIndex(index: Map<string, Set<NodeName>>, key: string, name: NodeName): void {
    const names = index.get(key);
    if (names) {
        names.add(name);
    }
    else {
        index.set(key, new Set([name]));
    }
}

function removeFromIndex(index: Map<string, Set<NodeName>>, key: string, name: NodeName): void {
    const names = index.get(key);
    names?.delete(name);
    if (names?.size === 0) {
        index.delete(key);
    }
}
