import { expect } from "chai";
import fc from "fast-check";
import { request } from "node:http";
import { expectSnapshot } from "../../testing/index.js";
import { filterRequestHeaders, parseServiceTarget } from "../serviceRequest.js";
import { createTestServer, grantedKey, type TestServer } from "./fakeService.js";

const targets = [
    "/services/orders",
    "/services/orders/",
    "/services/orders/a/b?x=1&y=%2F..",
    "/services/orders/a%20b/%C3%A9;v=1",
    "/services/orders/../admin",
    "/services/orders/./a",
    "/services/orders/..;x/a",
    "/services/orders/%2e%2e/a",
    "/services/orders/a%2fb",
    "/services/orders/a%5Cb",
    "/services/orders/a\\b",
    "/services/orders/a%00b",
    "/services/orders/a%zz",
    "/services/orders//a",
    "/services//orders",
    "/services/../v1/models",
    "/services/or%64ers/a",
    "/services/orders/a#b",
    "/services/orders/a?x=\u00e9",
    "http://elsewhere/services/orders/a",
    "*",
];

describe("requests to plain services", () => {
    let testServer: TestServer;

    beforeEach(async () => {
        testServer = await createTestServer();
    });
    afterEach(() => testServer.server.stop());

    const send = (method: string, path: string, headers = {}): Promise<{ status: number; headers: object; }> =>
        new Promise((resolve, reject) => {
            const [host, port] = testServer.address.split(":");
            const all = { authorization: `Bearer ${grantedKey}`, ...headers };
            const call = request({ host, port, method, path, headers: all }, response => {
                response.resume();
                response.once("end", () => resolve({ status: response.statusCode ?? 0, headers: response.headers }));
            });
            call.once("error", reject);
            call.end();
        });

    it("forwards only paths that all servers interpret in the same way", function() {
        const seen = targets.map(target => {
            const parsed = parseServiceTarget(target);
            return `${target} -> ${parsed.ok ? `${parsed.value.route} ${parsed.value.path}` : parsed.error}`;
        });
        expectSnapshot(this.test, seen.join("\n"));
    });

    it("never forwards a path that could point outside its route", () => {
        const piece = fc.constantFrom(
            "a",
            "..",
            ".",
            "/",
            "//",
            "%2e",
            "%2E%2e",
            "%2f",
            "%5c",
            "\\",
            ";",
            "?",
            "%00",
            "%25",
            "%252e",
            "\u00ff",
            "#",
            " ",
            "%",
        );
        fc.assert(
            fc.property(fc.array(piece, { maxLength: 12 }), pieces => {
                const parsed = parseServiceTarget(`/services/orders/${pieces.join("")}`);
                if (!parsed.ok) {
                    return;
                }
                const path = parsed.value.path.split("?")[0]!;
                const url = new URL(`http://x/root${path}`);
                expect(url.pathname).to.equal(`/root${path}`);
                expect(decodeURIComponent(path)).to.not.match(/[\\\0]|\/\.{1,2}(\/|$)/);
            }),
            { seed: 3, numRuns: 5_000 },
        );
    });

    it("removes hop-by-hop headers and the API key", () => {
        const headers = filterRequestHeaders({
            connection: "close, X-Private",
            "x-private": "1",
            authorization: "Bearer x",
            te: "trailers",
            upgrade: "h2c",
            host: "here",
            accept: "text/plain",
            "x-request-id": "mine",
            "transfer-encoding": "chunked",
        });
        expect(headers).to.deep.equal({ accept: "text/plain" });
    });

    it("forwards requests of every supported method with their outcome, and rejects all others", async function() {
        const seen: Record<string, unknown> = {};
        for (const method of ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "PROPFIND"]) {
            const answer = await send(method, "/services/orders/a?b=1");
            const { date, ...headers } = answer.headers as Record<string, string>;
            expect(date).to.be.a("string");
            seen[method] = { status: answer.status, ...headers };
        }
        seen["lost"] = (await send("POST", "/services/lost/a")).status;
        seen["upgrade"] =
            (await send("GET", "/services/orders/a", { connection: "upgrade", upgrade: "websocket" })).status;
        seen["unknown path"] = (await send("GET", "/elsewhere")).status;
        seen["absolute form"] = (await send("GET", "http://elsewhere/services/orders")).status;
        expect(testServer.service.serviceCalls.map(call => call.method)).to.deep.equal([
            "GET",
            "HEAD",
            "POST",
            "PUT",
            "PATCH",
            "DELETE",
            "OPTIONS",
            "POST",
            "GET",
        ]);
        expect(testServer.service.serviceCalls.some(call => "upgrade" in call.headers)).to.equal(false);
        expectSnapshot(this.test, seen);
    });
});
