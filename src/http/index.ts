/**
 * HTTP server for clients and operators, with the metrics and the log line of each request.
 *
 * @packageDocumentation
 */
export * from "./errorResponses.js";
export * from "./httpServer.js";
export * from "./metrics.js";
export * from "./requestLog.js";
export * from "./types.js";
