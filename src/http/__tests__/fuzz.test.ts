import { expect } from "chai";
import fc from "fast-check";
import { once } from "node:events";
import { connect } from "node:net";
import { createTestServer, grantedKey, type TestServer } from "./fakeService.js";

const seed = 11;
const statusLine = /^HTTP\/1\.1 (\d{3}) /;

describe("HTTP server with random input", () => {
    let testServer: TestServer;

    before(async () => {
        testServer = await createTestServer({ bodyBytes: 2_000, bodyTimeout: 50, headTimeout: 200 });
    });
    after(() => testServer.server.stop());

    const sendBytes = async (bytes: Buffer): Promise<string> => {
        const [host, port] = testServer.address.split(":");
        const socket = connect({ host, port: Number(port), allowHalfOpen: true });
        const parts: Buffer[] = [];
        socket.on("data", part => parts.push(part));
        socket.on("error", () => undefined);
        socket.end(bytes);
        await once(socket, "close");
        return Buffer.concat(parts).toString("latin1");
    };
    const expectAlive = async (): Promise<void> => {
        const body = JSON.stringify({ model: "draft", prompt: "hello" });
        const headers = { authorization: `Bearer ${grantedKey}` };
        const response = await fetch(`${testServer.url}/v1/completions`, { method: "POST", body, headers });
        expect(response.status).to.equal(200);
        await response.text();
        expect(await testServer.metrics.readText()).to.match(/oriolehatch_open_requests [01]\n/);
    };

    it("responds to 300 random request heads with a status or a closed connection, and keeps serving", async () => {
        const headLine = fc.oneof(
            fc.constantFrom(
                "Host: x",
                "Content-Length: 5",
                "Content-Length: -1",
                "Content-Length: 99999999999999999999",
                "Transfer-Encoding: chunked",
                "Transfer-Encoding: chunked, identity",
                "Transfer-Encoding : chunked",
                "Expect: 100-continue",
                "Connection: upgrade",
                "Upgrade: h2c",
                "Authorization: Bearer x",
                "Authorization:",
                "Idempotency-Key: \u0001",
                " folded: line",
                ": nameless",
                "no colon",
            ),
            fc.string({ maxLength: 30 }),
        );
        const start = fc.oneof(
            fc.constantFrom(
                "POST /v1/completions HTTP/1.1",
                "POST /v1/completions HTTP/1.0",
                "POST /v1/completions HTTP/9.9",
                "POST http://x/v1/completions HTTP/1.1",
                "CONNECT x:1 HTTP/1.1",
                "OPTIONS * HTTP/1.1",
                "PRI * HTTP/2.0",
                "GET /services/../../x HTTP/1.1",
            ),
            fc.string({ maxLength: 40 }),
        );
        const body = fc.oneof(
            fc.constantFrom("", "{}", "5\r\nhello\r\n0\r\n\r\n", "zz\r\n"),
            fc.string({ maxLength: 60 }),
        );
        const parts = fc.tuple(start, fc.array(headLine, { maxLength: 6 }), body);
        let answered = 0;
        await fc.assert(
            fc.asyncProperty(parts, async ([first, lines, rest]) => {
                const answer = await sendBytes(Buffer.from(`${first}\r\n${lines.join("\r\n")}\r\n\r\n${rest}`));
                answered += statusLine.test(answer) ? 1 : 0;
                expect(answer === "" || statusLine.test(answer)).to.equal(true);
            }),
            { seed, numRuns: 300 },
        );
        expect(answered).to.be.greaterThan(100);
        await expectAlive();
    });

    it("responds to 500 random bodies with 200, 400 or 413 in the OpenAI format", async () => {
        const leaf = fc.oneof(fc.string({ maxLength: 20 }), fc.integer(), fc.boolean(), fc.constant([]), fc.double());
        const field = fc.constantFrom(
            "model",
            "messages",
            "prompt",
            "max_tokens",
            "stop",
            "temperature",
            "n",
            "tools",
            "__proto__",
            "constructor",
        );
        const randomBody = fc.oneof(
            fc.json(),
            fc.string({ maxLength: 40 }),
            fc.dictionary(field, leaf).map(fields => JSON.stringify({ model: "draft", prompt: "x", ...fields })),
            fc.dictionary(field, leaf).map(fields =>
                JSON.stringify({ model: "draft", messages: [{ role: "user", content: "x" }], ...fields })
            ),
            fc.constant("[".repeat(1_900)),
            fc.constant(`{"model":"draft","prompt":"${"x".repeat(2_000)}"}`),
        );
        const statuses = new Map<number, number>();
        await fc.assert(
            fc.asyncProperty(randomBody, fc.constantFrom("chat/completions", "completions"), async (body, call) => {
                const headers = { authorization: `Bearer ${grantedKey}` };
                const response = await fetch(`${testServer.url}/v1/${call}`, { method: "POST", body, headers });
                const value = await response.json() as { outcome?: string; error?: { message?: string; }; };
                statuses.set(response.status, (statuses.get(response.status) ?? 0) + 1);
                const outcome = response.headers.get("x-oriolehatch-outcome");
                expect([outcome, value.outcome ?? "completed"]).to.deep.equal(
                    response.status === 200 ? ["completed", "completed"] : ["notRun", "notRun"],
                );
                expect(typeof value.error?.message).to.equal(response.status === 200 ? "undefined" : "string");
            }),
            { seed, numRuns: 500 },
        );
        expect([...statuses.keys()].sort()).to.deep.equal([200, 400, 413]);
        expect(testServer.service.modelCalls.length).to.equal((statuses.get(200) ?? 0) + 1);
        await expectAlive();
    });
});
