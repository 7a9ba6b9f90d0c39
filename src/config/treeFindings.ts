/**
 * Finds entries of a settings tree that have no effect, and limits that contradict each other.
 *
 * @packageDocumentation
 */
import type { ConfigurationFinding } from "./findings.js";
import { resolveNode } from "./resolve.js";
import type { ResolvedClientAccount, ResolvedRoute } from "./resolvedSettings.js";
import type { NodeName, SettingsDocument } from "./schema.js";
import { createSettingsTree, type ReadonlySettingsTree } from "./tree.js";

/**
 * Lists the findings of a document without faults.
 *
 * @param document - a document that passed the schema and the rules of the tree
 * @returns findings in the order of the document
 */
export function listTreeFindings(document: SettingsDocument): readonly ConfigurationFinding[] {
    const tree = createSettingsTree();
    Object.entries(document.nodes).forEach(([name, node]) => tree.set(name, node));
    const routes = Object.keys(document.nodes).flatMap(name => {
        const resolved = resolveNode(tree, name);
        return resolved?.kind === "route" ? [[name, resolved.value] as const] : [];
    });
    return Object.keys(document.nodes).flatMap(name => {
        const resolved = resolveNode(tree, name);
        switch (resolved?.kind) {
            case "account":
                return [...checkParentLimits(tree, name, resolved.value), ...checkBurst(name, resolved.value, routes)];
            case "route":
                return checkCallers(name, resolved.value);
            case "group":
                return checkGroup(tree, name);
            case "key":
            case "adapter":
            case "weightStore":
            case "incomplete":
            case undefined:
                return [];
        }
    });
}

function checkGroup(tree: ReadonlySettingsTree, name: NodeName): readonly ConfigurationFinding[] {
    return [...tree.children(name)].length > 0 ? [] : [{
        path: ["nodes", name],
        message: `no node inherits from the group ${name}`,
        remedy: "name it as the parent of a node, or remove it",
    }];
}

function checkCallers(name: NodeName, route: ResolvedRoute): readonly ConfigurationFinding[] {
    return route.access === "keyed" && route.accounts?.length === 0
        ? [{
            path: ["nodes", name, "accounts"],
            message: `no client account may use the keyed route ${name}`,
            remedy: "name an account, or leave accounts out for all of them",
        }]
        : [];
}

function checkParentLimits(
    tree: ReadonlySettingsTree,
    name: NodeName,
    { limits }: ResolvedClientAccount,
): readonly ConfigurationFinding[] {
    const parent = tree.get(name)?.parent;
    const above = parent === undefined ? undefined : tree.get(parent);
    if (above?.kind !== "clientAccount" && above?.kind !== "group") {
        return [];
    }
    return (["rate", "burst"] as const)
        .filter(field => limits[field] > (above.limits?.[field] ?? Number.POSITIVE_INFINITY))
        .map(field => ({
            path: ["nodes", name, "limits", field],
            message: `${field} ${limits[field]} is above that of its parent ${parent}, ${above.limits?.[field]}`,
            remedy: `lower it, or raise ${field} of the parent`,
        }));
}

function checkBurst(
    name: NodeName,
    { limits }: ResolvedClientAccount,
    routes: readonly (readonly [NodeName, ResolvedRoute])[],
): readonly ConfigurationFinding[] {
    const used = routes.filter(([, route]) => route.accounts === undefined || route.accounts.includes(name));
    return used
        .map(([route, value]) => [route, measureRequest(value)] as const)
        .filter(([, tokens]) => tokens > limits.burst)
        .slice(0, 1)
        .map(([route, tokens]) => ({
            path: ["nodes", name, "limits", "burst"],
            message: `burst ${limits.burst} is below one request of the route ${route}, ${tokens} tokens`,
            remedy: `raise burst to ${tokens} at least, or lower the tokens of the route`,
        }));
}

// least tokens that the largest request of a route is charged with
function measureRequest(route: ResolvedRoute): number {
    return route.kind === "model" ? route.maximumOutputTokens : route.costTokens;
}
