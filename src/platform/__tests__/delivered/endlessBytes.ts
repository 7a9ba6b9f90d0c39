/**
 * Bytes without an end that a faulty server sends in a head, in a body or after an answer.
 */

/** What a faulty server writes to a connection with one request, until it is closed. */
export interface EndlessBytes {
    /** Route of the requests that get them. */
    readonly route: "plain" | "stream";
    /** Bytes before, the text of latin-1; `ID` stands for the id of the attempt, `SERVER` for that of the server. */
    readonly start: string;
    /** Bytes that come again and again. */
    readonly unit: string;
    /** Whether each unit comes in a packet of its own, where it can. @default not */
    readonly isSlow?: boolean;
    /** Bytes after which nothing more comes. @default without end */
    readonly limit?: number;
    /** Time between the first requests of two clients, in milliseconds. @default 0 */
    readonly startInterval?: number;
    /** Least time for which the clients send, in milliseconds. @default none */
    readonly leastDuration?: number;
    /** Requests at a time. @default as many as of the other kinds */
    readonly clients?: number;
    /** Whether `N` in the unit stands for its number. @default not */
    readonly isCounted?: boolean;
}

const ownHeaders = "X-Oriolehatch-Attempt-Id: ID\r\nX-Oriolehatch-Instance-Id: SERVER\r\n" +
    "X-Oriolehatch-Response-Signature: sig.ID\r\n";
const head = `HTTP/1.1 200 OK\r\n${ownHeaders}`;
const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const events = `${head}Content-Type: text/event-stream\r\n\r\n`;
const largePiece = "x".repeat(65_536);

/** The kinds by name. */
export const endlessBytes: Readonly<Record<string, EndlessBytes>> = {
    "interim answers 102": { route: "plain", start: "", unit: "HTTP/1.1 102 Processing\r\n\r\n" },
    "interim answers 103": { route: "plain", start: "", unit: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" },
    headers: { route: "plain", start: head, unit: "a:\r\n" },
    "a name of a header": { route: "plain", start: head, unit: "x" },
    "a value of a header": { route: "plain", start: `${head}X-A: `, unit: "x" },
    "spaces before a value": { route: "plain", start: `${head}X-A:`, unit: " " },
    "a reason phrase": { route: "plain", start: "HTTP/1.1 200 ", unit: "OK " },
    "blank lines before a head": { route: "plain", start: "", unit: "\r\n" },
    "zero bytes": { route: "plain", start: "", unit: "\0" },
    "chunks of one byte": { route: "plain", start: chunked, unit: "1\r\na\r\n" },
    "chunks of one byte in packets": { route: "plain", start: chunked, unit: "1\r\na\r\n", isSlow: true },
    "an extension of a chunk": { route: "plain", start: `${chunked}1;`, unit: "x" },
    "zeros before a size": { route: "plain", start: chunked, unit: "0" },
    trailers: { route: "plain", start: `${chunked}0\r\n`, unit: "a:\r\n" },
    "a body": { route: "plain", start: `${head}\r\n`, unit: largePiece },
    "a body in packets": { route: "plain", start: `${head}\r\n`, unit: "x", isSlow: true },
    "blank lines after an answer": { route: "plain", start: `${head}Content-Length: 0\r\n\r\n`, unit: "\r\n" },
    "a body after a refusal": {
        route: "plain",
        start: `HTTP/1.1 421 -\r\n${ownHeaders}\r\n`,
        unit: largePiece,
    },
    comments: { route: "stream", start: events, unit: ":\n\n" },
    events: { route: "stream", start: events, unit: "id: N\ndata: x\n\n", isCounted: true },
    "events in chunks of one byte": {
        route: "stream",
        start: `${events.slice(0, -2)}Transfer-Encoding: chunked\r\n\r\n`,
        unit: "1\r\nd\r\n",
    },
    "one event": { route: "stream", start: `${events}data: `, unit: "x" },
    "one event in packets": { route: "stream", start: `${events}data: `, unit: "x", isSlow: true },
    "many events that stay open": {
        route: "stream",
        start: `${events}data: `,
        unit: largePiece,
        limit: 15 * largePiece.length,
        clients: 256,
        startInterval: 16,
        leastDuration: 5_000,
    },
    "lines of one event": { route: "stream", start: events, unit: "a\n" },
    "lines of one event in packets": { route: "stream", start: events, unit: "a\n", isSlow: true },
};
