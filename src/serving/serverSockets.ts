/**
 * Sockets to servers, each of which is read only as far and as fast as what it brings is used: a socket is held while its
 * answer can't be taken, is read in turns with the others, and is closed when it brings bytes that are no answer.
 *
 * @packageDocumentation
 */
import type { Socket } from "node:net";
import { buildConnector } from "undici";
import type { Milliseconds } from "../shared/index.js";
import { createReadTurns, type ReadTurns } from "./readTurns.js";

/** A connection to a server, as the answers on it see it. */
export interface ServerSocket {
    /** Counts bytes of an answer. */
    readonly countUseful: (bytes: number) => void;
    /** Forgets all bytes that have come, as they have brought an answer. */
    readonly markUseful: () => void;
    /** Records that an answer is complete: what comes before the next request is written belongs to none. */
    readonly markEnd: () => void;
    /** Whether the server has closed or reset the connection. */
    readonly hasEnded: () => boolean;
    /** Whether the connection has ended otherwise than by the server's ordinary end. */
    readonly wasReset: () => boolean;
    /** Reads nothing more of it until `release`. */
    readonly hold: () => void;
    readonly release: () => void;
    /** Called when all of a read has been parsed. */
    onRead: (() => void) | undefined;
}

/** Sockets to servers. */
export interface ServerSockets {
    readonly connect: buildConnector.connector;
    /** Returns the connection whose bytes are being parsed. */
    readonly findCurrent: () => ServerSocket | undefined;
}

/** Bytes that a connection may bring beside those of answers, such as the sizes of chunks, before it is closed. */
const uselessBytesLimit = 1_048_576;
/** Bytes that each byte of an answer may cost in addition: a chunk of one byte has six. */
const bytesPerUsefulByte = 16;
/** Size of the pieces in which bytes are parsed that take long; a socket that is held keeps so many and one read. */
const pieceBytes = 16_384;
const uselessBytesCode = "USELESS_BYTES";
/** Messages of the errors with which undici refuses an answer that no request could have. */
const refusedAnswerPattern = /^bad (?:response|upgrade)$/;

/**
 * Creates sockets that share the turns of the event loop.
 *
 * @param timeout - time limit for opening a connection
 * @param turns - turns of the loop
 * @returns the sockets
 */
export function createServerSockets(
    timeout: Milliseconds,
    turns: ReadTurns = createReadTurns(() => performance.now()),
): ServerSockets {
    const connectSocket = buildConnector({
        // the timers of undici are up to a second late
        timeout: 0,
        highWaterMark: undefined,
        readableHighWaterMark: pieceBytes,
    } as buildConnector.BuildOptions);
    let current: ServerSocket | undefined;
    return {
        connect: (connectOptions, callback) => {
            // the types don't tell that the connector returns its socket
            const opened: unknown = connectSocket(connectOptions, (...result) => {
                const socket = result[1];
                if (socket) {
                    limitReads(socket, turns, read => current = read);
                }
                callback(...result);
            });
            limitConnecting(opened as Socket, timeout);
        },
        findCurrent: () => current,
    };
}

// after a pause of this process the timer is due before it is known that the connection was made
function limitConnecting(socket: Socket, timeout: Milliseconds): void {
    const endConnecting = (): void => void (socket.connecting && socket.destroy(createConnectError()));
    const timer = setTimeout(() => setImmediate(endConnecting), timeout);
    const stopTimer = (): void => clearTimeout(timer);
    socket.once("connect", stopTimer);
    socket.once("close", stopTimer);
}

function createConnectError(): NodeJS.ErrnoException {
    return Object.assign(new Error("no connection in time"), { code: "UND_ERR_CONNECT_TIMEOUT" });
}

/**
 * Returns whether an error says that a server has sent bytes that are no answer, as opposed to the end of the server or of
 * its connection.
 *
 * @param error - error of an attempt
 * @param socket - connection of its answer; `undefined` before the head
 * @returns whether the bytes are at fault
 */
export function isNoAnswer(error: Error, socket: ServerSocket | undefined): boolean {
    switch ((error as NodeJS.ErrnoException).code ?? error.name) {
        case uselessBytesCode:
        case "UND_ERR_HEADERS_OVERFLOW":
            return true;
        case "UND_ERR_SOCKET":
            return refusedAnswerPattern.test(error.message);
        // an answer that ends too early is reported in the same way as one that can't be parsed
        case "UND_ERR_RES_CONTENT_LENGTH_MISMATCH":
        case "HTTPParserError":
            return socket?.hasEnded() !== true;
        default:
            return false;
    }
}

// the consumer asks for reads until it gets none, so that the next question says that what it got before is parsed
function limitReads(socket: Socket, turns: ReadTurns, setCurrent: (read: ServerSocket | undefined) => void): void {
    const readNow = socket.read.bind(socket);
    let isHeld = false;
    let hasEnded = false;
    let wasReset = false;
    let pendingBytes: number | undefined;
    // nothing is known of the first bytes
    let isSlow = true;
    let usedBytes = 0;
    let usefulBytes = 0;
    // what had been written when the last answer was complete
    let writtenBytes = socket.bytesWritten;
    const readAgain = (): void => {
        if (!isHeld && !socket.destroyed) {
            socket.emit("readable");
        }
    };
    const reader = turns.addReader(readAgain);
    const markUseful = (): void => {
        usedBytes = socket.bytesRead;
        usefulBytes = 0;
    };
    // bytes that waited for their turn would else be taken for the answer to the next request
    const isUnasked = (): boolean => socket.readableLength > 0 && socket.bytesWritten === writtenBytes;
    const isUseless = (): boolean =>
        socket.bytesRead - usedBytes > uselessBytesLimit + bytesPerUsefulByte * usefulBytes;
    const connection: ServerSocket = {
        countUseful: bytes => usefulBytes += bytes,
        markUseful,
        markEnd: () => {
            markUseful();
            writtenBytes = socket.bytesWritten;
        },
        hasEnded: () => hasEnded,
        wasReset: () => wasReset,
        hold: () => isHeld = true,
        release: () => {
            if (isHeld) {
                isHeld = false;
                // not at once, as the consumer may be parsing now
                setImmediate(readAgain);
            }
        },
        onRead: undefined,
    };
    const endRead = (): void => {
        if (pendingBytes !== undefined) {
            const bytes = pendingBytes;
            pendingBytes = undefined;
            connection.onRead?.();
            setCurrent(undefined);
            isSlow = reader.end(bytes);
        }
    };
    const markEnd = (): void => {
        hasEnded = true;
    };
    // undici treats a response without a length as complete when its connection is reset, and libuv reports a reset that
    // arrives together with the last bytes as an ordinary end. The listeners run before those of undici; a socket that was
    // reset no longer has a remote address
    const markReset = (): void => {
        wasReset = true;
    };
    socket.prependListener("error", markReset);
    socket.prependListener("end", () => socket.remoteAddress ?? markReset());
    socket.prependListener("error", error => (error as NodeJS.ErrnoException).syscall === "read" && markEnd());
    socket.prependListener("end", markEnd);
    socket.once("close", () => reader.remove());
    socket.read = size => {
        if (size === 0) {
            return readNow(0);
        }
        endRead();
        if (isUnasked() || isUseless()) {
            // with an error, requests that wait for the connection would fail as well
            socket.destroy(isUnasked() ? undefined : createUselessBytesError());
            return readNow(0);
        }
        if (isHeld || !reader.begin()) {
            return readNow(0);
        }
        const isLong = isSlow && socket.readableLength > pieceBytes;
        const chunk: Buffer | undefined = readNow(isLong ? pieceBytes : size) ?? undefined;
        if (chunk === undefined) {
            return readNow(0);
        }
        pendingBytes = chunk.length;
        setCurrent(connection);
        return chunk;
    };
}

function createUselessBytesError(): NodeJS.ErrnoException {
    return Object.assign(new Error(`${uselessBytesLimit} bytes that are no answer`), { code: uselessBytesCode });
}
