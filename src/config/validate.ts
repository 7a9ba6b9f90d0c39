/**
 * Checks a tree, or only what a change can have broken.
 *
 * @packageDocumentation
 */
import { maximumTreeDepth, resolveNode } from "./resolve.js";
import type { NodeName, SettingsNode } from "./schema.js";
import { listReferences, type ReadonlySettingsTree } from "./tree.js";

/** What is wrong with a node in its tree. */
export type TreeFault =
    | { readonly kind: "unknownParent"; readonly node: NodeName; readonly parent: NodeName; }
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
 * Lists the nodes that a change of some nodes can affect: themselves, all below them, and what refers to them.
 *
 * @param tree - the tree after the change
 * @param changed - names of the nodes set or removed
 * @returns their names, each once
 */
export function listAffected(tree: ReadonlySettingsTree, changed: Iterable<NodeName>): ReadonlySet<NodeName> {
    const affected = new Set(changed);
    // a set may grow while it is walked; the walk then reaches the new names too
    for (const name of affected) {
        for (const child of tree.children(name)) {
            affected.add(child);
        }
        const kind = tree.get(name)?.kind;
        // what refers to an account or group that stays takes nothing from it
        if (kind === undefined || kind === "adapter") {
            for (const referrer of tree.referrers(name)) {
                affected.add(referrer);
            }
        }
    }
    return affected;
}

/**
 * Lists the referrers of nodes that became another kind.
 *
 * @param tree - the tree after the change
 * @param name - a changed node
 * @param previous - what the node was before
 * @returns names of the nodes to check besides
 */
export function listReferrersIfKindChanged(
    tree: ReadonlySettingsTree,
    name: NodeName,
    previous: SettingsNode | undefined,
): Iterable<NodeName> {
    return previous && previous.kind !== tree.get(name)?.kind ? tree.referrers(name) : [];
}

/**
 * Finds the first fault of some nodes.
 *
 * @param tree - the tree
 * @param names - which nodes to check
 * @returns the fault, or `undefined` if there is none
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
 * Checks one node in its tree.
 *
 * @param tree - the tree
 * @param name - the node; one that isn't there has no fault
 * @returns its first fault, or `undefined`
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
