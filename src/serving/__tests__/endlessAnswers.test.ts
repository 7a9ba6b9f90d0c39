import { expect } from "chai";
import fc from "fast-check";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { resetSocket } from "../../shared/index.js";
import type { ReadTurns } from "../readTurns.js";
import { type AttemptFault, createServerConnections, type ServerConnections } from "../serverConnections.js";
import type { BackendServer, HeaderCodec } from "../types.js";

const codec: HeaderCodec = {
    decodeRequest: () => {
        throw new Error("not used here");
    },
    encodeForwardedHeaders: () => [],
    encodeRefusalHeaders: () => [],
    decodeResponseHead: (status, rawHeaders) => ({
        status,
        attemptId: "7",
        isSigned: true,
        isNotRun: false,
        load: undefined,
        requestLimit: undefined,
        retryAfter: undefined,
        isLeaving: false,
        isEventStream: false,
        contentLength: undefined,
        passedHeaders: rawHeaders,
    }),
};
const head = "HTTP/1.1 200 OK\r\n";
const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
/** Bytes that a server may send in vain: a mebibyte, and what is on its way in the buffers of both sides. */
const uselessBytesBound = 1_048_576 + 8 * 1_048_576;
/** Bytes that bring no answer forward, by the place at which they come. */
const vainPlaces: readonly { readonly start: string; readonly units: readonly string[]; }[] = [
    { start: "", units: ["\r\n"] },
    { start: "HTTP/1.1 200 ", units: ["x", "OK "] },
    { start: `${head}A:`, units: [" ", "\t", "x", "a:\r\n"] },
    { start: "", units: ["HTTP/1.1 102 -\r\n\r\n", "HTTP/1.1 103 -\r\nA: b\r\n\r\n"] },
    { start: chunked, units: ["0", "zz\r\n"] },
    { start: `${chunked}1;`, units: ["x", "a=b;"] },
    { start: `${chunked}0\r\n`, units: ["a:\r\n", "a: b\r\n"] },
];
const runCount = Number(process.env["ENDLESS_RUNS"] ?? 30);

interface Seen {
    readonly end: "end" | AttemptFault;
    /** Sizes of the pieces of the body that were delivered. */
    readonly pieces: readonly number[];
}

interface Rig {
    readonly connections: ServerConnections;
    /** Bytes that the server has written to all connections. */
    readonly countSent: () => number;
    readonly send: (isPaused?: boolean) => Promise<Seen>;
    /** Sends a request whose answer is drained from its head on. */
    readonly sendDrained: () => void;
    readonly close: () => void;
}

async function createRig(
    respond: (socket: Socket, count: (bytes: number) => void) => void,
    turns?: ReadTurns,
): Promise<Rig> {
    let sent = 0;
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => respond(socket, bytes => sent += bytes));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const backend: BackendServer = {
        id: "i-1",
        startedAt: 1,
        service: "s",
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 1,
        models: [],
    };
    const connections = createServerConnections({
        headers: codec,
        findConnectionLimit: () => turns ? 1 : 8,
        mayReceive: () => true,
        loop: { isLate: () => false, handleWaiting: () => Promise.resolve() },
        onLeaving: () => undefined,
        idleTimeout: 1_000,
        ...turns && { turns },
    });
    const request = {
        server: backend,
        attemptId: "7",
        method: "POST",
        target: "/",
        headers: [],
        body: undefined,
    };
    return {
        connections,
        sendDrained: () => {
            const attempt = connections.send(request, {
                onHead: () => attempt.drain?.(60_000),
                onData: () => undefined,
                onEnd: () => undefined,
                onFault: () => undefined,
            });
        },
        countSent: () => sent,
        send: (isPaused = false) =>
            new Promise(resolve => {
                const pieces: number[] = [];
                const attempt = connections.send(request, {
                    onHead: () => undefined,
                    onData: chunk => {
                        pieces.push(chunk.length);
                        if (isPaused) {
                            attempt.pause();
                            setTimeout(attempt.resume, 100);
                        }
                    },
                    onEnd: () => resolve({ end: "end", pieces }),
                    onFault: end => resolve({ end, pieces }),
                });
            }),
        close: () => {
            connections.close();
            server.close();
        },
    };
}

async function sendTo(
    respond: (socket: Socket, count: (bytes: number) => void) => void,
    isPaused = false,
): Promise<Seen & { readonly sent: number; }> {
    const rig = await createRig(respond);
    const seen = await rig.send(isPaused);
    rig.close();
    return { ...seen, sent: rig.countSent() };
}

function writeWithoutEnd(socket: Socket, unit: Buffer, count: (bytes: number) => void): void {
    const send = (): void => {
        if (!socket.destroyed) {
            count(unit.length);
            socket.write(unit) ? setImmediate(send) : socket.once("drain", send);
        }
    };
    send();
}

describe("answers of servers that send without end", () => {
    // guards against an end of the process when a server resets an answer without a length that its client reads slowly
    it("are broken when the server resets them while they are paused", async () => {
        const seen = await sendTo(socket => {
            socket.write(`${head}\r\nabc`);
            setTimeout(() => socket.write("def"), 20);
            setTimeout(() => resetSocket(socket), 50);
        }, true);
        expect(seen.end).to.include({ kind: "broken" });
    });

    // guards against an answer that is lost or ends early because its client reads slowly
    it("are whole when they end while they are paused", async () => {
        const seen = await sendTo(socket => socket.end(`${chunked}3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n`), true);
        expect([seen.end, seen.pieces.reduce((sum, each) => sum + each, 0)]).to.deep.equal(["end", 6]);
    });

    // guards against memory that fills with an object for each byte
    it("are delivered in few pieces, however small their chunks are", async () => {
        const count = 100_000;
        const seen = await sendTo(socket => socket.end(`${chunked}${"1\r\na\r\n".repeat(count)}0\r\n\r\n`));
        expect([seen.end, seen.pieces.reduce((sum, each) => sum + each, 0)]).to.deep.equal(["end", count]);
        expect(seen.pieces.length).to.be.at.most(count / 100);
    });

    const noAnswers: readonly (readonly [string, string])[] = [
        ["a head that is too long", `${head}A: ${"x".repeat(70_000)}`],
        ["bytes that are not HTTP", "\0\0\0"],
        ["an answer to nothing", "HTTP/1.1 100 Continue\r\n\r\n"],
        ["a change of the protocol", "HTTP/1.1 101 -\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"],
        ["two lengths", `${head}Content-Length: 2\r\nContent-Length: 3\r\n\r\nok`],
        ["a chunk without a size", `${chunked}zz\r\n`],
        ["interim answers", "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100)],
    ];
    for (const [name, bytes] of noAnswers) {
        // guards against requests that are quarantined because their servers send bytes that are no answer
        it(`are no fault of the request when they are ${name}`, async () => {
            const open = await sendTo(socket => socket.write(bytes));
            const closed = await sendTo(socket => socket.end(bytes));
            [open, closed].forEach(({ end }) => expect(end).to.include({ kind: "broken", isNoAnswer: true }));
        });
    }

    const early: readonly (readonly [string, string])[] = [
        ["before a head", ""],
        ["in a head", `${head}Id`],
        ["in a body with a length", `${head}Content-Length: 9\r\n\r\nabc`],
        ["in a body with a length on a closing connection", `${head}Connection: close\r\nContent-Length: 9\r\n\r\nabc`],
        ["in chunks", `${chunked}3\r\nabc\r\n`],
        [
            "in chunks on a closing connection",
            `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`,
        ],
    ];
    for (const [name, bytes] of early) {
        // guards against requests that end their servers one after the other, as the ends are taken for wrong bytes
        it(`are the end of the server when they end ${name}`, async () => {
            const closed = await sendTo(socket => socket.end(bytes));
            const reset = await sendTo(socket => {
                socket.write(bytes);
                setTimeout(() => resetSocket(socket), 30);
            });
            const faults = [closed, reset].map(({ end }) => end as AttemptFault);
            expect(faults.map(({ kind }) => kind)).to.deep.equal(["broken", "broken"]);
            expect(faults.map(fault => fault.kind === "broken" && fault.isNoAnswer === true)).to.deep.equal([
                false,
                false,
            ]);
        });
    }

    // guards against bytes that bring no answer and run until the deadline, whatever they are and however they come
    it("are ended as the server's fault when they bring no answer forward", async function() {
        this.timeout(20_000 + runCount * 2_000);
        const form = fc.record({
            place: fc.constantFrom(...vainPlaces),
            unit: fc.nat(),
            unitsPerWrite: fc.constantFrom(1, 100, 10_000, 60_000),
            pause: fc.constantFrom(0, 0, 1),
            isPaused: fc.boolean(),
        });
        await fc.assert(
            fc.asyncProperty(form, async ({ place: { start, units }, unit, unitsPerWrite, pause, isPaused }) => {
                const bytes = Buffer.from(units[unit % units.length]!.repeat(unitsPerWrite), "latin1");
                // what comes slowly would take long to be too much
                const isSlow = bytes.length < 1_000;
                const rig = await createRig((socket, count) => {
                    socket.write(start);
                    const piece = isSlow ? Buffer.concat(Array.from({ length: 1_000 }, () => bytes)) : bytes;
                    setTimeout(() => writeWithoutEnd(socket, piece, count), pause);
                });
                const { end } = await rig.send(isPaused);
                rig.close();
                expect(end).to.include({ kind: "broken", isNoAnswer: true });
                expect(rig.countSent()).to.be.below(uselessBytesBound);
            }),
            { numRuns: runCount, seed: Number(process.env["ENDLESS_SEED"] ?? 1) },
        );
    });

    // guards against an answer without end that nobody wants, which is read until the process ends
    it("are given up when nobody wants them, and a short rest doesn't cost the connection", async () => {
        let requests = 0;
        const opened = new Set<Socket>();
        const rig = await createRig((socket, count) => {
            requests++;
            opened.add(socket);
            socket.write(requests > 2 ? `${head}\r\n` : `${head}Content-Length: 1\r\n\r\n`);
            requests > 2
                ? writeWithoutEnd(socket, Buffer.alloc(65_536), count)
                : setTimeout(() => socket.write("x"), 20);
        });
        const drainAnswer = async (): Promise<void> => {
            rig.sendDrained();
            await new Promise(resolve => setTimeout(resolve, 200));
        };
        await drainAnswer();
        await drainAnswer();
        expect(opened.size).to.equal(1);
        await drainAnswer();
        expect([...opened].map(({ destroyed }) => destroyed)).to.deep.equal([true]);
        expect(rig.countSent()).to.be.below(uselessBytesBound);
        rig.close();
    });

    // guards against bytes after an answer that wait for their turn, and are then taken for the answer to the next request
    it("are not taken for the answer to the next request", async () => {
        const createAnswer = (body: string): string => `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
        const first = createAnswer("x".repeat(16_384 - createAnswer("x".repeat(10_000)).length + 10_000));
        let requests = 0;
        // a connection may go on once in 20 ms
        let mayRead = true;
        const rig = await createRig(socket => {
            requests++;
            socket.write(requests === 1 ? `${first}${createAnswer("wrong")}` : createAnswer("right again"));
        }, {
            addReader: read => ({
                begin: () => {
                    const isGranted = mayRead;
                    mayRead = false;
                    if (!isGranted) {
                        setTimeout(() => {
                            mayRead = true;
                            read();
                        }, 20);
                    }
                    return isGranted;
                },
                end: () => true,
                remove: () => true,
            }),
        });
        const seen = [await rig.send(), await rig.send()];
        rig.close();
        expect(seen.map(({ pieces }) => pieces.reduce((sum, each) => sum + each, 0)))
            .to.deep.equal([first.length - first.indexOf("x"), "right again".length]);
    });

    // guards against a server whose answer without end holds up the answers of others
    it("leave time for the answers on other connections", async () => {
        const sound = await createRig(socket => socket.write(`${head}Content-Length: 3\r\n\r\nabc`));
        const faulty = await createRig((socket, count) => {
            socket.write(chunked);
            writeWithoutEnd(socket, Buffer.from("1\r\na\r\n".repeat(10_000)), count);
        });
        const endless = Array.from({ length: 8 }, () => faulty.send());
        const answers: Seen[] = [];
        for (let count = 0; count < 20; count++) {
            answers.push(await sound.send());
        }
        faulty.close();
        sound.close();
        await Promise.all(endless);
        expect(answers.map(({ end }) => end)).to.deep.equal(answers.map(() => "end"));
    });
});
