import { expect } from "chai";
import fc from "fast-check";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createAnswerMemory } from "../../serving/answerMemory.js";
import type { AttemptHandlers } from "../../serving/serverConnections.js";
import type { BackendServer, ServerResponseHead } from "../../serving/types.js";
import { createSystemClock } from "../../shared/index.js";
import { startDetached } from "../../testing/index.js";
import { createForwardService, type ForwardService } from "../forwardService.js";

const server: BackendServer = {
    id: "s-0",
    startedAt: 1,
    service: "chat",
    address: "127.0.0.1:1",
    failureDomain: "d",
    isDraining: false,
    softwareVersion: "v1",
    slots: 8,
    models: [],
};
const head: ServerResponseHead = {
    status: 200,
    attemptId: "a",
    isSigned: true,
    isNotRun: false,
    load: undefined,
    requestLimit: undefined,
    retryAfter: undefined,
    isLeaving: false,
    isEventStream: true,
    contentLength: undefined,
    passedHeaders: [],
};
const mebibyte = 1_048_576;
const memoryLimit = 4 * mebibyte;
const attemptCount = 64;
/** Objects of an attempt beside what it holds, such as its callbacks: at most half of the bytes at which it is held back. */
const otherBytes = attemptCount * 32_768;
const readBytes = 65_536;
const readsWithoutEnd = 16;

/** How a server without end sends, and how the other instance fetches. */
interface Form {
    readonly chunkBytes: number;
    /** Size of the read of which each chunk is a part, in chunks. */
    readonly chunksPerRead: number;
    readonly headBytes: number;
    /** Whether the other instance asks once, after the first bytes, and then never again. */
    readonly isAskedOnce: boolean;
    /** Memory that own answers hold, which don't give up. */
    readonly ownBytes: number;
}

const form: fc.Arbitrary<Form> = fc.record({
    chunkBytes: fc.constantFrom(16, 500, 4_095, 4_096, 40_000, readBytes),
    chunksPerRead: fc.constantFrom(1, 2, 16),
    headBytes: fc.constantFrom(0, 16_384),
    isAskedOnce: fc.boolean(),
    ownBytes: fc.constantFrom(0, mebibyte),
});

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

// buffers are freed beside the program, after a collection
async function measureMemory(): Promise<number> {
    for (let collections = 0; collections < 3; collections++) {
        collectGarbage();
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

// sends until the attempt is held back or ended
function sendWithoutEnd(handlers: AttemptHandlers, { chunkBytes, chunksPerRead }: Form, isHeld: () => boolean) {
    for (let reads = 0; reads < readsWithoutEnd; reads++) {
        for (let sent = 0; sent < readBytes && !isHeld(); sent += chunkBytes) {
            handlers.onData(Buffer.alloc(chunkBytes * chunksPerRead).subarray(0, chunkBytes));
        }
    }
}

interface Play {
    readonly service: ForwardService;
    readonly grown: number;
    readonly counted: number;
    readonly largestCount: number;
}

async function runPlay(given: Form): Promise<Play> {
    const memory = createAnswerMemory(memoryLimit, () => undefined);
    const own = memory.open({ giveUp: () => undefined, pause: () => undefined, resume: () => undefined });
    const held = new Set<AttemptHandlers>();
    const arrived: AttemptHandlers[] = [];
    const service = createForwardService({
        isStopping: () => false,
        clock: createSystemClock(),
        connections: {
            send: (request, handlers) => {
                arrived.push(handlers);
                return {
                    abort: () => held.add(handlers),
                    pause: () => held.add(handlers),
                    resume: () => held.delete(handlers),
                };
            },
        },
        findServer: () => server,
        isReaching: () => true,
        answerMemory: memory,
    });
    own.set(given.ownBytes);
    const before = await measureMemory();
    let largestCount = 0;
    for (let id = 0; id < attemptCount; id++) {
        const started = service.start({
            kind: "start",
            id: `r-${id}`,
            run: "s-0/1",
            method: "GET",
            target: "/",
            headers: [],
        });
        const handlers = arrived.at(-1)!;
        handlers.onHead({ ...head, passedHeaders: ["A", Buffer.alloc(given.headBytes, 65).toString("latin1")] });
        await started;
        const send = (): void => sendWithoutEnd(handlers, given, () => held.has(handlers));
        send();
        if (given.isAskedOnce) {
            startDetached(service.read(`r-${id}`));
            send();
        }
        largestCount = Math.max(largestCount, memory.countBytes());
    }
    const grown = await measureMemory() - before;
    return { service, grown, counted: memory.countBytes() - given.ownBytes, largestCount };
}

describe("memory of attempts that are sent for other instances", () => {
    // guards against a process that runs out of memory by what it keeps for instances that don't fetch it (LOST)
    it("is part of the bound of all answers, whatever the answers are made of, and is what the process takes", async function() {
        this.timeout(120_000);
        await fc.assert(
            fc.asyncProperty(form, async given => {
                const { grown, counted, largestCount, service } = await runPlay(given);
                expect(largestCount).to.be.at.most(memoryLimit);
                expect(grown).to.be.at.most(counted + otherBytes);
                expect(service.countAttempts()).to.be.within(1, attemptCount);
            }),
            {
                // one that isn't random: the smallest chunks, which take long
                examples: [[{ chunkBytes: 1, chunksPerRead: 16, headBytes: 0, isAskedOnce: false, ownBytes: 0 }]],
                numRuns: Number(process.env["MEMORY_RUNS"] ?? 16),
                seed: Number(process.env["MEMORY_SEED"] ?? 1),
            },
        );
    });
});
