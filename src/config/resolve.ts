/**
 * Resolves the fields that each node of the settings tree inherits, and keeps the lookup tables of resolved nodes.
 *
 * @packageDocumentation
 */
import type { LogOffset } from "../shared/index.js";
import type {
    ResolvedAdapter,
    ResolvedClientAccount,
    ResolvedKey,
    ResolvedRoute,
    ResolvedSettings,
    ResolvedWeightStore,
} from "./resolvedSettings.js";
import type { NodeName, SettingsNode } from "./schema.js";
import type { ReadonlySettingsTree } from "./tree.js";

/** Largest number of nodes in an inheritance chain; a longer chain is reported as a cycle. */
export const maximumTreeDepth = 32;

const defaultWeight = 1;
const defaultDeadlineMilliseconds = 60_000;
const defaultRetryBudget = 0.1;
const defaultCostTokens = 1;
const defaultMaximumOutputTokens = 1_024;
const defaultWeightStore: ResolvedWeightStore = { loadsPerSecond: 1, loadBurst: 1, loadsInFlight: 1 };

/** A node after inheritance. */
export type ResolvedNode =
    | { readonly kind: "account"; readonly value: ResolvedClientAccount; }
    | { readonly kind: "key"; readonly value: ResolvedKey; }
    | { readonly kind: "route"; readonly value: ResolvedRoute; }
    | { readonly kind: "adapter"; readonly value: ResolvedAdapter; }
    | { readonly kind: "weightStore"; readonly value: ResolvedWeightStore; }
    | { readonly kind: "group"; }
    /** A required field is set neither on the node nor on any of its ancestors. */
    | { readonly kind: "incomplete"; readonly field: string; };

/** Every field that a node may inherit. */
type InheritableFields = Partial<Omit<Extract<SettingsNode, { kind: "group"; }>, "kind">>;

/**
 * Lists a node and its ancestors, nearest first.
 *
 * @param tree - tree that holds the node
 * @param name - the node at the lower end of the chain
 * @returns the chain, or `undefined` if a parent is missing or the chain is a cycle or too long
 */
export function listInheritanceChain(tree: ReadonlySettingsTree, name: NodeName): readonly SettingsNode[] | undefined {
    const chain: SettingsNode[] = [];
    for (let next: NodeName | undefined = name; next !== undefined;) {
        const node = tree.get(next);
        if (!node || chain.length >= maximumTreeDepth) {
            return undefined;
        }
        chain.push(node);
        next = node.parent;
    }
    return chain;
}

/**
 * Applies inheritance to one node.
 *
 * @param tree - a tree whose references and parents are valid
 * @param name - name of the node
 * @returns the resolved node, or `undefined` if the node or an ancestor is missing, or the chain of parents is a cycle or too long
 */
export function resolveNode(tree: ReadonlySettingsTree, name: NodeName): ResolvedNode | undefined {
    const chain = listInheritanceChain(tree, name);
    const node = chain?.[0];
    if (!chain || !node) {
        return undefined;
    }
    switch (node.kind) {
        case "group":
            return { kind: "group" };
        case "clientAccount":
            return resolveAccount(name, chain);
        case "key":
            return resolveKey(tree, name, node.hash);
        case "route":
            return node.serves === "model"
                ? resolveModelRoute(tree, name, node.adapter, chain)
                : resolveServiceRoute(name, chain);
        case "adapter":
            return resolveAdapter(name, node.version, chain);
        case "weightStore": {
            const { loadsPerSecond, loadBurst, loadsInFlight } = node;
            return { kind: "weightStore", value: { loadsPerSecond, loadBurst, loadsInFlight } };
        }
    }
}

function findInheritedField<Field extends keyof InheritableFields>(
    chain: readonly SettingsNode[],
    field: Field,
): InheritableFields[Field] {
    for (const node of chain) {
        const value = (node as InheritableFields)[field];
        if (value !== undefined) {
            return value;
        }
    }
    return undefined;
}

function findInheritedLimit(chain: readonly SettingsNode[], field: "rate" | "burst"): number | undefined {
    for (const node of chain) {
        const value = (node as InheritableFields).limits?.[field];
        if (value !== undefined) {
            return value;
        }
    }
    return undefined;
}

function resolveAccount(id: NodeName, chain: readonly SettingsNode[]): ResolvedNode {
    const rate = findInheritedLimit(chain, "rate");
    const burst = findInheritedLimit(chain, "burst");
    if (rate === undefined || burst === undefined) {
        return { kind: "incomplete", field: rate === undefined ? "limits.rate" : "limits.burst" };
    }
    const weight = findInheritedField(chain, "weight") ?? defaultWeight;
    return { kind: "account", value: { id, limits: { rate, burst }, weight } };
}

function resolveKey(tree: ReadonlySettingsTree, id: NodeName, hash: string): ResolvedNode {
    for (let name: NodeName | undefined = id; name !== undefined;) {
        const node: SettingsNode = tree.get(name)!;
        const account = node.kind === "clientAccount" ? name : (node as InheritableFields).account;
        if (account !== undefined) {
            return { kind: "key", value: { id, hash, account } };
        }
        name = node.parent;
    }
    return { kind: "incomplete", field: "account" };
}

function resolveRouteBase(id: NodeName, chain: readonly SettingsNode[], pool: string): Omit<ResolvedRoute, "kind"> {
    return {
        id,
        pool,
        access: findInheritedField(chain, "access") ?? "keyed",
        accounts: findInheritedField(chain, "accounts"),
        openAccount: findInheritedField(chain, "openAccount"),
        requestClass: findInheritedField(chain, "requestClass") ?? "interactive",
        deadline: findInheritedField(chain, "deadlineMilliseconds") ?? defaultDeadlineMilliseconds,
        retryBudget: findInheritedField(chain, "retryBudget") ?? defaultRetryBudget,
    };
}

function findMissingRouteField(chain: readonly SettingsNode[]): ResolvedNode | undefined {
    if (findInheritedField(chain, "pool") === undefined) {
        return { kind: "incomplete", field: "pool" };
    }
    if (findInheritedField(chain, "access") === "open" && findInheritedField(chain, "openAccount") === undefined) {
        return { kind: "incomplete", field: "openAccount" };
    }
    return undefined;
}

function resolveModelRoute(
    tree: ReadonlySettingsTree,
    id: NodeName,
    adapter: NodeName | undefined,
    chain: readonly SettingsNode[],
): ResolvedNode {
    const fault = findMissingRouteField(chain);
    if (fault) {
        return fault;
    }
    // an adapter works with one base model only, so the adapter's base model takes precedence over the route's
    const modelChain = adapter === undefined ? chain : listInheritanceChain(tree, adapter);
    const baseModel = modelChain && findInheritedField(modelChain, "baseModel");
    if (baseModel === undefined) {
        return { kind: "incomplete", field: "baseModel" };
    }
    const maximumOutputTokens = findInheritedField(chain, "maximumOutputTokens") ?? defaultMaximumOutputTokens;
    const base = resolveRouteBase(id, chain, findInheritedField(chain, "pool")!);
    return { kind: "route", value: { kind: "model", ...base, baseModel, adapter, maximumOutputTokens } };
}

function resolveServiceRoute(id: NodeName, chain: readonly SettingsNode[]): ResolvedNode {
    const fault = findMissingRouteField(chain);
    if (fault) {
        return fault;
    }
    // running a call twice may have unwanted effects, so the operator must allow it explicitly
    const repeat = findInheritedField(chain, "repeat") ?? "once";
    const costTokens = findInheritedField(chain, "costTokens") ?? defaultCostTokens;
    const base = resolveRouteBase(id, chain, findInheritedField(chain, "pool")!);
    return { kind: "route", value: { kind: "service", ...base, repeat, costTokens } };
}

function resolveAdapter(id: NodeName, version: string, chain: readonly SettingsNode[]): ResolvedNode {
    const baseModel = findInheritedField(chain, "baseModel");
    if (baseModel === undefined) {
        return { kind: "incomplete", field: "baseModel" };
    }
    return { kind: "adapter", value: { id, baseModel, version } };
}

/** Lookup tables of resolved nodes, kept up to date with a tree. */
export interface ResolvedTables {
    /** Resolves the named nodes again after a change; names of removed nodes are dropped from the tables. */
    readonly update: (tree: ReadonlySettingsTree, names: Iterable<NodeName>) => void;
    /** Returns the current tables; later updates do not change the returned value. */
    readonly read: (appliedOffset: LogOffset) => ResolvedSettings;
}

/**
 * Creates the tables of an empty tree.
 *
 * @returns the tables, owned by the caller
 */
export function createResolvedTables(): ResolvedTables {
    const accounts = createCopyOnWriteMap<ResolvedClientAccount>();
    const keys = createCopyOnWriteMap<ResolvedKey>();
    const routes = createCopyOnWriteMap<ResolvedRoute>();
    const adapters = createCopyOnWriteMap<ResolvedAdapter>();
    const hashByKeyName = new Map<NodeName, string>();
    let weightStore: { readonly name: NodeName; readonly value: ResolvedWeightStore; } | undefined;

    const remove = (name: NodeName): void => {
        accounts.remove(name);
        routes.remove(name);
        adapters.remove(name);
        const hash = hashByKeyName.get(name);
        // the same change may have given the hash to another key node
        if (hash !== undefined && keys.get(hash)?.id === name) {
            keys.remove(hash);
        }
        hashByKeyName.delete(name);
        weightStore = weightStore?.name === name ? undefined : weightStore;
    };
    const put = (name: NodeName, node: ResolvedNode): void => {
        switch (node.kind) {
            case "account":
                return accounts.put(name, node.value);
            case "key":
                hashByKeyName.set(name, node.value.hash);
                return keys.put(node.value.hash, node.value);
            case "route":
                return routes.put(name, node.value);
            case "adapter":
                return adapters.put(name, node.value);
            case "weightStore":
                weightStore = { name, value: node.value };
                return;
            case "group":
            case "incomplete":
                return;
        }
    };
    return {
        update: (tree, names) => {
            const changed = [...names];
            changed.forEach(remove);
            for (const name of changed) {
                const node = resolveNode(tree, name);
                if (node) {
                    put(name, node);
                }
            }
        },
        read: appliedOffset => ({
            appliedOffset,
            accounts: accounts.share(),
            keys: keys.share(),
            routes: routes.share(),
            adapters: adapters.share(),
            weightStore: weightStore?.value ?? defaultWeightStore,
        }),
    };
}

interface CopyOnWriteMap<Value> {
    readonly get: (key: string) => Value | undefined;
    readonly put: (key: string, value: Value) => void;
    readonly remove: (key: string) => void;
    /** Returns the current map, which later writes do not change. */
    readonly share: () => ReadonlyMap<string, Value>;
}

// the map is copied on the first write after `share`
function createCopyOnWriteMap<Value>(): CopyOnWriteMap<Value> {
    let map = new Map<string, Value>();
    let shared = false;
    const replaceSharedMap = (): void => {
        if (shared) {
            map = new Map(map);
            shared = false;
        }
    };
    return {
        get: key => map.get(key),
        put: (key, value) => {
            replaceSharedMap();
            map.set(key, value);
        },
        remove: key => {
            if (map.has(key)) {
                replaceSharedMap();
                map.delete(key);
            }
        },
        share: () => {
            shared = true;
            return map;
        },
    };
}
