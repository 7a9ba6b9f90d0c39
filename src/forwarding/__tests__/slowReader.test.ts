import { expect } from "chai";
import type { PeerNetwork } from "../../peers/index.js";
import type { AttemptFault, AttemptHandlers } from "../../serving/serverConnections.js";
import type { BackendServer, ServerResponseHead } from "../../serving/types.js";
import { type Milliseconds, wrapError, wrapValue } from "../../shared/index.js";
import { createHistory, createVirtualClock, type History, startDetached } from "../../testing/index.js";
import { sendThroughInstance } from "../forwardClient.js";
import { createForwardService } from "../forwardService.js";
import { type ForwardingMessage, forwardingMessageSchema } from "../messages.js";

const seeds = Array.from({ length: 10 }, (unused, index) => index + 1);
const server = { id: "s-0", startedAt: 1, service: "llm" } as BackendServer;
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
const eventInterval = 40;
/** Time after the last question in which the carrying instance ends an attempt, with its upkeep. */
const abandonedWithin = 1_600;
const upkeepInterval = 50;

interface Frame {
    readonly id?: number;
    readonly body: ForwardingMessage | undefined;
}

interface PlayOptions {
    readonly seed: number;
    readonly eventCount: number;
    /** Whether the carrying instance is of the build before, which refuses the message that keeps an attempt. */
    readonly isHelperOld?: boolean;
    readonly deadlineAt?: Milliseconds;
    /** Whether a message without an answer is lost, by its number from 0. */
    readonly isLost?: (number: number) => boolean;
}

// one server whose events come at an interval, and wait while it is held back
function createServer(history: History<Frame>, eventCount: number) {
    const state = { sent: 0, isPaused: false, abortedAt: undefined as Milliseconds | undefined };
    const send = (request: unknown, handlers: AttemptHandlers) => {
        const sendNext = (): void => {
            if (state.abortedAt !== undefined) {
                return;
            }
            if (!state.isPaused && state.sent === eventCount) {
                handlers.onEnd();
                return;
            }
            if (!state.isPaused) {
                state.sent++;
                handlers.onData(Buffer.from(`id: ${state.sent}\ndata: ${"x".repeat(4_000)}\n\n`));
            }
            history.schedule(eventInterval, sendNext);
        };
        history.schedule(0, () => {
            handlers.onHead(head);
            sendNext();
        });
        return {
            abort: () => {
                state.abortedAt ??= history.now();
            },
            pause: () => state.isPaused = true,
            resume: () => state.isPaused = false,
        };
    };
    return { state, send };
}

function createPlay({ seed, eventCount, isHelperOld = false, deadlineAt, isLost = () => false }: PlayOptions) {
    const history = createHistory<Frame>({ seed });
    const createClock = (node: string) =>
        createVirtualClock(history.now, (delay, action) => history.scheduleOn(node, delay, action));
    const origin = createServer(history, eventCount);
    const service = createForwardService({
        clock: createClock("helper"),
        connections: origin,
        findServer: () => server,
        isReaching: () => true,
        isStopping: () => false,
    });
    const expireRegularly = (): void => {
        service.expire(history.now());
        history.scheduleOn("helper", upkeepInterval, expireRegularly);
    };
    history.scheduleOn("helper", 0, expireRegularly);
    const kept: Milliseconds[] = [];
    let refused = 0;
    const handle = async (body: ForwardingMessage): Promise<ForwardingMessage | undefined> => {
        switch (body.kind) {
            case "start":
                return service.start(body);
            case "read":
                return service.read(body.id);
            case "abort":
                service.abort(body.id);
                return { kind: "aborted" };
            case "keep":
                if (isHelperOld) {
                    refused++;
                }
                else {
                    service.keep(body.id);
                }
                return undefined;
            case "askReach":
            case "reach":
            case "aborted":
            case "events":
            case "refused":
                return undefined;
        }
    };
    const waiting = new Map<number, (body: ForwardingMessage | undefined) => void>();
    history.setHandler("helper", (from, { id, body }) =>
        startDetached(
            handle(forwardingMessageSchema.parse(body)).then(answer =>
                id !== undefined && history.send("helper", from, { id, body: answer })
            ),
        ));
    history.setHandler("asking", (from, { id, body }) => waiting.get(id!)?.(body));
    const clock = createClock("asking");
    let requests = 0;
    const network: PeerNetwork = {
        self: "asking",
        handle: () => undefined,
        send: (to, topic, body) => {
            kept.push(history.now());
            if (!isLost(kept.length - 1)) {
                history.send("asking", to, { body: body as ForwardingMessage });
            }
        },
        request: async (to, topic, body, timeout) => {
            const id = ++requests;
            const answered = new Promise<ForwardingMessage | undefined>(resolve => waiting.set(id, resolve));
            history.send("asking", to, { id, body: body as ForwardingMessage });
            const answer = await Promise.race([answered, clock.sleep(timeout)]);
            return answer ? wrapValue(answer as never) : wrapError({ kind: "timeout" });
        },
    };
    const seen = { text: "", endedAt: undefined as Milliseconds | undefined, faults: [] as AttemptFault[] };
    const way = { network, helper: "helper", clock };
    const request = {
        server,
        attemptId: "a",
        method: "POST",
        target: "/x",
        headers: [],
        body: undefined,
        ...deadlineAt === undefined ? {} : { deadlineAt },
    };
    const attempt = sendThroughInstance(way, "r-1", request, {
        onHead: () => undefined,
        onData: chunk => seen.text += chunk.toString(),
        onEnd: () => seen.endedAt = history.now(),
        onFault: fault => seen.faults.push(fault),
    });
    return {
        history,
        attempt,
        seen,
        kept,
        server: origin.state,
        countCarried: service.countAttempts,
        countRefused: () => refused,
        readIds: () => [...seen.text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id)),
    };
}

function createIds(count: number): readonly number[] {
    return Array.from({ length: count }, (unused, index) => index + 1);
}

describe("a stream through another instance, whose client reads slowly", () => {
    // guards against a stream that is cut off because its client hasn't read for a while (LOST)
    it("brings every event once and in order, after 5 s in which the client didn't read", async () => {
        for (const seed of seeds) {
            const play = createPlay({ seed, eventCount: 60 });
            await play.history.runAsync(500);
            play.attempt.pause();
            await play.history.runAsync(5_500);
            expect(play.server.abortedAt, `seed ${seed}`).to.equal(undefined);
            // it holds its server back meanwhile
            expect(play.server.sent, `seed ${seed}`).to.be.below(40);
            play.attempt.resume();
            await play.history.runAsync(9_000);
            expect(play.readIds(), `seed ${seed}`).to.deep.equal(createIds(60));
            expect([play.seen.faults, play.countCarried()], `seed ${seed}`).to.deep.equal([[], 0]);
            expect(play.seen.endedAt, `seed ${seed}`).to.be.a("number");
        }
    });

    // guards against a client that reads now and then, between which the attempt is taken for abandoned (LOST)
    it("brings every event once and in order to a client that reads now and then", async () => {
        for (const seed of seeds) {
            const play = createPlay({ seed, eventCount: 60 });
            for (let time = 500; time < 12_000; time += 1_900) {
                await play.history.runAsync(time);
                play.attempt.resume();
                play.attempt.pause();
            }
            play.attempt.resume();
            await play.history.runAsync(16_000);
            expect(play.readIds(), `seed ${seed}`).to.deep.equal(createIds(60));
            expect(play.seen.faults, `seed ${seed}`).to.deep.equal([]);
        }
    });

    // guards against a stream that is cut off because two messages between instances were lost (LOST)
    it("goes on when two messages in a row are lost", async () => {
        const play = createPlay({ seed: 1, eventCount: 60, isLost: number => number % 3 !== 2 });
        await play.history.runAsync(500);
        play.attempt.pause();
        await play.history.runAsync(10_000);
        expect(play.server.abortedAt).to.equal(undefined);
    });

    // guards against messages without end, which go on after the answer or for a client that reads (GONE)
    it("sends at most one message an interval, and none before the client is slow or after the end", async () => {
        for (const seed of seeds) {
            const play = createPlay({ seed, eventCount: 20 });
            await play.history.runAsync(500);
            expect(play.kept, `seed ${seed}`).to.deep.equal([]);
            play.attempt.pause();
            await play.history.runAsync(5_500);
            expect(play.kept.length, `seed ${seed}`).to.be.within(5_000 / 500 - 1, 5_000 / 400);
            // the end comes with the last events, while the client doesn't read again
            play.attempt.resume();
            play.attempt.pause();
            await play.history.runAsync(5_600);
            expect(play.seen.endedAt, `seed ${seed}`).to.be.a("number");
            const count = play.kept.length;
            await play.history.runAsync(20_000);
            expect(play.kept.length, `seed ${seed}`).to.equal(count);
        }
    });

    // guards against a server that works on, or messages that go on, for a client that has left while it was slow (GONE)
    it("ends at its server when the client leaves, with no message after it", async () => {
        for (const end of ["abort", "drain"] as const) {
            for (const seed of seeds) {
                const play = createPlay({ seed, eventCount: 1_000 });
                await play.history.runAsync(500);
                play.attempt.pause();
                await play.history.runAsync(3_000);
                end === "abort" ? play.attempt.abort() : play.attempt.drain!(60_000);
                await play.history.runAsync(3_100);
                expect(play.server.abortedAt, `${end}, seed ${seed}`).to.be.within(3_000, 3_010);
                const count = play.kept.length;
                await play.history.runAsync(20_000);
                expect([play.kept.length, play.countCarried()], `${end}, seed ${seed}`).to.deep.equal([count, 0]);
            }
        }
    });

    // guards against a server that works on for an instance that has ended (GONE)
    it("ends at its server within the time of the carrying instance when the asking one is gone", async () => {
        for (const seed of seeds) {
            const play = createPlay({ seed, eventCount: 1_000 });
            await play.history.runAsync(500);
            play.attempt.pause();
            await play.history.runAsync(3_000);
            expect(play.server.abortedAt, `seed ${seed}`).to.equal(undefined);
            play.history.crash("asking");
            await play.history.runAsync(10_000);
            expect(play.server.abortedAt, `seed ${seed}`).to.be.within(3_000, 3_000 + abandonedWithin);
            expect(play.countCarried(), `seed ${seed}`).to.equal(0);
        }
    });

    // guards against a server that works on, or messages that go on, for an attempt that nobody has ended (GONE)
    it("isn't kept beyond its deadline", async () => {
        const deadlineAt = 4_000;
        for (const seed of seeds) {
            const play = createPlay({ seed, eventCount: 1_000, deadlineAt });
            await play.history.runAsync(500);
            play.attempt.pause();
            await play.history.runAsync(20_000);
            expect(play.kept.at(-1), `seed ${seed}`).to.be.within(deadlineAt - 800, deadlineAt);
            expect(play.server.abortedAt, `seed ${seed}`).to.be.within(deadlineAt, deadlineAt + abandonedWithin);
        }
    });

    // guards against an instance of the build before that is harmed by a message that it doesn't know
    it("is given up as before by a carrying instance of the build before, as a fault that is no server's", async () => {
        const play = createPlay({ seed: 1, eventCount: 1_000, isHelperOld: true });
        await play.history.runAsync(500);
        play.attempt.pause();
        await play.history.runAsync(5_000);
        expect(play.countRefused()).to.be.above(0);
        expect(play.server.abortedAt).to.be.within(1_500, 500 + abandonedWithin);
        play.attempt.resume();
        await play.history.runAsync(6_000);
        expect(play.seen.faults.map(({ kind }) => kind)).to.deep.equal(["broken"]);
        expect(play.seen.faults[0]).to.include({ isBetweenInstances: true });
    });
});
