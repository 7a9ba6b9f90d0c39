import { expect } from "chai";
import type { ClientRequest } from "../../serving/types.js";
import { createPlatformHeaderCodec } from "../headers.js";

const platformHeaderCodec = createPlatformHeaderCodec(() => undefined);

const rawRequest = [
    "Host",
    "Shop.example:8221",
    "X-Oriolehatch-Attempt-Id",
    "9c41",
    "X-Oriolehatch-Deadline-Ms",
    "12000",
    "X-Oriolehatch-Key",
    "secretkey",
    "X-Oriolehatch-Tenant",
    "forged",
    "X-Oriolehatch-Expect-Instance",
    "forged",
    "X-Oriolehatch-Request-Priority",
    "0",
    "X-Oriolehatch-Expect-Version",
    "9",
    "X-Oriolehatch-Hold",
    "h",
    "X-Oriolehatch-Pin-Ms",
    "100",
    "X-Oriolehatch-Kv-Backup",
    "10.0.0.1:1",
    "Kv-From",
    "10.0.0.1:1/x",
    "Kv-Fetch",
    "10.0.0.1:1",
    "X-Oriolehatch-Model",
    "base/a17",
    "X-Oriolehatch-Token-Counts",
    "1460,80",
    "X-Oriolehatch-Prompt-Prefix",
    "5c1e:800",
    "Last-Event-Id",
    "12",
    "Connection",
    "keep-alive, X-Private",
    "X-Private",
    "1",
    "Content-Length",
    "3",
];

function decodeRawRequest(): ClientRequest {
    return platformHeaderCodec.decodeRequest("POST", "/a/b?c=d", rawRequest);
}

function encodeForwarded(lastEventId?: string): Map<string, string> {
    const headers = platformHeaderCodec.encodeForwardedHeaders(decodeRawRequest(), {
        server: "i-1",
        account: "acme",
        deadline: 987.6,
        priority: 3,
        version: 4,
        lastEventId,
    });
    const values = new Map<string, string>();
    for (let index = 0; index < headers.length; index += 2) {
        const name = headers[index]!.toLowerCase();
        expect(values.has(name), `${name} is set twice`).to.equal(false);
        values.set(name, headers[index + 1]!);
    }
    return values;
}

describe("platform headers", () => {
    it("decodes the headers of a client's request", () => {
        const request = decodeRawRequest();
        expect(request).to.deep.include({
            attemptId: "9c41",
            method: "POST",
            target: "/a/b?c=d",
            host: "shop.example",
            key: "secretkey",
            deadline: 12_000,
            choice: { model: "base", adapter: "a17" },
            tokens: { prompt: 1460, output: 80 },
            lastEventId: "12",
        });
    });

    it("tells requests for the rest of a stream, and the attempt that began it", () => {
        const decode = (...headers: string[]): ClientRequest["resumed"] =>
            platformHeaderCodec.decodeRequest("POST", "/", headers).resumed;
        expect(decode()).to.equal(undefined);
        expect(decode("Last-Event-Id", "12", "Resumes", " 9c41 ")).to.deep.equal({ firstAttemptId: "9c41" });
        const unnamed = { firstAttemptId: undefined };
        expect(decode("Last-Event-Id", "12")).to.deep.equal(unnamed);
        expect(decode("Last-Event-Id", "garbled")).to.deep.equal(unnamed);
        expect(decode("Resumes", "")).to.deep.equal(unnamed);
        expect(decode("Resumes", "two words")).to.deep.equal(unnamed);
        expect(decode("Resumes", "x".repeat(129))).to.deep.equal(unnamed);
    });

    it("tells the parts of a prompt that requests share from the part of the request itself", () => {
        const decode = (value: string): ClientRequest["prompt"] =>
            platformHeaderCodec.decodeRequest("GET", "/", ["X-Oriolehatch-Prompt-Prefix", value]).prompt;
        expect(decode("5C1e:800, 91bd:410,e440:250")).to.deep.equal({ shared: ["5c1e", "91bd"], own: "e440" });
        expect(decode("5c1e:800")).to.deep.equal({ shared: [], own: "5c1e" });
        expect(["", "x:1", "5c1e", "5c1e:1,,7:1"].map(decode)).to.deep.equal([
            undefined,
            undefined,
            undefined,
            undefined,
        ]);
        const many = Array.from({ length: 3_000 }, (unused, index) => `${index.toString(16)}:1`).join();
        expect(decode(many)!.shared).to.have.length(16);
    });

    it("decodes the tokens of a prompt's parts, and takes no part that can't be read for an empty one", () => {
        const decode = (value: string): ClientRequest["promptSizes"] =>
            platformHeaderCodec.decodeRequest("GET", "/", ["X-Oriolehatch-Prompt-Prefix", value]).promptSizes;
        expect(decode("5C1e:800, 91bd:410")).to.deep.equal([["5c1e", 800], ["91bd", 410]]);
        expect(decode("5c1e:99999999999999999999")).to.deep.equal([["5c1e", 1_000_000_000]]);
        expect(["", "x:1", "5c1e:-3"].map(decode)).to.deep.equal([undefined, undefined, undefined]);
        const many = Array.from({ length: 3_000 }, (unused, index) => `${index.toString(16)}:1`).join();
        expect(decode(many)).to.have.length(17);
    });

    it("decodes the limit that a server names, and keeps it from the client", () => {
        const decode = (value: string): number | undefined =>
            platformHeaderCodec.decodeResponseHead(200, ["Server-Limit", value]).requestLimit;
        expect(["1.25", "0.4", "0", "250"].map(decode)).to.deep.equal([1.25, 0.4, 0, 250]);
        expect(["-1", "soon", "", "1e9", "9999999999"].map(decode)).to.satisfy((all: unknown[]) =>
            all.every(limit => limit === undefined)
        );
        expect(platformHeaderCodec.decodeResponseHead(200, ["Server-Limit", "2"]).passedHeaders).to.deep.equal([]);
    });

    // guards against a cold server that is taken for warm, or one that is held for cold by a value that can't be read
    it("decodes how much longer a server stays cold, and keeps it from the client", () => {
        const decode = (value: string) => platformHeaderCodec.decodeResponseHead(200, ["X-Oriolehatch-Cold-Ms", value]);
        expect(["8000", "0", " 12.5 "].map(value => decode(value).coldFor)).to.deep.equal([8_000, 0, 12.5]);
        expect(["-1", "soon", "", "1e4"].map(value => decode(value).coldFor)).to.deep.equal(
            Array.from({ length: 4 }, () => "unreadable"),
        );
        expect(decode("5").passedHeaders).to.deep.equal([]);
        expect(platformHeaderCodec.decodeResponseHead(200, []).coldFor).to.equal(undefined);
    });

    it("treats invalid values as missing", () => {
        const raw = ["X-Oriolehatch-Deadline-Ms", "soon", "X-Oriolehatch-Token-Counts", "1", "X-Oriolehatch-Model", ""];
        const request = platformHeaderCodec.decodeRequest("GET", "/", raw);
        expect(request).to.deep.include({
            deadline: undefined,
            tokens: undefined,
            choice: undefined,
            attemptId: undefined,
        });
    });

    it("forwards neither the API key nor headers that a client may not set", () => {
        const values = encodeForwarded();
        expect([...values.values()].join("\n")).not.to.contain("secretkey").and.not.to.contain("forged");
        for (
            const name of [
                "x-oriolehatch-key",
                "x-oriolehatch-hold",
                "x-oriolehatch-pin-ms",
                "x-oriolehatch-kv-backup",
                "kv-from",
                "kv-fetch",
                "connection",
                "x-private",
                "content-length",
            ]
        ) {
            expect(values.has(name), name).to.equal(false);
        }
    });

    it("sets the platform's own headers on a forwarded request", () => {
        const values = encodeForwarded();
        expect(values.get("x-oriolehatch-tenant")).to.equal("acme");
        expect(values.get("x-oriolehatch-expect-instance")).to.equal("i-1");
        expect(values.get("x-oriolehatch-deadline-ms")).to.equal("987");
        expect(values.get("x-oriolehatch-request-priority")).to.equal("3");
        expect(values.get("x-oriolehatch-expect-version")).to.equal("4");
        expect(values.get("x-oriolehatch-prompt-prefix")).to.equal("5c1e:800");
        expect(values.get("last-event-id")).to.equal("12");
    });

    it("replaces the client's last event id when the stream continues after a later event", () => {
        expect(encodeForwarded("31").get("last-event-id")).to.equal("31");
    });

    // guards against a stream that goes on after another event than the client has (ORDER)
    it("decodes a last event id beyond 2^53 exactly, and passes one on that it can't decode", () => {
        for (const id of ["9007199254740993", "1796472600508000001", "18446744073709551615", "9".repeat(128)]) {
            const request = platformHeaderCodec.decodeRequest("POST", "/", ["Last-Event-Id", id]);
            expect(request.lastEventId, id).to.equal(id);
        }
        for (const text of ["9".repeat(129), "-1", "1.5", "12n", ""]) {
            const request = platformHeaderCodec.decodeRequest("POST", "/", ["Last-Event-Id", text]);
            expect(request.lastEventId, text).to.equal(undefined);
            expect(request.passedHeaders, text).to.deep.equal(["Last-Event-Id", text]);
        }
    });

    it("decodes the head of a server's response", () => {
        const head = platformHeaderCodec.decodeResponseHead(200, [
            "Content-Type",
            "text/event-stream",
            "X-Oriolehatch-Attempt-Id",
            "9c41",
            "X-Oriolehatch-Response-Signature",
            "sig",
            "X-Oriolehatch-Server-Load",
            "3,1,8",
            "Keep-Alive",
            "timeout=5",
            "Connection",
            "keep-alive",
        ]);
        expect(head).to.deep.include({
            status: 200,
            attemptId: "9c41",
            isSigned: true,
            isNotRun: false,
            isEventStream: true,
            contentLength: undefined,
            load: { running: 3, waiting: 1, slots: 8 },
        });
        expect(head.passedHeaders).to.deep.equal([
            "Content-Type",
            "text/event-stream",
            "X-Oriolehatch-Attempt-Id",
            "9c41",
            "X-Oriolehatch-Response-Signature",
            "sig",
        ]);
    });

    // guards against a figure that can't be read, which would cost the load beside it or make a server look infinitely fast
    it("decodes how long work takes on a server's machine", () => {
        const decode = (value: string) =>
            platformHeaderCodec.decodeResponseHead(200, ["X-Oriolehatch-Server-Load", value]).load;
        expect(decode("3,1,8,250")).to.deep.equal({ running: 3, waiting: 1, slots: 8, slowness: 2.5 });
        for (const value of ["3,1,8,0", "3,1,8,-5", "3,1,8,x", "3,1,8,99999", "3,1,8,"]) {
            expect(decode(value), value).to.deep.equal({ running: 3, waiting: 1, slots: 8 });
        }
    });

    // guards against a server that is overloaded further while it has asked for a pause; absurd values hold nobody back
    it("recognizes how long a server that turns requests away wants no more", () => {
        const decode = (status: number, value: string) =>
            platformHeaderCodec.decodeResponseHead(status, ["Retry-After", value]).retryAfter;
        expect(["2", "0.25", "99999999"].map(value => decode(503, value))).to.deep.equal([2_000, 250, 600_000]);
        expect(["-1", "x", "", "Fri, 04 Dec 2026 10:00:00 GMT"].map(value => decode(503, value))).to.deep.equal(
            [undefined, undefined, undefined, undefined],
        );
        expect(decode(429, "2")).to.equal(undefined);
    });

    // guards against a notice in responses that is passed over, so that a server that stops gets requests until its end
    it("recognizes responses of a server that is about to stop, and doesn't pass the notice on", () => {
        const decode = (value: string) => platformHeaderCodec.decodeResponseHead(200, ["Server-Leaving", value]);
        expect([decode("1"), decode(" 1 "), decode("0")].map(head => head.isLeaving)).to.deep.equal([
            true,
            true,
            false,
        ]);
        expect(platformHeaderCodec.decodeResponseHead(503, []).isLeaving).to.equal(false);
        expect(decode("1").passedHeaders).to.deep.equal([]);
    });

    it("recognizes responses which state that the request has not run", () => {
        const isNotRun = (status: number, headers: string[] = []): boolean =>
            platformHeaderCodec.decodeResponseHead(status, headers).isNotRun;
        expect(isNotRun(503, ["X-Oriolehatch-Not-Executed", "1"])).to.equal(true);
        expect(isNotRun(429, ["X-Oriolehatch-Not-Executed", "1"])).to.equal(true);
        expect(isNotRun(421)).to.equal(true);
        expect(isNotRun(503)).to.equal(false);
        expect(isNotRun(500)).to.equal(false);
        expect(isNotRun(504)).to.equal(false);
    });
});

describe("headers that a Connection header names", () => {
    // guards against an attempt without its id, whose answer counts as one to another request
    it("are passed on where the platform needs them", () => {
        const needed = ["Host", "X-Oriolehatch-Attempt-Id", "X-Oriolehatch-Model", "Last-Event-Id", "Resumes"];
        const raw = [...needed, "X-Private"].flatMap(name => [name, "1"]);
        const request = platformHeaderCodec.decodeRequest("GET", "/", [
            ...raw,
            "Connection",
            `close, X-Private, ${needed.join(", ")}`,
        ]);
        expect(request.passedHeaders).to.deep.equal(needed.flatMap(name => [name, "1"]));
    });

    it("are passed on to the client where it needs them", () => {
        const needed = ["X-Oriolehatch-Attempt-Id", "X-Oriolehatch-Response-Signature", "Content-Type", "Retry-After"];
        const { passedHeaders } = platformHeaderCodec.decodeResponseHead(200, [
            ...[...needed, "X-Private"].flatMap(name => [name, "1"]),
            "Connection",
            `X-Private, ${needed.join()}`,
        ]);
        expect(passedHeaders).to.deep.equal(needed.flatMap(name => [name, "1"]));
    });
});

describe("headers that a request may have once", () => {
    // guards against a request that is routed by one host and sent on with two
    it("are named when the request has them twice, in any case of letters", () => {
        const find = (...names: string[]): string | undefined =>
            platformHeaderCodec.decodeRequest("GET", "/", names.flatMap(name => [name, "1"])).repeatedHeader;
        expect(find("Host", "hOST")).to.equal("host");
        expect(find("Host", "X-Oriolehatch-Attempt-Id", "A", "x-oriolehatch-attempt-id")).to.equal(
            "x-oriolehatch-attempt-id",
        );
        expect(find("Host", "Accept", "Accept", "Cookie", "Cookie")).to.equal(undefined);
        expect(platformHeaderCodec.decodeRequest("GET", "/", ["A", "Host", "Host", "A"]).repeatedHeader).to.equal(
            undefined,
        );
    });
});
