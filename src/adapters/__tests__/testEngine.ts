import type { BackendServer, EngineLimits } from "../../serving/types.js";

/** What the engines of these tests hold: one model, three adapters. */
export const testLimits: EngineLimits = {
    batchSlots: 4,
    kvCacheTokens: 1_000,
    memoryMegabytes: 1_000,
    adapterSlots: 3,
    modelLoadsPerSecond: 1,
    models: [{ name: "base", sizeMegabytes: 100, adapterMegabytes: 10 }],
};

/**
 * Creates the entry of an engine that lists its model.
 *
 * @param id - its id
 * @returns the entry
 */
export function createTestServer(id: string): BackendServer {
    return {
        id,
        startedAt: 1,
        service: "llm",
        address: "10.0.0.1:1",
        failureDomain: "a",
        isDraining: false,
        slots: 4,
        models: [{ name: "base", version: 1, adapters: [] }],
    };
}
