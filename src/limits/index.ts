/**
 * Rates and bursts in tokens, counted over all instances together.
 *
 * @packageDocumentation
 */
export * from "./effects.js";
export * from "./limiterCore.js";
export * from "./limitsTask.js";
export * from "./limitTimes.js";
export { type ResourceKind, type ResourceLimits } from "./localBucket.js";
export * from "./messages.js";
export * from "./outputEstimate.js";
export * from "./resources.js";
export * from "./types.js";
