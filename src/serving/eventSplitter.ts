/**
 * Splits an event stream into whole events and reads their ids, so that a stream that breaks can go on behind the last
 * whole event. An event's bytes pass unchanged.
 *
 * @packageDocumentation
 */

/** Whole events taken from a stream. */
export interface SplitEvents {
    /** Bytes of whole events; empty when none is whole yet. */
    readonly bytes: Buffer;
    readonly lastId: number | undefined;
    readonly count: number;
}

/** Splitter of one stream. */
export interface EventSplitter {
    readonly push: (chunk: Buffer) => SplitEvents;
    /** Bytes of an event that is not yet whole. */
    readonly readIncomplete: () => Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idFieldPattern = /(?:^|\n)id: ?(\d+)/g;
const noBytes = Buffer.alloc(0);

/**
 * Creates a splitter.
 *
 * @returns the splitter
 */
export function createEventSplitter(): EventSplitter {
    let rest: Buffer = noBytes;
    return {
        push: chunk => {
            const joined = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
            const end = findLastEventEnd(joined);
            rest = joined.subarray(end);
            const bytes = joined.subarray(0, end);
            return { bytes, ...readIds(bytes) };
        },
        readIncomplete: () => rest,
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
