/**
 * Attempts that an instance sends through another one while it reaches no server itself.
 *
 * @packageDocumentation
 */
export * from "./checkServer.js";
export * from "./forwardingConnections.js";
export * from "./messages.js";
