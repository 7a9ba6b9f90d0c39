/**
 * Helpers for tests and benches. Nothing in this folder runs in production.
 *
 * @packageDocumentation
 */
export * from "./detachedTasks.js";
export * from "./history.js";
export * from "./historyCommands.js";
export * from "./snapshot.js";
export * from "./statusLines.js";
export * from "./virtualPlatform.js";
