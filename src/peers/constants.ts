/**
 * Limits of the connections between instances.
 *
 * @packageDocumentation
 */

/** Version of the frame protocol; instances of another version are refused at the handshake. */
export const peerProtocolVersion = 1;

/** Size of the largest frame that is accepted. */
export const frameLimitBytes = 4 * 1_024 * 1_024;

/** Number of bytes buffered for a connection above which messages without a response are dropped. */
export const sendBufferLimitBytes = 1_024 * 1_024;

/** Time after which a connection without traffic is closed. */
export const idleConnectionMilliseconds = 60_000;

/**
 * Time without a frame of the peer after which a connection is ended on which a request was sent and not answered in its
 * time: it may be silent for good, without a reset.
 */
export const silenceLimitMilliseconds = 1_000;

/** Time limit for opening a connection, including its handshake. */
export const connectTimeoutMilliseconds = 2_000;

/** Time after a failed connection during which no new one is attempted, to limit the cost of an unreachable peer. */
export const reconnectDelayMilliseconds = 250;

/** Number of frames to one peer that may wait while its connection is being opened; further ones are dropped. */
export const waitingFramesPerPeerLimit = 256;
