import { expect } from "chai";
import { createForwardingConnections } from "../../forwarding/index.js";
import type { PeerNetwork } from "../../peers/index.js";
import { createSeededRandom, createSystemClock, wrapError } from "../../shared/index.js";
import type { AttemptFault } from "../serverConnections.js";
import { type BackendServer, formatServerRunId } from "../types.js";
import { startTestFleet, type TestAnswer } from "./testFleet.js";

const unreadableBody = "bad";
const requestCount = 10;
/** Servers that end at the same moment are no evidence. */
const intervalMilliseconds = 150;
/** Time in which all instances learn of a quarantine. */
const spreadMilliseconds = 3_000;

function createServer(index: number): BackendServer {
    return {
        id: `s-${index}`,
        startedAt: 1,
        service: "llm",
        address: `127.0.0.1:${index}`,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 4,
        models: [],
    };
}

describe("answers that can't be read", () => {
    const heads: Readonly<Record<string, string | undefined>> = {
        "are too long": undefined,
        "have status 000": "HTTP/1.1 000 -\r\nContent-Length: 0\r\n\r\n",
        "have status 101": "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        "have status 600": "HTTP/1.1 600 -\r\nContent-Length: 0\r\n\r\n",
    };
    for (const [name, unreadableBytes] of Object.entries(heads)) {
        // guards against a request that is quarantined as if it had ended its servers, whose heads are at fault (REFUSED)
        it(`don't put the request into quarantine, at whichever instance it comes again, as their heads ${name}`, async () => {
            const fleet = await startTestFleet({
                instances: 2,
                servers: 5,
                unreadableBody,
                answerDuration: 60,
                ...unreadableBytes !== undefined && { unreadableBytes },
            });
            const answers: TestAnswer[] = [];
            const send = async (count: number): Promise<void> => {
                const request = {
                    path: "/lookup/a",
                    parts: [],
                    id: `r${count}`,
                    key: "acme-key",
                    body: unreadableBody,
                };
                answers.push(await fleet.send(count % 2, request));
            };
            for (let count = 0; count < requestCount; count++) {
                await send(count);
                await new Promise(resolve => setTimeout(resolve, intervalMilliseconds));
            }
            await new Promise(resolve => setTimeout(resolve, spreadMilliseconds));
            await send(requestCount);
            await send(requestCount + 1);
            await fleet.stop();
            expect(answers.map(({ status }) => status)).to.deep.equal(answers.map(() => 502));
            expect(fleet.arrivals.length).to.be.at.least(answers.length);
        }).timeout(30_000);
    }

    // guards against an instance that asks others to reach servers for it which it reaches itself
    it("show that their servers are reached", async () => {
        const fault: AttemptFault = { kind: "broken", detail: "", isNoAnswer: true };
        const faults: AttemptFault[] = [fault, fault, { kind: "notSent", detail: "" }];
        const servers = [1, 2, 3, 4].map(createServer);
        let questions = 0;
        const network: Pick<PeerNetwork, "request"> = {
            request: async () => {
                questions++;
                return wrapError({ kind: "timeout" });
            },
        };
        const connections = createForwardingConnections({
            runId: "i-0@1",
            failureDomain: "a",
            clock: createSystemClock(),
            random: createSeededRandom(1),
            network: network as PeerNetwork,
            direct: {
                send: (request, handlers) => {
                    setImmediate(() => handlers.onFault(faults.shift()!));
                    return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
                },
                remove: () => undefined,
                close: () => undefined,
            },
            listCandidates: () => [{ id: "i-1", failureDomain: "a" }],
            listServers: () => servers,
            findServer: run => servers.find(server => formatServerRunId(server) === run),
            probe: async () => false,
            onLeaving: () => undefined,
            isStopping: () => false,
            onForwarded: () => undefined,
        });
        for (const server of servers.slice(0, 3)) {
            const request = { server, attemptId: "a", method: "POST", target: "/", headers: [], body: undefined };
            await new Promise<void>(resolve =>
                connections.send(request, {
                    onHead: () => undefined,
                    onData: () => undefined,
                    onEnd: resolve,
                    onFault: () => resolve(),
                })
            );
        }
        expect(questions).to.equal(0);
    });
});
