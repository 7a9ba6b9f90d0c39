/**
 * Splits a stream of server-sent events at the ends of events and reads the event ids, so that a stream that breaks can
 * be resumed after its last complete event. An event ends at an empty line; lines end with LF or CRLF, and a single CR
 * is not recognized. The bytes of the events are not changed.
 *
 * @packageDocumentation
 */

/** Complete events that a chunk has finished. */
export interface SplitEvents {
    /** Bytes of the complete events; empty when there is none. */
    readonly bytes: Buffer;
    /** Id of the last of these events that has a numeric one; `undefined` when none has. */
    readonly lastId: number | undefined;
    /** Number of these events that have a numeric id. */
    readonly count: number;
}

/** Splitter of one stream. */
export interface EventSplitter {
    /** Adds a chunk and returns the events that are complete now. */
    readonly push: (chunk: Buffer) => SplitEvents;
    /** Returns the bytes of an event that is not complete yet; empty when there is none. */
    readonly readIncomplete: () => Buffer;
    /** Returns the number of bytes since the last event; once events have numeric ids, others don't count as events. */
    readonly countUselessBytes: () => number;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idFieldPattern = /(?:^|\n)id: ?(\d+)/g;
const noBytes = Buffer.alloc(0);

/**
 * Creates a splitter for one stream. It keeps the bytes of an incomplete event between chunks.
 *
 * @returns the splitter, owned by the caller
 */
export function createEventSplitter(): EventSplitter {
    let rest: Buffer = noBytes;
    let uselessBytes = 0;
    let hasIds = false;
    return {
        push: chunk => {
            const joined = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
            const end = findLastEventEnd(joined);
            rest = joined.subarray(end);
            const bytes = joined.subarray(0, end);
            const ids = readIds(bytes);
            hasIds ||= ids.count > 0;
            const isProgress = hasIds ? ids.count > 0 : bytes.length > 0;
            uselessBytes = isProgress ? rest.length : uselessBytes + chunk.length;
            return { bytes, ...ids };
        },
        readIncomplete: () => rest,
        countUselessBytes: () => uselessBytes,
    };
}

function findLastEventEnd(bytes: Buffer): number {
    for (let index = bytes.length - 1; index > 0; index--) {
        if (bytes[index] !== lineFeed) {
            continue;
        }
        const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
        if (bytes[before] === lineFeed) {
            return index + 1;
        }
    }
    return 0;
}

function readIds(bytes: Buffer): Pick<SplitEvents, "lastId" | "count"> {
    let lastId: number | undefined;
    let count = 0;
    if (bytes.length > 0) {
        for (const match of bytes.toString("latin1").matchAll(idFieldPattern)) {
            lastId = Number(match[1]);
            count++;
        }
    }
    return { lastId, count };
}
