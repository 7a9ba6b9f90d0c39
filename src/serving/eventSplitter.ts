/**
 * Splits a stream of server-sent events at the ends of events and checks them, so that a stream that breaks can be resumed
 * after its last complete event, and only events are passed on. An event ends at an empty line; lines end with LF or CRLF,
 * and a single CR is not recognized. The bytes of the events are not changed.
 *
 * @packageDocumentation
 */
import { decodeEventId, type EventId, isLaterEvent } from "./eventIds.js";

/** Complete events that a chunk has finished. */
export interface SplitEvents {
    /** Bytes of the complete events, up to the first one that doesn't belong here; empty when there is none. */
    readonly bytes: Buffer;
    /** Id of the last of these events; `undefined` when it has none. */
    readonly lastId: EventId | undefined;
    /** Why the bytes after these don't belong to the stream; `undefined` when all do. Nothing is to be pushed then. */
    readonly foreign: string | undefined;
}

/** Splitter of one stream. */
export interface EventSplitter {
    /** Adds a chunk and returns the events that are complete now. */
    readonly push: (chunk: Buffer) => SplitEvents;
    /** Returns the bytes of an event that is not complete yet; empty when there is none. */
    readonly readIncomplete: () => Buffer;
    /** Returns the size of the memory for an event that is not complete yet, in bytes. */
    readonly countHeldBytes: () => number;
    /** Returns the number of bytes since the last event with a numeric id, or since the last event while none has one. */
    readonly countUselessBytes: () => number;
}

/** What is known of a stream before its first byte. */
export interface EventSplitterOptions {
    /** Last event that the client has; the next one must have a higher id. `undefined` when it has none. */
    readonly after: EventId | undefined;
    /** Whether each event must have a numeric id; else those of a stream whose first event has none needn't. */
    readonly isNumbered: boolean;
}

/** What the lines of an event that isn't complete have shown so far. */
interface OpenEvent {
    id: EventId | undefined;
    /** Whether each line is a comment or a field of an event. */
    isEvent: boolean;
    /** Whether it holds comments only, as servers send them to keep a connection open. */
    isComment: boolean;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const idLinePattern = /^id: ?(\d+)$/;
/** Fields of events, also unknown ones, which servers add. */
const eventLinePattern = /^[a-z][a-z0-9-]*(?::|$)/;
/** Header fields of which each HTTP response has one: they begin a second response within a body without a length. */
const responseHeaderPattern = /^(?:content-[a-z]+|transfer-encoding|connection|keep-alive|date):/;
const noBytes = Buffer.alloc(0);

/**
 * Creates a splitter for one stream. It keeps the bytes of an incomplete event between chunks.
 *
 * @param options - what is known of the stream
 * @returns the splitter, owned by the caller
 */
export function createEventSplitter({ after, isNumbered }: EventSplitterOptions): EventSplitter {
    const kept = createKeptBytes();
    let uselessBytes = 0;
    let lastId = after;
    let hasIds = isNumbered || after !== undefined;
    let open = createOpenEvent();
    // positions within the kept bytes: up to where lines were looked for, and where the present one begins
    let searched = 0;
    let lineStart = 0;
    const describeForeign = ({ id, isEvent, isComment }: OpenEvent): string | undefined => {
        if (!isEvent) {
            return "lines that are no event";
        }
        if (id === undefined) {
            return hasIds && !isComment ? "an event without an id" : undefined;
        }
        return lastId !== undefined && !isLaterEvent(id, lastId) ? `event ${id} after event ${lastId}` : undefined;
    };
    return {
        push: chunk => {
            const joined = kept.add(chunk);
            let end = 0;
            let foreign: string | undefined;
            let numbered = 0;
            for (
                let index = joined.indexOf(lineFeed, searched);
                index >= 0;
                index = joined.indexOf(lineFeed, index + 1)
            ) {
                const lineEnd = index > lineStart && joined[index - 1] === carriageReturn ? index - 1 : index;
                const isLast = lineEnd === lineStart && lineStart > end;
                if (lineEnd > lineStart) {
                    readLine(open, joined, lineStart, lineEnd);
                }
                lineStart = index + 1;
                if (!isLast) {
                    continue;
                }
                foreign = describeForeign(open);
                if (foreign) {
                    break;
                }
                if (open.id !== undefined) {
                    lastId = open.id;
                    hasIds = true;
                    numbered++;
                }
                open = createOpenEvent();
                end = lineStart;
            }
            const isProgress = hasIds ? numbered > 0 : end > 0;
            const restBytes = joined.length - end;
            uselessBytes = isProgress ? restBytes : uselessBytes + chunk.length;
            kept.keepFrom(end);
            searched = restBytes;
            lineStart -= end;
            return { bytes: joined.subarray(0, end), lastId: numbered > 0 ? lastId : undefined, foreign };
        },
        readIncomplete: kept.read,
        countHeldBytes: kept.countHeldBytes,
        countUselessBytes: () => uselessBytes,
    };
}

/** Bytes of an incomplete event, in one piece. */
interface KeptBytes {
    /** Adds a chunk and returns all bytes; those that are given up later stay as they are. */
    readonly add: (chunk: Buffer) => Buffer;
    /** Gives up the bytes before a position. */
    readonly keepFrom: (start: number) => void;
    readonly read: () => Buffer;
    /** Returns the size of the memory that the bytes take. */
    readonly countHeldBytes: () => number;
}

// the room doubles, so that an event that comes in many chunks isn't copied with each of them
function createKeptBytes(): KeptBytes {
    let room: Buffer = noBytes;
    let all: Buffer = noBytes;
    const reserveRoom = (size: number): void => {
        if (size > room.length) {
            room = Buffer.allocUnsafeSlow(size * 2);
            all.copy(room);
        }
    };
    return {
        add: chunk => {
            if (all.length === 0) {
                all = chunk;
                return all;
            }
            const size = all.length + chunk.length;
            reserveRoom(size);
            chunk.copy(room, all.length);
            all = room.subarray(0, size);
            return all;
        },
        keepFrom: start => {
            if (start === 0 && room.length > 0) {
                return;
            }
            // what was given out is another's, and a part of a chunk would keep all of it
            all = start < all.length ? Buffer.from(all.subarray(start)) : noBytes;
            room = noBytes;
        },
        read: () => all,
        countHeldBytes: () => Math.max(room.length, all.length),
    };
}

function createOpenEvent(): OpenEvent {
    return { id: undefined, isEvent: true, isComment: true };
}

function readLine(event: OpenEvent, bytes: Buffer, start: number, end: number): void {
    if (bytes[start] === colon) {
        return;
    }
    const line = bytes.toString("latin1", start, end);
    const id = idLinePattern.exec(line)?.[1];
    event.id = id === undefined ? event.id : decodeEventId(id);
    event.isComment = false;
    event.isEvent &&= eventLinePattern.test(line) && !responseHeaderPattern.test(line);
}
