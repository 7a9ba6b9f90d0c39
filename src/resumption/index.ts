/**
 * Streams that clients take up again, which go on at the software version that began them.
 *
 * @packageDocumentation
 */
export * from "./messages.js";
export * from "./originDecision.js";
export * from "./streamArchive.js";
export * from "./streamOrigins.js";
export * from "./types.js";
