/**
 * Fair queueing of requests of different client accounts and classes.
 *
 * @packageDocumentation
 */
export * from "./batchSlotReserve.js";
export * from "./fairQueue.js";
export * from "./quotaOrder.js";
export * from "./types.js";
