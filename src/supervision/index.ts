/**
 * Tasks, the supervisors that run and restart them, and mailboxes between them.
 *
 * @packageDocumentation
 */
export * from "./backgroundTasks.js";
export * from "./mailbox.js";
export * from "./processEnd.js";
export * from "./supervisor.js";
export * from "./waitLimit.js";
