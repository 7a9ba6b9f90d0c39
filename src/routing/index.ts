/**
 * Choice of an engine for a request, and what is known of the request for it.
 *
 * @packageDocumentation
 */
export * from "./coldServer.js";
export * from "./engineLoad.js";
export * from "./engineScore.js";
export * from "./promptCache.js";
export * from "./requestAge.js";
