import { expect } from "chai";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import OpenAI from "openai";
import { expectSnapshot } from "../../testing/index.js";
import { statusByReason } from "../index.js";
import { createTestServer, grantedKey, type TestServer } from "./fakeService.js";

const authorization = { authorization: `Bearer ${grantedKey}` };
const buildChatBody = (model: string, fields: object = {}): string =>
    JSON.stringify({ model, messages: [{ role: "user", content: "hello" }], ...fields });

describe("the client guide", () => {
    it("lists every error code under its HTTP status", () => {
        const page = readFileSync("docs/guide/callers.md", "utf8");
        const listed = new Set<string>();
        for (const [, status, codes] of page.matchAll(/^\| (\d{3}) \| (.*) \|$/gm)) {
            for (const [, code] of codes!.matchAll(/`(\w+)`/g)) {
                listed.add(`${status} ${code}`);
            }
        }
        const missing = Object.entries(statusByReason).filter(([code, status]) => !listed.has(`${status} ${code}`));
        expect(missing).to.deep.equal([]);
    });
});

describe("HTTP server", () => {
    let testServer: TestServer;

    beforeEach(async () => {
        testServer = await createTestServer({
            bodyBytes: 2_000,
            bodyTimeout: 100,
            headTimeout: 300,
            stallTimeout: 200,
        });
    });
    afterEach(() => testServer.server.stop());

    const sendChat = (body: string, headers: Record<string, string> = authorization): Promise<Response> =>
        fetch(`${testServer.url}/v1/chat/completions`, { method: "POST", body, headers });

    // sends raw bytes and reads until the server closes the connection
    const sendBytes = async (bytes: string, halfClose = false): Promise<string> => {
        const [host, port] = testServer.address.split(":");
        const socket = connect({ host, port: Number(port), allowHalfOpen: true });
        let received = "";
        socket.on("data", part => received += part.toString());
        socket.on("error", () => undefined);
        socket.write(bytes);
        if (halfClose) {
            socket.end();
        }
        await Promise.race([once(socket, "end"), once(socket, "close")]);
        socket.destroy();
        return received.replace(/^Date: .*\r\n/m, "");
    };

    it("serves an unmodified OpenAI client with and without streaming", async () => {
        const client = new OpenAI({ apiKey: grantedKey, baseURL: `${testServer.url}/v1` });
        const messages = [{ role: "user" as const, content: "hello" }];
        const whole = await client.chat.completions.create({ model: "draft", messages });
        expect(whole.choices[0]?.message.content).to.equal('one "two"\n');
        expect(whole.usage?.total_tokens).to.equal(7);
        const stream = await client.chat.completions.create({
            model: "draft",
            messages,
            stream: true,
            stream_options: { include_usage: true },
        });
        let text = "";
        let finish: string | undefined;
        let total: number | undefined;
        for await (const chunk of stream) {
            text += chunk.choices[0]?.delta.content ?? "";
            finish = chunk.choices[0]?.finish_reason ?? finish;
            total = chunk.usage?.total_tokens ?? total;
        }
        expect([text, finish, total]).to.deep.equal(['one "two"\n', "stop", 7]);
        const textCompletion = await client.completions.create({ model: "draft", prompt: "hello", max_tokens: 3 });
        expect(textCompletion.choices[0]?.text).to.equal('one "two"\n');
        expect(testServer.service.modelCalls.map(call => call.maximumOutputTokens)).to.deep.equal([
            undefined,
            undefined,
            3,
        ]);
        const models = await client.models.list();
        expect(models.data.map(model => model.id)).to.deep.equal(["draft", "open", "quotes"]);
        expect((await client.models.retrieve("draft")).owned_by).to.equal("base");
    });

    it("makes an OpenAI client report an error instead of a truncated response when a stream breaks", async () => {
        const client = new OpenAI({ apiKey: grantedKey, baseURL: `${testServer.url}/v1`, maxRetries: 0 });
        for (const model of ["breaks", "ends-silently"]) {
            const stream = await client.chat.completions.create({
                model,
                messages: [{ role: "user", content: "hello" }],
                stream: true,
            });
            let failure: unknown;
            try {
                for await (const chunk of stream) {
                    expect(chunk.choices[0]?.finish_reason ?? undefined).to.equal(undefined);
                }
            }
            catch (error) {
                failure = error;
            }
            expect(failure).to.be.instanceOf(OpenAI.APIError);
        }
    });

    it("streams exactly the bytes of the snapshot", async function() {
        const readStream = async (model: string): Promise<string> => {
            const bytes = buildChatBody(model, { stream: true, stream_options: { include_usage: true } });
            const head = `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${grantedKey}\r\n`;
            const received = await sendBytes(
                `${head}Connection: close\r\nContent-Length: ${bytes.length}\r\n\r\n${bytes}`,
            );
            return received.replace(/"created":\d+/g, '"created":0').replaceAll("\r", "");
        };
        const completed = await readStream("draft");
        const broken = await readStream("breaks");
        expect(completed).to.include("[DONE]");
        expect(broken).to.not.include("[DONE]");
        expect(broken.endsWith("0\n\n")).to.equal(false);
        expectSnapshot(this.test, completed, "completed");
        expectSnapshot(this.test, broken, "broken");
    });

    it("sends errors in the OpenAI format with outcome and headers", async function() {
        const cases: readonly [string, string, Record<string, string>][] = [
            ["no key", buildChatBody("draft"), {}],
            ["wrong key", buildChatBody("draft"), { authorization: "Bearer wrong-wrong" }],
            ["over its limit", buildChatBody("over"), authorization],
            ["bug", buildChatBody("throws"), authorization],
            ["broken, not streamed", buildChatBody("breaks"), authorization],
            ["not JSON", '{"model": ', authorization],
            ["wrong type", buildChatBody("draft", { max_tokens: "many" }), authorization],
            ["unserved field", buildChatBody("draft", { n: 3 }), authorization],
            ["no messages", JSON.stringify({ model: "draft" }), authorization],
            ["too large", buildChatBody("draft", { user: "x".repeat(3_000) }), authorization],
            ["malformed Idempotency-Key", buildChatBody("draft"), { ...authorization, "idempotency-key": "a b" }],
            ["key in the prompt", buildChatBody("draft", { stop: [grantedKey] }), authorization],
        ];
        const seen: Record<string, unknown> = {};
        for (const [name, body, headers] of cases) {
            const response = await sendChat(body, headers);
            const headerValues = Object.fromEntries(
                ["x-oriolehatch-outcome", "retry-after", "x-should-retry"].map(header => [
                    header,
                    response.headers.get(header) ?? "-",
                ]),
            );
            seen[name] = { status: response.status, ...headerValues, body: await response.json() };
        }
        expect(testServer.service.modelCalls.length).to.equal(5);
        expectSnapshot(this.test, seen);
    });

    it("rejects slow, half-closed, oversized and malformed requests before they run", async function() {
        const post = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n";
        const seen = {
            "slow body": await sendBytes(`${post}Content-Length: 100\r\n\r\n{`),
            "slow head": await sendBytes("POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Slow"),
            "half-closed body": await sendBytes(`${post}Content-Length: 100\r\n\r\n{`, true),
            "large head": await sendBytes(`${post}X-Large: ${"x".repeat(20_000)}\r\n\r\n`),
            "announced too large": await sendBytes(`${post}Content-Length: 99999\r\n\r\n`),
            "two lengths": await sendBytes(`${post}Content-Length: 1\r\nContent-Length: 2\r\n\r\n{}`),
            "length and chunks": await sendBytes(
                `${post}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
            ),
            "bad chunk": await sendBytes(`${post}Transfer-Encoding: chunked\r\n\r\nzz\r\n`),
            "no HTTP": await sendBytes("hello\r\n\r\n"),
            "two keys": await sendBytes(
                `${post}Authorization: Bearer abcdefghi\r\nAuthorization: Bearer abcdefghj\r\n\r\n`,
            ),
        };
        expect(testServer.service.modelCalls.length).to.equal(0);
        expectSnapshot(
            this.test,
            Object.fromEntries(
                Object.entries(seen).map(([name, text]) => [name, text.replaceAll("\r", "").split("\n")]),
            ),
        );
    });

    it("aborts the call when its client disconnects", async () => {
        const controller = new AbortController();
        const response = await fetch(`${testServer.url}/v1/chat/completions`, {
            method: "POST",
            body: buildChatBody("hangs", { stream: true }),
            headers: authorization,
            signal: controller.signal,
        });
        const reader = response.body!.getReader();
        await reader.read();
        expect(testServer.service.aborted).to.deep.equal([]);
        controller.abort();
        while (testServer.service.aborted.length === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        expect(testServer.service.aborted).to.deep.equal(["r1"]);
    });

    it("disconnects a client that does not read its response", async () => {
        const [host, port] = testServer.address.split(":");
        const socket = connect({ host, port: Number(port) });
        socket.on("error", () => undefined);
        socket.pause();
        const body = buildChatBody("floods", { stream: true });
        const head = `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${grantedKey}`;
        socket.write(`${head}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
        while (testServer.service.aborted.length === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        expect(testServer.service.aborted).to.deep.equal(["r1"]);
        socket.destroy();
    });

    it("finishes open responses while it stops, and reports that it is not ready", async () => {
        const response = await sendChat(buildChatBody("hangs", { stream: true }));
        const reader = response.body!.getReader();
        await reader.read();
        testServer.server.beginDrain();
        const ready = await fetch(`${testServer.url}/readyz`);
        expect([ready.status, await ready.json()]).to.deep.equal([503, { ready: false, reasons: ["draining"] }]);
        let isStopped = false;
        const stopping = testServer.server.stop().then(() => isStopped = true);
        await new Promise(resolve => setTimeout(resolve, 120));
        expect(isStopped).to.equal(false);
        await reader.cancel();
        await stopping;
        expect(isStopped).to.equal(true);
    });
});
