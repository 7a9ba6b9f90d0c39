/**
 * Quarantines of prompts that end the servers that begin to answer them.
 *
 * @packageDocumentation
 */
export * from "./messages.js";
export * from "./quarantineList.js";
export * from "./requestDigest.js";
export * from "./requestGuard.js";
export * from "./types.js";
