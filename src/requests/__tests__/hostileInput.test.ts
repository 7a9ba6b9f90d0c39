import { expect } from "chai";
import fc from "fast-check";
import { createResponseReader } from "../../backends/engineResponse.js";
import { createServiceHttpClient, type GenerationRequest, type ServiceRequest } from "../../backends/index.js";
import { type FaultyBackend, startFaultyBackend } from "../../standins/faultyBackend.js";
import { expectSnapshot } from "../../testing/index.js";
import { parseAtMostOnceMessage } from "../index.js";
import { createRecordReplica } from "../recordReplica.js";
import { type InstanceFixture, startInstanceFixture } from "./instanceFixture.js";

const seed = 20261203;
const request: GenerationRequest = {
    requestId: "r1",
    adapter: { adapter: "springs", version: "v1" },
    incarnation: "run-0",
    prompt: { kind: "text", text: "draft" },
    maximumOutputTokens: 16,
    priority: 0,
    resumeAfterTokens: 0,
};

const chunk = fc.record({
    id: fc.constantFrom("r1", "r2", undefined),
    model: fc.constantFrom("springs@v1", "springs@v1#3", "springs@v2", "base", undefined),
    choices: fc.oneof(
        fc.array(
            fc.record({
                index: fc.nat(2),
                text: fc.string(),
                finish_reason: fc.constantFrom("stop", "error", undefined),
            }),
        ),
        fc.anything(),
    ),
    usage: fc.oneof(fc.record({ prompt_tokens: fc.nat(9), completion_tokens: fc.nat(9) }), fc.anything()),
}, { requiredKeys: ["choices"] });
const goodChunk = fc.constantFrom(
    `data: {"id":"r1","model":"springs@v1","choices":[{"index":0,"text":"a"}]}\n\n`,
    `data: {"id":"r1","model":"springs@v1","choices":[{"index":0,"text":"","finish_reason":"stop"}]}\n\n`,
    `data: {"id":"r1","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}\n\n`,
    "data: [DONE]\n\n",
    ": comment\n\n",
);
const frame = fc.oneof(
    { weight: 30, arbitrary: goodChunk },
    chunk.map(value => `data: ${encodeFrame(value)}\n\n`),
    fc.string().map(text => `data: ${text}\n\n`),
    fc.string(),
    fc.constant(`data: ${"x".repeat(300_000)}`),
);

describe("hostile input", () => {
    it("frames of an engine's response lead to a complete response or an error, and never throw", function() {
        const counts: Record<string, number> = {};
        fc.assert(
            fc.property(fc.array(frame, { maxLength: 12 }), fc.nat(7), (frames, cut) => {
                const reader = createResponseReader(request);
                const text = frames.join("");
                const pieces = cut === 0 ? [text] : [text.slice(0, cut), text.slice(cut)];
                const steps = [...pieces.flatMap(piece => reader.accept(piece)), ...reader.finish()];
                const last = steps.at(-1)!;
                const name = last.ok ? last.value.kind : last.error.kind;
                counts[name] = (counts[name] ?? 0) + 1;
                expect(steps.slice(0, -1).every(step => step.ok)).to.equal(true);
                if (last.ok) {
                    expect(last.value.kind).to.equal("end");
                    expect(text).to.include("data: [DONE]").and.include("finish_reason").and.include("usage");
                }
            }),
            { seed, numRuns: 3_000 },
        );
        expectSnapshot(this.test, counts);
    });

    it("peer messages are either accepted as a whole or refused", function() {
        const claim = fc.record({ claimId: fc.string(), coordinator: fc.string(), fingerprint: fc.string() });
        const message = fc.oneof(
            fc.anything(),
            fc.record({ kind: fc.constantFrom("claim", "settle"), key: fc.string(), epoch: fc.integer(), claim }),
            fc.record({
                kind: fc.constant("handover"),
                partition: fc.oneof(fc.nat(300), fc.integer()),
                epoch: fc.integer(),
                previousGroup: fc.array(fc.constantFrom("a", "b", "c"), { maxLength: 20 }),
                records: fc.array(fc.record({ key: fc.string(), age: fc.double(), claims: fc.array(claim) })),
                isLast: fc.boolean(),
            }),
        );
        const counts = { taken: 0, refused: 0 };
        const replica = createRecordReplica("a", 1_000);
        replica.acceptEpoch({ number: 1, members: ["a"], previousMembers: [], gainsAllowedAt: 0 }, 0);
        fc.assert(
            fc.property(message, input => {
                const parsed = parseAtMostOnceMessage(input);
                counts[parsed ? "taken" : "refused"]++;
                if (parsed?.kind === "claim") {
                    replica.acceptClaim(parsed, 0, Infinity);
                }
                if (parsed?.kind === "settle") {
                    replica.acceptSettlement(parsed, 0);
                }
                if (parsed?.kind === "handover") {
                    replica.acceptHandover("b", parsed, 0);
                }
                replica.expire(0);
            }),
            { seed, numRuns: 3_000 },
        );
        expectSnapshot(this.test, counts);
    });

    describe("over loopback", () => {
        let fixture: InstanceFixture;
        let backend: FaultyBackend;
        beforeEach(async () => {
            fixture = await startInstanceFixture(200);
            backend = await startFaultyBackend();
        });
        afterEach(async () => {
            await fixture.stop();
            await backend.stop();
        });

        it("invalid heads and bodies of backend servers never pass for a complete response", async () => {
            const status = fc.constantFrom(
                "HTTP/1.1 200 OK",
                "HTTP/1.1 503 X",
                "HTTP/1.1 100 Continue",
                "HTTP/9 1",
                "",
            );
            const header = fc.oneof(
                fc.constantFrom(
                    "content-length: 5",
                    "content-length: -1",
                    "content-length: 4\r\ncontent-length: 9",
                    "transfer-encoding: chunked",
                    "x-request-id: other",
                    "content-type: text/event-stream",
                ),
                fc.string(),
                fc.constant(`x-large: ${"x".repeat(20_000)}`),
            );
            const answer = fc.tuple(status, fc.array(header, { maxLength: 4 }), fc.string()).map((
                [line, headers, body],
            ) => [line, ...headers, "connection: close"].join("\r\n") + `\r\n\r\n${body}`);
            await fc.assert(
                fc.asyncProperty(answer, async bytes => {
                    const raw = { kind: "raw", bytes } as const;
                    fixture.first.planBehaviors(raw);
                    fixture.second.planBehaviors(raw);
                    const seen = (await fixture.callModel()).at(-1);
                    expect(seen).to.not.equal("outcome completed");
                    expect(seen).to.not.match(/notRun/u);
                }),
                { seed, numRuns: 40 },
            );
        });

        it("paths, methods and headers that could smuggle a request are never sent", async () => {
            const client = createServiceHttpClient({ address: backend.address });
            const plain: ServiceRequest = {
                requestId: "r1",
                method: "POST",
                path: "/a",
                headers: {},
                body: Buffer.from("x"),
            };
            const hostile: readonly Partial<ServiceRequest>[] = [
                { path: "/../admin" },
                { path: "/a/%2e%2e/admin" },
                { path: "/a/..%2fadmin" },
                { path: "/a/%2e%2e%5cadmin" },
                { path: "//other.example/" },
                { path: "http://other.example/" },
                { path: "/a HTTP/1.1\r\nhost: other\r\n\r\nGET /b" },
                { path: "/%zz" },
                { method: "CONNECT" },
                { method: "GET / HTTP/1.1\r\nx: y" },
                { headers: { "x-a": "b\r\ncontent-length: 0" } },
                { headers: { "x\r\ny": "b" } },
            ];
            for (const change of hostile) {
                const result = await client.call({ ...plain, ...change }, new AbortController().signal);
                expect(result.ok ? "sent" : result.error.kind, JSON.stringify(change)).to.equal("refused");
            }
            expect(backend.runs).to.deep.equal([]);
            const withheld = {
                authorization: "Bearer key-of-a",
                "transfer-encoding": "chunked",
                "content-length": "900",
                connection: "x-a",
                host: "other",
                "x-request-id": "other",
            };
            const sent = await client.call({ ...plain, headers: withheld }, new AbortController().signal);
            client.close();
            expect(sent.ok).to.equal(true);
            const { headers } = backend.runs[0]!;
            expect(JSON.stringify(headers)).to.not.include("key-of-a");
            expect(headers["x-request-id"]).to.equal("r1");
            expect(headers["content-length"]).to.equal("1");
            expect(headers).to.not.have.property("transfer-encoding");
        });
    });
});

function encodeFrame(value: unknown): string {
    try {
        return JSON.stringify(value) ?? "";
    }
    catch {
        return "[";
    }
}
