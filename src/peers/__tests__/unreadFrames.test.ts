import { expect } from "chai";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { WebSocket } from "ws";
import { createAnswerMemory, type HeldMemory, type MemoryHolder } from "../../serving/answerMemory.js";
import { createSystemClock } from "../../shared/index.js";
import { startDetached } from "../../testing/index.js";
import { peerProtocolVersion } from "../constants.js";
import { createFrameCodec, createPeerTask } from "../index.js";

const mebibyte = 1_048_576;
const memoryLimit = 16 * mebibyte;
const largeBytes = 100_000;
/** Answers of which one connection's take less than the bound, beside what the network takes, by their size. */
const fewAnswers = [[largeBytes, 140], [2_000, 5_000], [700, 9_000]] as const;
const manyAnswers = 320;
const turnMilliseconds = 20;
const longestTurns = 1_000;
/** Bytes for which the process has other uses meanwhile, such as the room of an encoder. */
const otherBytes = mebibyte;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

function waitFor(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

// an instance that asks on and reads nothing, as one that stands still after it has asked
async function connectWithoutReading(address: string, name: string, requestCount: number): Promise<WebSocket> {
    const socket = new WebSocket(`ws://${address}`);
    socket.on("error", () => undefined);
    const codec = createFrameCodec();
    await new Promise(resolve => socket.once("open", resolve));
    socket.send(codec.encode({ kind: "hello", version: peerProtocolVersion, from: name, to: "asked" }));
    await new Promise(resolve => socket.once("message", resolve));
    socket.pause();
    for (let id = 1; id <= requestCount; id++) {
        socket.send(codec.encode({ kind: "request", id, topic: "forwarding", body: { kind: "read", id: `${id}` } }));
    }
    return socket;
}

async function measureMemory(): Promise<number> {
    for (let collections = 0; collections < 3; collections++) {
        collectGarbage();
        await waitFor(5);
    }
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

interface Observed {
    readonly answered: number;
    readonly connections: number;
    /** Bytes counted at the most, and at the end with the connections that are left. */
    readonly most: number;
    readonly counted: number;
    /** Memory that the process took more at the end. */
    readonly grown: number;
    /** Bytes counted after the connections had closed. */
    readonly rest: number;
}

async function collectUnread(names: readonly string[], requestCount: number, responseBytes: number): Promise<Observed> {
    const memory = createAnswerMemory(memoryLimit, () => undefined);
    let most = 0;
    const open = (holder: MemoryHolder): HeldMemory => {
        const held = memory.open(holder);
        const set = (bytes: number): void => {
            held.set(bytes);
            most = Math.max(most, memory.countBytes());
        };
        return { ...held, set };
    };
    const clock = createSystemClock();
    const asked = createPeerTask({ self: "asked", findAddress: () => undefined, clock, memory: { open } });
    const address = await asked.listen();
    const stopping = new AbortController();
    startDetached(asked.run(stopping.signal));
    let answered = 0;
    asked.network.handle("forwarding", async () => {
        answered++;
        return { kind: "events", events: [{ kind: "data", chunk: Buffer.alloc(responseBytes) }] };
    });
    const before = await measureMemory();
    const sockets = await Promise.all(names.map(name => connectWithoutReading(address, name, requestCount)));
    const isDone = (): boolean => answered === names.length * requestCount || asked.readStatus().connections === 0;
    for (let turns = 0; turns < longestTurns && !isDone(); turns++) {
        await waitFor(turnMilliseconds);
    }
    // what is answered last is written or closed after that
    await waitFor(300);
    const grown = await measureMemory() - before;
    const counted = memory.countBytes();
    const { connections } = asked.readStatus();
    sockets.forEach(socket => socket.terminate());
    stopping.abort();
    await waitFor(50);
    return { answered, connections, most, counted, grown, rest: memory.countBytes() };
}

describe("answers to instances that don't read", () => {
    // guards against a process that runs out of memory by what it has to send to other instances (LOST)
    it("are part of the bound of all answers, and the connection on which most waits is ended at it", async () => {
        const { answered, connections, most, rest } = await collectUnread(["first", "second"], manyAnswers, largeBytes);
        expect(answered).to.be.above(memoryLimit / largeBytes);
        expect(most).to.be.within(memoryLimit / 2, memoryLimit);
        expect([connections, rest]).to.deep.equal([0, 0]);
    });

    // guards against a second connection that is ended while the first one's memory is on its way back
    it("have one connection ended where that is enough", async () => {
        const { connections, counted } = await collectUnread(["first", "second"], 140, largeBytes);
        expect([connections, counted > mebibyte]).to.deep.equal([1, true]);
    });

    for (const [responseBytes, count] of fewAnswers) {
        // guards against frames that keep more memory than is counted, as parts of larger buffers or by their objects
        it(`take the memory that is counted, at most, when they have ${responseBytes} bytes`, async () => {
            await collectUnread(["first"], 1, responseBytes);
            const { connections, counted, grown } = await collectUnread(["first"], count, responseBytes);
            expect([connections, counted > mebibyte]).to.deep.equal([1, true]);
            expect(grown).to.be.at.most(counted + otherBytes);
        });
    }
});
