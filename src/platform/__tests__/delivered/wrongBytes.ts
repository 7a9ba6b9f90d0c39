/**
 * Bytes that a faulty server sends in place of an answer, beside it or after it.
 */

/** What a faulty server writes to a connection with one request. */
export interface WrongBytes {
    /** Bytes at once; the text of latin-1. */
    readonly head: string;
    /** Bytes a moment later, when the next request may be on its way. */
    readonly tail?: string;
    /** Whether the server closes the connection after them. */
    readonly closes?: boolean;
}

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const endOfHead = "\r\n\r\n";
const settingsFrame = "\0\0\0\x04\0\0\0\0\0";
const nulCount = 65_536;
const floodCount = 2_000;

// the same bytes in each run
function createNoise(length: number): string {
    let state = 1;
    return Array.from({ length }, () => {
        state = state * 48_271 % 2_147_483_647;
        return String.fromCharCode(state % 256);
    }).join("");
}

/** The kinds by name; none of them is an answer to a request. */
export const wrongBytes: Readonly<Record<string, WrongBytes>> = {
    "status 099": { head: `HTTP/1.1 099 -${endOfHead}` },
    "status 000": { head: `HTTP/1.1 000 -${endOfHead}` },
    "status 101": { head: `HTTP/1.1 101 Switching Protocols${endOfHead}` },
    "status 101 with an upgrade": {
        head: `HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: websocket${endOfHead}\x81\x02ok`,
    },
    "status 100": { head: `HTTP/1.1 100 Continue${endOfHead}` },
    "status 100 many times": { head: `HTTP/1.1 100 Continue${endOfHead}`.repeat(floodCount) },
    "status 103 many times": { head: `HTTP/1.1 103 Early Hints\r\nLink: x${endOfHead}`.repeat(floodCount) },
    "status 103 with a body": { head: `HTTP/1.1 103 Early Hints\r\nContent-Length: 2${endOfHead}ok` },
    "status 204 with a body": { head: `HTTP/1.1 204 No Content\r\nContent-Length: 2${endOfHead}ok` },
    "status 304 with a body": { head: `HTTP/1.1 304 Not Modified\r\nContent-Length: 2${endOfHead}ok` },
    "status of two digits": { head: `HTTP/1.1 20 OK${endOfHead}` },
    "status of four digits": { head: `HTTP/1.1 2000 OK${endOfHead}` },
    "status 999": { head: `HTTP/1.1 999 -\r\nContent-Length: 0${endOfHead}` },
    "version 0.9": { head: `HTTP/0.9 200 OK${endOfHead}` },
    "version 2.0": { head: `HTTP/2.0 200 OK${endOfHead}` },
    "another protocol's name": { head: `ICY 200 OK${endOfHead}` },
    "length below zero": { head: `HTTP/1.1 200 OK\r\nContent-Length: -1${endOfHead}` },
    "length that is no number": { head: `HTTP/1.1 200 OK\r\nContent-Length: two${endOfHead}ok` },
    "length beyond 64 bits": { head: `HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999${endOfHead}ok` },
    "two lengths": { head: `HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3${endOfHead}ok` },
    "length and chunks": {
        head: `HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked${endOfHead}2\r\nok\r\n0\r\n\r\n`,
    },
    "shorter than its length": { head: `HTTP/1.1 200 OK\r\nContent-Length: 9${endOfHead}ok`, closes: true },
    "chunk without a size": { head: `${chunked}zz\r\nok\r\n0\r\n\r\n` },
    "chunk below zero": { head: `${chunked}-2\r\nok\r\n0\r\n\r\n` },
    "chunk beyond 64 bits": { head: `${chunked}fffffffffffffffff\r\nok` },
    "chunk longer than its size": { head: `${chunked}1\r\nok\r\n0\r\n\r\n` },
    "chunk with a long extension": { head: `${chunked}2;${"x".repeat(nulCount)}\r\nok\r\n0\r\n\r\n` },
    "chunks without an end": { head: `${chunked}2\r\nok\r\n`, closes: true },
    "trailers without an end": {
        head: `${chunked}2\r\nok\r\n0\r\n${"X-Trailer: x\r\n".repeat(floodCount)}`,
        closes: true,
    },
    "NUL bytes": { head: "\0".repeat(nulCount) },
    "NUL byte in a header": { head: `HTTP/1.1 200 OK\r\nX-Name: a\0b${endOfHead}` },
    "header without a colon": { head: `HTTP/1.1 200 OK\r\nname${endOfHead}` },
    "header without a name": { head: `HTTP/1.1 200 OK\r\n: value${endOfHead}` },
    "many headers": { head: `HTTP/1.1 200 OK\r\n${"X-Name: value\r\n".repeat(floodCount * 10)}\r\n` },
    "many headers without values": { head: `HTTP/1.1 200 OK\r\n${"a:\r\n".repeat(floodCount * 100)}\r\n` },
    "a long header": { head: `HTTP/1.1 200 OK\r\nX-Name: ${"x".repeat(1_048_576)}${endOfHead}` },
    "many short headers": { head: `HTTP/1.1 200 OK\r\n${"a:\r\n".repeat(floodCount)}\r\n`, closes: true },
    "lines without a carriage return": { head: "HTTP/1.1 200 OK\nContent-Length: 2\n\nok" },
    "preface of HTTP/2": { head: `PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n${settingsFrame}` },
    "settings of HTTP/2": { head: settingsFrame },
    "record of TLS": { head: "\x15\x03\x01\0\x02\x02\x28", closes: true },
    noise: { head: createNoise(nulCount) },
    "noise after a head": { head: `HTTP/1.1 200 OK${endOfHead}${createNoise(nulCount)}`, closes: true },
    "half a head": { head: "HTTP/1.1 200 OK\r\nContent-Le", closes: true },
    nothing: { head: "", closes: true },
    "noise after an answer": { head: `${answer}${createNoise(1_000)}` },
    "a second answer": { head: `${answer}${answer}` },
    "a second answer later": { head: answer, tail: answer },
    "status 099 after an answer": { head: `${answer}HTTP/1.1 099 -${endOfHead}` },
    "status 099 later": { head: answer, tail: `HTTP/1.1 099 -${endOfHead}` },
    "status 101 later": { head: answer, tail: `HTTP/1.1 101 Switching Protocols${endOfHead}` },
    "status 100 later": { head: answer, tail: `HTTP/1.1 100 Continue${endOfHead}` },
    "NUL bytes later": { head: answer, tail: "\0".repeat(nulCount) },
};
