import { expect } from "chai";
import { createAnswerDelivery } from "../../serving/answerDelivery.js";
import { createAnswerMemory } from "../../serving/answerMemory.js";
import type { BackendServer, ServerResponseHead } from "../../serving/types.js";
import { createSystemClock } from "../../shared/index.js";
import { createForwardService } from "../forwardService.js";
import type { AttemptEvent, StartMessage } from "../messages.js";

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
    isEventStream: false,
    contentLength: undefined,
    passedHeaders: [],
};
const kibibyte = 1_024;

// all events of an answer that comes at once, in two parts, as the other instance fetches them
async function collectEvents(firstBytes: number, memoryLimit?: number): Promise<readonly string[]> {
    const service = createForwardService({
        clock: createSystemClock(),
        isStopping: () => false,
        isReaching: () => true,
        findServer: () => server,
        answerMemory: createAnswerMemory(memoryLimit),
        connections: {
            send: (request, handlers) => {
                const delivery = createAnswerDelivery(handlers.onData, () => delivery.flush());
                setImmediate(() => {
                    handlers.onHead(head);
                    delivery.push(Buffer.alloc(firstBytes));
                    delivery.flush();
                    delivery.push(Buffer.alloc(kibibyte));
                    delivery.end(handlers.onEnd);
                });
                return { abort: delivery.discard, pause: delivery.pause, resume: delivery.resume };
            },
        },
    });
    const message: StartMessage = { kind: "start", id: "r", run: "s-0/1", method: "GET", target: "/", headers: [] };
    const events: AttemptEvent[] = [];
    for (let answer = await service.start(message); answer.kind === "events"; answer = await service.read("r")) {
        events.push(...answer.events);
    }
    return events.map(event => event.kind === "data" ? `${event.chunk.length} bytes` : event.kind);
}

describe("rest of an answer that is held back for another instance", () => {
    // guards against an answer whose end is forgotten as it comes while earlier bytes are fetched (LOST)
    it("is fetched with its end when it has come whole before its first bytes are fetched", async () => {
        const listExpected = (
            firstBytes: number,
        ): readonly string[] => ["head", `${firstBytes} bytes`, "1024 bytes", "end"];
        expect(await collectEvents(100 * kibibyte)).to.deep.equal(listExpected(100 * kibibyte));
        expect(await collectEvents(65 * kibibyte, 80 * kibibyte)).to.deep.equal(listExpected(65 * kibibyte));
    });
});
