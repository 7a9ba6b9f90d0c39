import { expect } from "chai";
import { Agent, request as sendHttp } from "node:http";
import { connect } from "node:net";
import {
    buildDeliveredProgram,
    createMachine,
    type DeliveredMachine,
    type DeliveredProgram,
    sendClientRequest,
} from "./delivered/deliveredProgram.js";
import { createPlainConfiguration, plainRoute } from "./delivered/wireConfiguration.js";
import { startWireServer } from "./delivered/wireServers.js";
import { startWireStore, type WireStore } from "./delivered/wireStore.js";

const service = "order-app";
/** More than the connections that one instance may open to two servers, of 32 each. */
const oddRequestCount = 90;
const soundRequestCount = 10;
const followedMilliseconds = 1_500;

interface Stage {
    readonly store: WireStore;
    readonly machine: DeliveredMachine;
    readonly send: (attemptId: string, headers?: Readonly<Record<string, string>>) => Promise<number | undefined>;
}

interface StageOptions {
    readonly change?: (configuration: { tenants?: unknown; routes: { public: boolean; }[]; limits: object; }) => void;
    readonly prepare?: (store: WireStore, entry: Readonly<Record<string, unknown>>) => unknown;
}

describe("delivered program and values that its HTTP client or server refuses", function() {
    this.timeout(40_000);
    let program: DeliveredProgram;
    before(() => program = buildDeliveredProgram());
    after(() => program.remove());
    let number = 0;

    const runStage = async (options: StageOptions, act: (stage: Stage) => Promise<void>): Promise<void> => {
        const store = await startWireStore();
        const closers: (() => unknown)[] = [store.close];
        try {
            const configuration = JSON.parse(createPlainConfiguration(service));
            options.change?.(configuration);
            store.put("keyed.op", "config", JSON.stringify(configuration));
            const servers = await Promise.all(
                ["i-1", "i-2"].map(id => startWireServer({ store, service, id })),
            );
            closers.push(...servers.map(server => server.close));
            const machine = await createMachine(program, ++number, store.address);
            closers.unshift(machine.kill);
            machine.start(true);
            await machine.waitReady();
            await options.prepare?.(store, servers[0]?.entry ?? {});
            await new Promise(resolve => setTimeout(resolve, followedMilliseconds));
            await act({
                store,
                machine,
                send: async (attemptId, headers = {}) => {
                    const answer = await sendClientRequest({
                        host: machine.host,
                        port: machine.clientPort,
                        path: `${plainRoute.path}${attemptId}`,
                        headers: {
                            Host: plainRoute.host,
                            "X-Oriolehatch-Attempt-Id": attemptId,
                            "X-Oriolehatch-Deadline-Ms": "1500",
                            ...headers,
                        },
                        body: "order",
                    });
                    return answer.status;
                },
            });
        }
        finally {
            for (const close of closers) {
                await close();
            }
        }
    };
    const sendSound = async (stage: Stage, headers?: Readonly<Record<string, string>>): Promise<void> => {
        const statuses: (number | undefined)[] = [];
        for (let sent = 0; sent < soundRequestCount; sent++) {
            statuses.push(await stage.send(`sound-${sent}`, headers));
        }
        expect(statuses, stage.machine.readOutput().slice(-2_000)).to.deep.equal(statuses.map(() => 200));
        expect(stage.machine.countEnds()).to.equal(0);
    };

    // guards against requests that the HTTP client refuses and that keep a connection each, until none is left for others
    it("has connections for all after requests with two Host headers", () =>
        runStage({}, async stage => {
            const { host, clientPort } = stage.machine;
            const answers = new Set<string>();
            for (let sent = 0; sent < oddRequestCount; sent++) {
                const answer = await sendRaw(
                    { host, port: clientPort },
                    `GET ${plainRoute.path}${sent} HTTP/1.1\r\nHost: other.example\r\nHost: ${plainRoute.host}\r\n` +
                        `X-Oriolehatch-Attempt-Id: odd-${sent}\r\nConnection: close\r\n\r\n`,
                );
                answers.add(answer);
            }
            await sendSound(stage);
            expect([...answers]).to.deep.equal(["HTTP/1.1 400 Bad Request"]);
        }));

    // guards against an account whose name can't be sent, and that takes all connections from the others
    it("has connections for all after requests of an account whose name no header can hold", () =>
        runStage({
            change: configuration => {
                configuration.routes.forEach(route => route.public = false);
                configuration.tenants = [{ name: "\u20ac", api_keys: ["k"] }, { name: "b", api_keys: ["k2"] }];
            },
        }, async stage => {
            for (let sent = 0; sent < oddRequestCount; sent++) {
                await stage.send(`odd-${sent}`, { "X-Oriolehatch-Key": "k" });
            }
            await sendSound(stage, { "X-Oriolehatch-Key": "k2" });
        }));

    // guards against an entry whose id can't be sent
    it("serves all requests beside an entry whose id no header can hold", () =>
        runStage({
            prepare: (store, entry) => store.put("keyed.servers", "i-\u20ac", JSON.stringify(entry)),
        }, async stage => {
            for (let sent = 0; sent < oddRequestCount; sent++) {
                await stage.send(`more-${sent}`);
            }
            await sendSound(stage);
        }));

    // guards against a time that the socket refuses when an answer ends, which ends the process
    it("doesn't end at the second request on a connection when the idle timeout is negative", () =>
        runStage({
            change: configuration => configuration.limits = { ...configuration.limits, idle_timeout_ms: -5_000 },
        }, async stage => {
            const agent = new Agent({ keepAlive: true, maxSockets: 1 });
            for (let sent = 0; sent < 2; sent++) {
                await sendKept(stage.machine, agent, `kept-${sent}`);
            }
            agent.destroy();
            await new Promise(resolve => setTimeout(resolve, 500));
            expect(stage.machine.countEnds(), stage.machine.readOutput().slice(-1_000)).to.equal(0);
        }));
});

function sendRaw(address: { readonly host: string; readonly port: number; }, text: string): Promise<string> {
    return new Promise(resolve => {
        let received = "";
        const socket = connect(address, () => socket.write(text));
        socket.on("data", data => received += data.toString("latin1"));
        socket.on("error", () => undefined);
        const timer = setTimeout(() => socket.destroy(), 1_000);
        socket.once("close", () => {
            clearTimeout(timer);
            resolve(received.split("\r\n")[0]!);
        });
    });
}

function sendKept(machine: DeliveredMachine, agent: Agent, attemptId: string): Promise<void> {
    return new Promise(resolve => {
        const sent = sendHttp({
            host: machine.host,
            port: machine.clientPort,
            path: `${plainRoute.path}${attemptId}`,
            headers: { Host: plainRoute.host, "X-Oriolehatch-Attempt-Id": attemptId },
            agent,
        }, response => response.resume().once("end", resolve));
        sent.once("error", () => resolve());
        sent.end();
    });
}
