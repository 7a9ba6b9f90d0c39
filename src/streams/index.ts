/**
 * Replicated state over a stream of the log: replay, restating, snapshots between instances, and the task that follows.
 *
 * @packageDocumentation
 */
export * from "./checkpoint.js";
export * from "./follower.js";
export * from "./limitTime.js";
export * from "./messages.js";
export * from "./model.js";
export * from "./records.js";
export * from "./replay.js";
export * from "./snapshots.js";
export * from "./sources.js";
