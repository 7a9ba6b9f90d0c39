/**
 * Checks the nodes of a settings tree: all of them, or only those that a change may have invalidated.
 *
 * @packageDocumentation
 */
import { maximumTreeDepth, resolveNode } from "./resolve.js";
import type { NodeName, SettingsNode } from "./schema.js";
import { listReferences, type ReadonlySettingsTree } from "./tree.js";

/** Violation of a rule of the tree by one node. */
export type TreeFault =
    | { readonly kind: "unknownParent"; readonly node: NodeName; readonly parent: NodeName; }
    /** The parents of the node form a cycle, or the chain is longer than `maximumTreeDepth`. */
    | { readonly kind: "cycle"; readonly node: NodeName; }
    | {
        readonly kind: "danglingReference";
        readonly node: NodeName;
        readonly field: string;
        readonly target: NodeName;
        readonly targetKind: SettingsNode["kind"];
    }
    | { readonly kind: "missingField"; readonly node: NodeName; readonly field: string; }
    | { readonly kind: "duplicateKey"; readonly node: NodeName; readonly other: NodeName; }
    | { readonly kind: "severalWeightStores"; readonly node: NodeName; readonly other: NodeName; };

/**
 * Lists the nodes that a change can affect: the changed nodes, their descendants, and the nodes that refer to a removed
 * node or to an adapter among these.
 *
 * @param tree - the tree after the change
 * @param changed - names of the nodes set or removed
 * @returns names of the affected nodes, each once
 */
export function listAffected(tree: ReadonlySettingsTree, changed: Iterable<NodeName>): ReadonlySet<NodeName> {
    const affected = new Set(changed);
    // iteration over a set also visits the names that are added meanwhile
    for (const name of affected) {
        for (const child of tree.children(name)) {
            affected.add(child);
        }
        const kind = tree.get(name)?.kind;
        // nodes that refer to an existing account or group take no values from it, so the change does not affect them
        if (kind === undefined || kind === "adapter") {
            for (const referrer of tree.referrers(name)) {
                affected.add(referrer);
            }
        }
    }
    return affected;
}

/**
 * Lists the nodes that refer to a node whose kind has changed.
 *
 * @param tree - the tree after the change
 * @param name - name of a changed node
 * @param previous - the node before the change, or `undefined` if it is new
 * @returns names of the referring nodes; empty if the kind is the same or the node is new
 */
export function listReferrersIfKindChanged(
    tree: ReadonlySettingsTree,
    name: NodeName,
    previous: SettingsNode | undefined,
): Iterable<NodeName> {
    return previous && previous.kind !== tree.get(name)?.kind ? tree.referrers(name) : [];
}

/**
 * Finds the first fault among the given nodes.
 *
 * @param tree - tree that holds the nodes
 * @param names - names of the nodes to check, in this order
 * @returns the fault, or `undefined` if all nodes are valid
 */
export function findFault(tree: ReadonlySettingsTree, names: Iterable<NodeName>): TreeFault | undefined {
    for (const name of names) {
        const fault = checkNode(tree, name);
        if (fault) {
            return fault;
        }
    }
    return undefined;
}

/**
 * Checks the parents, references, uniqueness and required fields of one node.
 *
 * @param tree - tree that holds the node
 * @param name - name of the node
 * @returns the first fault, whose `node` is an ancestor if that ancestor's parent is missing; `undefined` if the node is
 * valid or not in the tree
 */
export function checkNode(tree: ReadonlySettingsTree, name: NodeName): TreeFault | undefined {
    const node = tree.get(name);
    if (!node) {
        return undefined;
    }
    return checkParents(tree, name)
        ?? checkReferences(tree, name, node)
        ?? checkUnique(tree, name, node)
        ?? checkComplete(tree, name);
}

function checkParents(tree: ReadonlySettingsTree, name: NodeName): TreeFault | undefined {
    let current = name;
    for (let depth = 0; depth < maximumTreeDepth; depth++) {
        const parent = tree.get(current)!.parent;
        if (parent === undefined) {
            return undefined;
        }
        if (!tree.get(parent)) {
            return { kind: "unknownParent", node: current, parent };
        }
        current = parent;
    }
    return { kind: "cycle", node: name };
}

function checkReferences(tree: ReadonlySettingsTree, name: NodeName, node: SettingsNode): TreeFault | undefined {
    const dangling = listReferences(node).find(reference => tree.get(reference.target)?.kind !== reference.targetKind);
    return dangling && { kind: "danglingReference", node: name, ...dangling };
}

function checkUnique(tree: ReadonlySettingsTree, name: NodeName, node: SettingsNode): TreeFault | undefined {
    if (node.kind === "key") {
        const other = [...tree.keysWithHash(node.hash)].find(key => key !== name);
        return other === undefined ? undefined : { kind: "duplicateKey", node: name, other };
    }
    if (node.kind === "weightStore") {
        const other = [...tree.weightStores()].find(store => store !== name);
        return other === undefined ? undefined : { kind: "severalWeightStores", node: name, other };
    }
    return undefined;
}

function checkComplete(tree: ReadonlySettingsTree, name: NodeName): TreeFault | undefined {
    const resolved = resolveNode(tree, name);
    return resolved?.kind === "incomplete" ? { kind: "missingField", node: name, field: resolved.field } : undefined;
}
