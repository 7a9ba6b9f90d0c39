/**
 * Messages between instances, over WebSocket with MessagePack.
 *
 * @packageDocumentation
 */
export * from "./frames.js";
export * from "./peerTask.js";
export * from "./types.js";
