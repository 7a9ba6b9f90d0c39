import { expect } from "chai";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { findRequestFault } from "../requestCheck.js";
import { type AttemptRequest, createServerConnections, type ServerConnections } from "../serverConnections.js";
import { testCodec } from "./testCodec.js";

const connectionLimit = 2;
const attemptLimitMilliseconds = 1_000;
const sound = { method: "POST", target: "/a?b", headers: ["Host", "h", "Id", "1"] };
/** Requests that can't be sent, by what is wrong with them. */
const unsendable: Readonly<Record<string, Partial<AttemptRequest>>> = {
    "method with a space": { method: "GET /" },
    "empty method": { method: "" },
    "method that opens a tunnel": { method: "CONNECT" },
    "target without a slash": { target: "a" },
    "target with a space": { target: "/a b" },
    "target with a line break": { target: "/a\r\n" },
    "target with a letter beyond Latin-1": { target: "/\u20ac" },
    "odd list of headers": { headers: ["Host"] },
    "name with a space": { headers: ["A b", "1"] },
    "value with a line break": { headers: ["A", "1\r\nB: 2"] },
    "value beyond Latin-1": { headers: ["A", "\u20ac"] },
    "two hosts": { headers: ["Host", "a", "hOST", "b"] },
    "length of a body": { headers: ["Content-Length", "1x"] },
    expectation: { headers: ["Expect", "100-continue"] },
    "coding of the connection": { headers: ["Transfer-Encoding", "chunked"] },
};

describe("requests that can't be sent", () => {
    let server: Server;
    let connections: ServerConnections;
    let received: string[];
    beforeEach(async () => {
        received = [];
        server = createServer((request: IncomingMessage, response) => {
            received.push(`${request.method} ${request.url}`);
            response.writeHead(200, { id: "1", signed: "1" }).end();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        connections = createServerConnections({
            headers: testCodec,
            findConnectionLimit: () => connectionLimit,
            mayReceive: () => true,
            loop: { isLate: () => false, handleWaiting: () => Promise.resolve() },
            onLeaving: () => undefined,
            idleTimeout: 1_000,
        });
    });
    afterEach(() => {
        connections.close();
        server.close();
        server.closeAllConnections();
    });
    const send = (change: Partial<AttemptRequest> = {}): Promise<string> =>
        new Promise(resolve => {
            const timer = setTimeout(() => resolve("no end"), attemptLimitMilliseconds);
            const finish = (end: string): void => {
                clearTimeout(timer);
                resolve(end);
            };
            connections.send({
                server: {
                    id: "i-1",
                    startedAt: 1,
                    service: "s",
                    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
                    failureDomain: "a",
                    isDraining: false,
                    softwareVersion: "v1",
                    slots: 1,
                    models: [],
                },
                attemptId: "1",
                body: undefined,
                ...sound,
                ...change,
            }, {
                onHead: () => undefined,
                onData: () => undefined,
                onEnd: () => finish("end"),
                onFault: fault => finish(fault.kind),
            });
        });

    it("are told from others before a connection is taken", () => {
        expect(findRequestFault(sound)).to.equal(undefined);
        expect(findRequestFault({ ...sound, headers: ["A", "\t\xff", "A", ""] })).to.equal(undefined);
        for (const [name, change] of Object.entries(unsendable)) {
            expect(findRequestFault({ ...sound, ...change }), name).to.be.a("string");
        }
    });

    // guards against a fault of the request that counts against its server and takes a connection for good
    for (const [name, change] of Object.entries(unsendable)) {
        it(`end as a fault of their own and leave all connections: ${name}`, async () => {
            for (let sent = 0; sent <= connectionLimit; sent++) {
                expect(await send(change)).to.equal("unsendable");
            }
            expect(received).to.deep.equal([]);
            expect(await send()).to.equal("end");
        });
    }

    // guards against a connection that is lost where the HTTP client refuses more than the check does
    it("leave all connections also where only the HTTP client refuses them", async () => {
        for (let sent = 0; sent <= connectionLimit; sent++) {
            expect(await send({ body: 5 as never })).to.equal("unsendable");
        }
        expect(await send()).to.equal("end");
    });
});
