/**
 * Membership and shard ownership: which instances and backend servers exist, and which instance owns each shard.
 *
 * @packageDocumentation
 */
export * from "./membershipTask.js";
export * from "./messages.js";
export * from "./types.js";
