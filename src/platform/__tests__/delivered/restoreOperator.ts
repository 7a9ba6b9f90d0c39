/**
 * Operator of plays in which the store comes back from an older copy: writes versions of the configuration, and writes
 * again what was lost. Each version has a route and a key of its own, beside those that stay.
 */
import { createSeededRandom } from "../../../shared/index.js";
import { pause } from "./deployment.js";
import { fencedModel } from "./fencedEngines.js";
import type { StoreRestore, WireStore } from "./wireStore.js";

/** Order in which the operator writes again: further versions fill the topic up to where it ended before. */
export type RewritingKind = "inOrder" | "newestOnly" | "newestThenFurther" | "partFirst";

/** What happens to the store once. */
export interface RestorePlan extends StoreRestore {
    readonly rewriting: RewritingKind;
    /** Time from the return to the rewriting, in milliseconds; none of it passes in any process where it is 0. */
    readonly late: number;
}

/** A version that the store has acknowledged. */
export interface WrittenVersion {
    readonly version: number;
    readonly at: number;
}

/** Newest version in the store from a time on; `undefined` while the store is away. */
export interface StoreVersion {
    readonly version: number | undefined;
    readonly at: number;
}

/** The operator. */
export interface RestoreOperator {
    /** All that it has written, oldest first. */
    readonly writes: readonly WrittenVersion[];
    /** What the store held, oldest first. */
    readonly held: readonly StoreVersion[];
    /** Writes the next version. */
    readonly publish: () => void;
    /** Has the store come back older, and resolves once all is written again. */
    readonly restore: (plan: RestorePlan) => Promise<void>;
}

/** Services of the play. */
export const restoreServices = { plain: "order-app", engines: "offert-llm" } as const;
/** Host, and path prefixes of the routes that stay. */
export const restoreRoutes = { host: "orders.example", order: "/order/", draft: "/draft/" } as const;
/** Key that stays. */
export const lastingKey = "acme-key";

/**
 * Formats the path prefix of the route that only one version has.
 *
 * @param version - number of the version
 * @returns the prefix
 */
export function formatVersionPath(version: number): string {
    return `/v${version}/`;
}

/**
 * Formats the key that only one version has.
 *
 * @param version - number of the version
 * @returns the key
 */
export function formatVersionKey(version: number): string {
    return `key-${version}`;
}

/**
 * Encodes a version of the configuration.
 *
 * @param version - number of the version
 * @returns value of the record
 */
export function createRestoreConfiguration(version: number): string {
    const { plain, engines } = restoreServices;
    const timing = { timeout_ms: 3_000, target_latency_ms: 600, target_gap_ms: 300, max_attempts: 2, priority: 2 };
    const shared = { host: restoreRoutes.host, ...timing, can_resume: false, public: false };
    const models = [{ name: fencedModel, size_mb: 70_000, adapter_mb: 100 }];
    const engine = { slots: 32, kv_cache_tokens: 1_000_000, size_mb: 75_000, adapter_slots: 6, loads_per_s: 5, models };
    return JSON.stringify({
        version,
        tenants: [{
            name: "acme",
            api_keys: [lastingKey, formatVersionKey(version)],
            rate_per_s: 10_000,
            burst: 10_000,
            unit: "requests",
        }],
        routes: [
            {
                ...shared,
                name: "draft",
                path_prefix: restoreRoutes.draft,
                kind: "stream",
                service: engines,
                can_resume: true,
                sticky: true,
            },
            { ...shared, name: "order", path_prefix: restoreRoutes.order, kind: "unsafe", service: plain },
            { ...shared, name: `v${version}`, path_prefix: formatVersionPath(version), kind: "safe", service: plain },
        ],
        services: [
            { name: engines, health_path: "/health", connection_limit: 240, engine },
            { name: plain, health_path: "/health", connection_limit: 110 },
        ],
        limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    });
}

/**
 * Creates an operator whose first version the store holds.
 *
 * @param store - the store
 * @param seed - seed of the steps between versions
 * @returns the operator
 */
export function createRestoreOperator(store: WireStore, seed: number): RestoreOperator {
    const random = createSeededRandom(seed);
    const first = { version: 1, at: performance.now() };
    const writes: WrittenVersion[] = [first];
    const held: StoreVersion[] = [first];
    // what the topic holds, oldest first
    let topic: readonly WrittenVersion[] = [first];
    const write = (version: number): void => {
        store.put("keyed.op", "config", createRestoreConfiguration(version));
        const written = { version, at: performance.now() };
        writes.push(written);
        held.push(written);
        topic = [...topic, written];
    };
    const publish = (): void => write(Math.max(...writes.map(({ version }) => version)) + random.between(1, 3));
    const writeAgain = async (lost: readonly number[], { rewriting, late }: RestorePlan): Promise<void> => {
        const [before, after] = splitLost(lost, rewriting);
        before.forEach(write);
        if (late > 0) {
            await pause(late);
        }
        after.forEach(write);
        if (rewriting === "newestThenFurther") {
            lost.slice(after.length).forEach(publish);
        }
    };
    return {
        writes,
        held,
        publish,
        restore: async plan => {
            const at = performance.now();
            const kept = topic.filter(written => written.at <= at - plan.age);
            const lost = topic.slice(kept.length).map(({ version }) => version);
            held.push({ at, version: undefined });
            topic = kept;
            await store.restore(plan);
            held.push({ at: performance.now(), version: kept.at(-1)?.version ?? 0 });
            await writeAgain(lost, plan);
        },
    };
}

// what is written at once, and what later
function splitLost(
    lost: readonly number[],
    rewriting: RewritingKind,
): readonly [before: readonly number[], after: readonly number[]] {
    switch (rewriting) {
        case "inOrder":
            return [[], lost];
        case "newestOnly":
        case "newestThenFurther":
            return [[], lost.slice(-1)];
        case "partFirst":
            return [lost.slice(0, -1), lost.slice(-1)];
    }
}
