/**
 * Handling of requests, from admission to the outcome that the caller gets.
 *
 * @packageDocumentation
 */
export * from "./atMostOnceMessages.js";
export * from "./notRunReport.js";
export * from "./outcome.js";
export * from "./requestsTask.js";
export * from "./types.js";
