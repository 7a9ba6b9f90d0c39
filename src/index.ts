/**
 * Oriolehatch as a library.
 *
 * @packageDocumentation
 */
export * from "./backends/index.js";
export * from "./config/index.js";
export * from "./fairness/index.js";
export * from "./limits/index.js";
export * from "./membership/index.js";
export * from "./peers/index.js";
export * from "./placement/index.js";
export * from "./requests/index.js";
export * from "./shared/index.js";
export * from "./streams/index.js";
export * from "./supervision/index.js";
