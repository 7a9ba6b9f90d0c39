import { expect } from "chai";
import { type AddressInfo, createServer } from "node:net";
import type { PeerNetwork } from "../../peers/index.js";
import { testCodec } from "../../serving/__tests__/testCodec.js";
import { type AttemptFault, createServerConnections } from "../../serving/serverConnections.js";
import type { BackendServer, ServerResponseHead } from "../../serving/types.js";
import { createSystemClock, wrapValue } from "../../shared/index.js";
import { formatStatusLines } from "../../testing/index.js";
import { sendThroughInstance } from "../forwardClient.js";
import { createForwardService } from "../forwardService.js";
import { type ForwardingMessage, forwardingMessageSchema } from "../messages.js";

/** What the instance of the client saw of an attempt. */
interface Seen {
    readonly status: number | undefined;
    readonly fault: AttemptFault | undefined;
    /** Kinds of the messages to the other instance. */
    readonly messages: readonly string[];
}

const clock = createSystemClock();
const headers = "Id: 7\r\nSigned: 1\r\n";

function createBackend(port: number): BackendServer {
    return {
        id: "s",
        startedAt: 1,
        service: "llm",
        address: `127.0.0.1:${port}`,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 1,
        models: [],
    };
}

// sends an attempt through an instance that answers in this way, as messages between instances are read
async function sendForwarded(
    server: BackendServer,
    answer: (message: ForwardingMessage) => Promise<unknown>,
): Promise<Seen> {
    const messages: string[] = [];
    const network: PeerNetwork = {
        self: "i-0",
        send: () => undefined,
        request: async (to, topic, message) => {
            const sent = forwardingMessageSchema.parse(message);
            messages.push(sent.kind);
            return wrapValue(await answer(sent) as never);
        },
        handle: () => undefined,
    };
    let status: number | undefined;
    const request = { server, attemptId: "7", method: "POST", target: "/", headers: [], body: undefined };
    const fault = await new Promise<AttemptFault | undefined>(resolve =>
        sendThroughInstance({ network, helper: "i-1", clock }, "r-1", request, {
            onHead: head => status = head.status,
            onData: () => undefined,
            onEnd: () => resolve(undefined),
            onFault: resolve,
        })
    );
    return { status, fault, messages };
}

async function sendToServer(bytes: string): Promise<Seen> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => socket.write(Buffer.from(bytes, "latin1")));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const backend = createBackend((server.address() as AddressInfo).port);
    const connections = createServerConnections({
        headers: testCodec,
        findConnectionLimit: () => 1,
        mayReceive: () => true,
        loop: { isLate: () => false, handleWaiting: () => Promise.resolve() },
        onLeaving: () => undefined,
        idleTimeout: 1_000,
    });
    const service = createForwardService({
        clock,
        connections,
        findServer: () => backend,
        isReaching: () => true,
        isStopping: () => false,
    });
    const seen = await sendForwarded(backend, async message => {
        if (message.kind === "start") {
            return service.start(message);
        }
        return message.kind === "read" ? service.read(message.id) : { kind: "aborted" };
    });
    connections.close();
    server.close();
    return seen;
}

function createHead(status: number): ServerResponseHead {
    return {
        status,
        attemptId: "7",
        isSigned: true,
        isNotRun: true,
        load: undefined,
        requestLimit: undefined,
        retryAfter: undefined,
        isLeaving: false,
        isEventStream: false,
        contentLength: 2,
        passedHeaders: [],
    };
}

describe("status of an answer that comes through another instance", function() {
    this.timeout(5_000);

    for (const [name, bytes] of Object.entries(formatStatusLines(headers))) {
        // guards against a number that is no status and becomes the answer of an instance that reaches no server (MIXED)
        it(`is none where the server's is none: ${name}`, async () => {
            const { status, fault } = await sendToServer(bytes);
            expect(status).to.equal(undefined);
            expect(fault).to.include({ kind: "broken", isNoAnswer: true });
        });
    }

    for (const status of [100, 101, 103, 199, 600, 700, 999]) {
        // guards against an instance of another version that takes such a number for a status: its client would get it (MIXED),
        // or nothing after an interim answer, and its refusal would be believed (TWICE)
        it(`is none where the other instance hands on what none is: ${status}`, async () => {
            const seen = await sendForwarded(createBackend(1), async message =>
                message.kind === "abort"
                    ? { kind: "aborted" }
                    : { kind: "events", events: [{ kind: "head", head: createHead(status) }, { kind: "end" }] });
            expect(seen.status).to.equal(undefined);
            expect(seen.fault).to.deep.equal({ kind: "broken", detail: `status ${status}`, isNoAnswer: true });
            expect(seen.messages).to.deep.equal(["start", "abort"]);
        });
    }

    for (const status of [0, 99, 1_000, 200.5, -1, "200"]) {
        // guards against a number at which the HTTP server of an instance throws, and a message that ends a process (FAULT)
        it(`is none where the other instance hands on what can't be one: ${JSON.stringify(status)}`, async () => {
            const head = createHead(status as number);
            const { status: taken, fault } = await sendForwarded(
                createBackend(1),
                async message =>
                    message.kind === "abort"
                        ? { kind: "aborted" }
                        : { kind: "events", events: [{ kind: "head", head }] },
            );
            expect(taken).to.equal(undefined);
            expect(fault).to.include({ kind: "broken", isBetweenInstances: true });
        });
    }
});
