/**
 * Fair queueing of requests of different client accounts and classes, and admission while room is scarce.
 *
 * @packageDocumentation
 */
export * from "./batchSlotReserve.js";
export * from "./fairQueue.js";
export * from "./placeOrder.js";
export * from "./quotaOrder.js";
export * from "./returnTimes.js";
export * from "./roomEstimate.js";
export * from "./shareLedger.js";
export * from "./types.js";
export * from "./urgentReserve.js";
