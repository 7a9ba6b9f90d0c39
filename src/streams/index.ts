/**
 * Replicated state computed from a stream of the log: replay, checkpoints, snapshots between instances, and the
 * follower that keeps the state up to date.
 *
 * @packageDocumentation
 */
export * from "./callWithTimeout.js";
export * from "./checkpoint.js";
export * from "./follower.js";
export * from "./messages.js";
export * from "./model.js";
export * from "./records.js";
export * from "./recordSource.js";
export * from "./replay.js";
export * from "./snapshots.js";
