/**
 * Fair queueing of requests of different client accounts and classes.
 *
 * @packageDocumentation
 */
export * from "./fairQueue.js";
export * from "./placeReserve.js";
export * from "./types.js";
