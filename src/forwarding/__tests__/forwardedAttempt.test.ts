import { expect } from "chai";
import type { PeerNetwork } from "../../peers/index.js";
import type { Attempt, AttemptFault, AttemptHandlers, AttemptRequest } from "../../serving/serverConnections.js";
import type { BackendServer, ServerResponseHead } from "../../serving/types.js";
import { createSystemClock, wrapError, wrapValue } from "../../shared/index.js";
import { startDetached } from "../../testing/index.js";
import { sendThroughInstance } from "../forwardClient.js";
import { createForwardService, type ForwardService } from "../forwardService.js";
import { type ForwardingMessage, forwardingMessageSchema } from "../messages.js";

const server: BackendServer = {
    id: "s-0",
    startedAt: 1,
    service: "llm",
    address: "127.0.0.1:1",
    failureDomain: "a",
    isDraining: false,
    softwareVersion: "v1",
    slots: 4,
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
    passedHeaders: ["X-A", "b"],
};
const request: AttemptRequest = {
    server,
    attemptId: "a",
    method: "POST",
    target: "/x",
    headers: ["id", "a"],
    body: Buffer.from("body"),
};

interface Rig {
    readonly service: ForwardService;
    readonly clock: { now: number; };
    /** Handlers of the attempts that reached the server. */
    readonly arrived: AttemptHandlers[];
    readonly log: string[];
    isReaching: boolean;
    isStopping: boolean;
    /** What becomes of a message to the helper and of its answer. */
    /** Messages to the helper that are lost from now on. */
    lostMessages: number;
    link: "open" | "unreachable" | "answerLost" | "unknownTopic";
}

function createRig(): Rig {
    const arrived: AttemptHandlers[] = [];
    const log: string[] = [];
    const clock = { now: 0 };
    const rig: Rig = {
        arrived,
        log,
        clock,
        isReaching: true,
        isStopping: false,
        lostMessages: 0,
        link: "open",
        service: createForwardService({
            isStopping: () => rig.isStopping,
            clock: { now: () => clock.now, sleep: createSystemClock().sleep },
            connections: {
                send: (sent, handlers) => {
                    arrived.push(handlers);
                    log.push(`${sent.method} ${sent.target} ${sent.body?.toString()}`);
                    return {
                        abort: () => log.push("aborted"),
                        pause: () => log.push("paused"),
                        resume: () => log.push("resumed"),
                    };
                },
            },
            findServer: run => run === "s-0/1" ? server : undefined,
            isReaching: () => rig.isReaching,
        }),
    };
    return rig;
}

function createNetwork(rig: Rig): PeerNetwork {
    const handle = async (message: ForwardingMessage): Promise<ForwardingMessage | undefined> => {
        switch (message.kind) {
            case "start":
                return rig.service.start(message);
            case "read":
                return rig.service.read(message.id);
            case "keep":
                rig.service.keep(message.id);
                return undefined;
            case "abort":
                rig.service.abort(message.id);
                return { kind: "aborted" };
            case "askReach":
            case "aborted":
            case "reach":
            case "events":
            case "refused":
                return undefined;
        }
    };
    return {
        self: "i-0",
        send: (to, topic, message) => {
            if (rig.lostMessages > 0) {
                rig.lostMessages--;
                return;
            }
            startDetached(handle(message as ForwardingMessage));
        },
        request: async (to, topic, message) => {
            if (rig.lostMessages > 0) {
                rig.lostMessages--;
                return wrapError({ kind: "timeout" });
            }
            if (rig.link === "unreachable") {
                return wrapError({ kind: "unreachable", detail: "" });
            }
            if (rig.link === "unknownTopic") {
                return wrapError({ kind: "timeout" });
            }
            const answer = await handle(forwardingMessageSchema.parse(message));
            return (rig.link as string) === "answerLost"
                ? wrapError({ kind: "disconnected" })
                : wrapValue(answer as never);
        },
        handle: () => undefined,
    };
}

interface Seen {
    text: string;
    status?: number;
    hasEnded: boolean;
    fault?: AttemptFault;
}

/** Attempts go on asking for events until they are ended. */
const attempts: Attempt[] = [];

function send(rig: Rig) {
    const seen: Seen = { text: "", hasEnded: false };
    const way = { network: createNetwork(rig), helper: "i-1", clock: createSystemClock() };
    const attempt = sendThroughInstance(way, "r-1", request, {
        onHead: ({ status }) => seen.status = status,
        onData: chunk => seen.text += chunk.toString(),
        onEnd: () => seen.hasEnded = true,
        onFault: fault => seen.fault = fault,
    });
    attempts.push(attempt);
    return { seen, attempt };
}

function settle(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, 20));
}

describe("an attempt that is sent through another instance", () => {
    after(() => attempts.forEach(attempt => attempt.abort()));

    // guards against an answer that is changed, reordered or left open on its way through
    it("gets the server's answer whole and in order", async () => {
        const rig = createRig();
        const { seen } = send(rig);
        await settle();
        const handlers = rig.arrived[0]!;
        handlers.onHead(head);
        handlers.onData(Buffer.from("one "));
        await settle();
        handlers.onData(Buffer.from("two "));
        handlers.onData(Buffer.from("three"));
        handlers.onEnd();
        await settle();
        expect(seen).to.deep.equal({ text: "one two three", status: 200, hasEnded: true });
        expect(rig.log).to.deep.equal(["POST /x body"]);
    });

    // guards against a refusal that says not run of a request that may have run, and against one that needn't be lost
    it("has not been sent when the other instance is unreachable or refuses it, and may have run after that", async () => {
        const unreachable = createRig();
        unreachable.link = "unreachable";
        const refusing = createRig();
        refusing.isReaching = false;
        const lost = createRig();
        lost.link = "answerLost";
        const old = createRig();
        old.link = "unknownTopic";
        const seen = [unreachable, refusing, lost, old].map(rig => send(rig).seen);
        await new Promise(resolve => setTimeout(resolve, 400));
        expect(seen.map(({ fault }) => fault?.kind)).to.deep.equal(["rerouted", "rerouted", "broken", "broken"]);
        expect(lost.arrived.length).to.equal(1);
        expect(refusing.arrived.length).to.equal(0);
    });

    // guards against a fault that instances of an older version can't read, and against one that blames the server
    it("isn't the server's fault when its head can't be written", async () => {
        const rig = createRig();
        const { seen } = send(rig);
        await settle();
        rig.arrived[0]!.onFault({ kind: "unsendable", detail: "two hosts" });
        await settle();
        expect(seen.fault).to.deep.equal({ kind: "withdrawn", detail: "two hosts" });
    });

    // guards against requests that are quarantined for wrong bytes of a server that another instance has read
    it("is told that a server has sent bytes that are no answer, and nothing of it where it hasn't", async () => {
        const faults: readonly AttemptFault[] = [
            { kind: "broken", detail: "x", isNoAnswer: true },
            { kind: "broken", detail: "x" },
        ];
        for (const fault of faults) {
            const rig = createRig();
            const { seen } = send(rig);
            await settle();
            rig.arrived[0]!.onFault(fault);
            await settle();
            expect(seen.fault).to.deep.equal(fault);
        }
    });

    // guards against servers that are blamed, or requests quarantined, for a link between instances
    it("isn't the server's fault when the link breaks in the middle of the answer", async () => {
        const rig = createRig();
        const { seen } = send(rig);
        await settle();
        rig.arrived[0]!.onHead(head);
        await settle();
        rig.link = "answerLost";
        rig.arrived[0]!.onData(Buffer.from("one"));
        await settle();
        expect(seen.fault).to.include({ kind: "broken", isBetweenInstances: true });
        expect(seen.text).to.equal("");
    });

    // guards against servers that work on for a client that has left, or for an instance that has ended
    it("is aborted at the server when the client leaves, or when nobody asks for its events any more", async () => {
        const left = createRig();
        const { attempt } = send(left);
        await settle();
        attempt.abort();
        await settle();
        expect(left.log.at(-1)).to.equal("aborted");
        const ended = createRig();
        send(ended);
        await settle();
        ended.clock.now = 10_000;
        ended.service.expire(ended.clock.now);
        expect(ended.log.at(-1)).to.equal("aborted");
    });

    // guards against servers that work on for a client that has left, while a message between instances is lost
    it("is aborted at the server when the abort is lost at first, and when the other instance stops answering", async () => {
        const left = createRig();
        const { attempt } = send(left);
        await settle();
        left.lostMessages = 2;
        attempt.abort();
        await settle();
        expect(left.log.at(-1)).to.equal("aborted");
        const silent = createRig();
        const { seen } = send(silent);
        await settle();
        silent.arrived[0]!.onHead(head);
        silent.lostMessages = 1;
        await settle();
        expect(seen.fault?.kind).to.equal("broken");
        expect(silent.log.at(-1)).to.equal("aborted");
    });

    // guards against an answer that fills the memory of the other instance while its client reads slowly
    it("holds its server back while the client doesn't read", async () => {
        const rig = createRig();
        const { attempt, seen } = send(rig);
        await settle();
        rig.arrived[0]!.onHead(head);
        attempt.pause();
        await settle();
        for (let chunk = 0; chunk < 9; chunk++) {
            rig.arrived[0]!.onData(Buffer.alloc(8_192));
        }
        await settle();
        expect(rig.log).to.include("paused");
        expect(rig.log).not.to.include("resumed");
        attempt.resume();
        await settle();
        expect(rig.log).to.include("resumed");
        expect(seen.text.length).to.equal(9 * 8_192);
    });

    // guards against memory that fills with an event for each byte of an answer
    it("keeps bytes that wait to be fetched together, before what comes after them", async () => {
        const { arrived, service } = createRig();
        const first = service.start({
            kind: "start",
            id: "r-1",
            run: "s-0/1",
            method: "GET",
            target: "/",
            headers: [],
        });
        arrived[0]!.onHead(head);
        await first;
        for (let count = 0; count < 60_000; count++) {
            arrived[0]!.onData(Buffer.alloc(1, "a"));
        }
        arrived[0]!.onEnd();
        const answer = await service.read("r-1");
        const events = answer.kind === "events" ? answer.events : [];
        const size = events.reduce((sum, event) => sum + (event.kind === "data" ? event.chunk.length : 0), 0);
        expect([size, events.at(-1)?.kind]).to.deep.equal([60_000, "end"]);
        expect(events.length).to.be.below(20);
    });

    // guards against a helper that is overrun: more are refused, so that the sender takes another one
    it("is refused beyond the number that an instance sends for others", async () => {
        const rig = createRig();
        const start = (id: number) =>
            rig.service.start({ kind: "start", id: `r-${id}`, run: "s-0/1", method: "GET", target: "/", headers: [] });
        const answers = await Promise.all(Array.from({ length: 80 }, (unused, id) => start(id)));
        expect(answers.filter(({ kind }) => kind === "refused").length).to.equal(16);
        expect(rig.service.hasRoom()).to.equal(false);
    });

    // guards against attempts that another instance begins and cuts off, as it stops itself (LOST)
    it("isn't begun by an instance that stops, which carries those begun before to their end", async () => {
        const rig = createRig();
        const start = (id: string) =>
            rig.service.start({ kind: "start", id, run: "s-0/1", method: "GET", target: "/", headers: [] });
        const first = start("first");
        rig.isStopping = true;
        expect([rig.service.hasRoom(), rig.service.countAttempts()]).to.deep.equal([false, 1]);
        expect((await start("second")).kind).to.equal("refused");
        rig.arrived[0]!.onEnd();
        expect(await first).to.deep.equal({ kind: "events", events: [{ kind: "end" }] });
        expect([rig.arrived.length, rig.service.countAttempts()]).to.deep.equal([1, 0]);
    });
});
