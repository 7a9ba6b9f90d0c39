/**
 * Limits of the connections between instances.
 *
 * @packageDocumentation
 */

/** Version of the frames below; instances of another version are refused at the handshake. */
export const peerProtocolVersion = 1;

/** Largest frame that is accepted. */
export const frameLimitBytes = 4 * 1_024 * 1_024;

/** Bytes waiting on a socket above which messages that need no answer are dropped. */
export const sendBufferLimitBytes = 1_024 * 1_024;

/** Time after which a connection without traffic is closed. */
export const idleConnectionMilliseconds = 60_000;

/** Time that a connection and its handshake may take. */
export const connectTimeoutMilliseconds = 2_000;

/** Time after a failed connection during which no other is tried, so that a dead peer costs little. */
export const reconnectDelayMilliseconds = 250;

/** Messages to one peer that wait while its connection is being made. */
export const waitingFramesPerPeerLimit = 256;
