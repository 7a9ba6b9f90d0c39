import type { BackendServer, EngineLimits } from "../../serving/types.js";

/** Limits of the engines in these tests: one base model and three adapter slots. */
export const testLimits: EngineLimits = {
    batchSlots: 4,
    kvCacheTokens: 1_000,
    memoryMegabytes: 1_000,
    adapterSlots: 3,
    modelLoadsPerSecond: 1,
    models: [{ name: "base", sizeMegabytes: 100, adapterMegabytes: 10 }],
};

/**
 * Creates the server entry of an engine on which the base model is resident.
 *
 * @param id - id of the backend server
 * @returns the entry; all entries share one address and failure domain
 */
export function createTestServer(id: string): BackendServer {
    return {
        id,
        startedAt: 1,
        service: "llm",
        address: "10.0.0.1:1",
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 4,
        models: [{ name: "base", version: 1, adapters: [] }],
    };
}
