/**
 * Life of one request, from admission to its outcome.
 *
 * @packageDocumentation
 */
export * from "./atMostOnceMessages.js";
export * from "./notRunReport.js";
export * from "./outcome.js";
export * from "./requestsTask.js";
export * from "./types.js";
