/**
 * Which adapter is on which engine, and the pins that keep it there while it is used.
 *
 * @packageDocumentation
 */
export { formatAdapterVersionKey } from "./adapterSlots.js";
export * from "./messages.js";
export * from "./placementCore.js";
export * from "./placementTask.js";
export { defaultPlacementTimes, type PlacementTimes } from "./placementTimes.js";
export type { WaitingRequest } from "./requestScheduler.js";
export * from "./types.js";
