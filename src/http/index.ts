/**
 * Front door for callers, operators and metrics.
 *
 * @packageDocumentation
 */
export * from "./errorResponses.js";
export * from "./httpServer.js";
export * from "./metrics.js";
export * from "./requestLog.js";
export * from "./types.js";
