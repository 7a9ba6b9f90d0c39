/**
 * Placement: which adapters are resident on which engines, and pins that keep an adapter resident while a request uses
 * it.
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
