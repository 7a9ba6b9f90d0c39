/**
 * Splits a stream of server-sent events at the ends of events and checks them, so that a stream that breaks can be resumed
 * after its last complete event, and only events are passed on. An event ends at an empty line; lines end with LF or CRLF,
 * and a single CR is not recognized. The bytes of the events are not changed.
 *
 * @packageDocumentation
 */

/** Complete events that a chunk has finished. */
export interface SplitEvents {
    /** Bytes of the complete events, up to the first one that doesn't belong here; empty when there is none. */
    readonly bytes: Buffer;
    /** Id of the last of these events; `undefined` when it has none. */
    readonly lastId: number | undefined;
    /** Why the bytes after these don't belong to the stream; `undefined` when all do. Nothing is to be pushed then. */
    readonly foreign: string | undefined;
}

/** Splitter of one stream. */
export interface EventSplitter {
    /** Adds a chunk and returns the events that are complete now. */
    readonly push: (chunk: Buffer) => SplitEvents;
    /** Returns the bytes of an event that is not complete yet; empty when there is none. */
    readonly readIncomplete: () => Buffer;
    /** Returns the number of bytes since the last event with a numeric id, or since the last event while none has one. */
    readonly countUselessBytes: () => number;
}

/** What is known of a stream before its first byte. */
export interface EventSplitterOptions {
    /** Last event that the client has; the next one must have a higher id. `undefined` when it has none. */
    readonly after: number | undefined;
    /** Whether each event must have a numeric id; else those of a stream whose first event has none needn't. */
    readonly isNumbered: boolean;
}

interface ParsedEvent {
    readonly id: number | undefined;
    /** Whether each line is a comment or a field of an event. */
    readonly isEvent: boolean;
    /** Whether it holds comments only, as servers send them to keep a connection open. */
    readonly isComment: boolean;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idLinePattern = /^id: ?(\d+)$/;
/** Comments and fields of events, also unknown ones, which servers add. */
const eventLinePattern = /^(?::|[a-z][a-z0-9-]*(?::|$))/;
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
    let rest: Buffer = noBytes;
    let uselessBytes = 0;
    let lastId = after;
    let hasIds = isNumbered || after !== undefined;
    const describeForeign = ({ id, isEvent, isComment }: ParsedEvent): string | undefined => {
        if (!isEvent) {
            return "lines that are no event";
        }
        if (id === undefined) {
            return hasIds && !isComment ? "an event without an id" : undefined;
        }
        return lastId !== undefined && id <= lastId ? `event ${id} after event ${lastId}` : undefined;
    };
    return {
        push: chunk => {
            const joined = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
            let end = 0;
            let foreign: string | undefined;
            let numbered = 0;
            for (let next = findEventEnd(joined, 0); next > 0 && !foreign; next = findEventEnd(joined, end)) {
                const event = parseEvent(joined.toString("latin1", end, next));
                foreign = describeForeign(event);
                if (foreign) {
                    break;
                }
                if (event.id !== undefined) {
                    lastId = event.id;
                    hasIds = true;
                    numbered++;
                }
                end = next;
            }
            rest = joined.subarray(end);
            const isProgress = hasIds ? numbered > 0 : end > 0;
            uselessBytes = isProgress ? rest.length : uselessBytes + chunk.length;
            return { bytes: joined.subarray(0, end), lastId: numbered > 0 ? lastId : undefined, foreign };
        },
        readIncomplete: () => rest,
        countUselessBytes: () => uselessBytes,
    };
}

// returns the position after the empty line that ends the event at `start`; 0 when it isn't complete
function findEventEnd(bytes: Buffer, start: number): number {
    for (let index = bytes.indexOf(lineFeed, start); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
        const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
        if (before >= start && bytes[before] === lineFeed) {
            return index + 1;
        }
    }
    return 0;
}

function parseEvent(text: string): ParsedEvent {
    const lines = text.split("\n").map(line => line.endsWith("\r") ? line.slice(0, -1) : line).filter(line => line);
    const ids = lines.flatMap(line => idLinePattern.exec(line)?.[1] ?? []);
    return {
        id: ids.length > 0 ? Number(ids.at(-1)) : undefined,
        isComment: lines.every(line => line.startsWith(":")),
        isEvent: lines.every(line => eventLinePattern.test(line) && !responseHeaderPattern.test(line)),
    };
}
