import { expect } from "chai";
import {
    buildDeliveredProgram,
    createMachine,
    type DeliveredMachine,
    type DeliveredProgram,
    sendClientRequest,
} from "./delivered/deliveredProgram.js";
import { drawOddRecords } from "./delivered/oddRecords.js";
import { createPlainConfiguration, plainRoute } from "./delivered/wireConfiguration.js";
import { startWireServer, type WireServer } from "./delivered/wireServers.js";
import { startWireStore, type WireStore } from "./delivered/wireStore.js";

const service = "order-app";
const requestIntervalMilliseconds = 40;
/** A change of the server list is followed within its pause and the wait of a read. */
const followedMilliseconds = 2_500;
/** Seeds of the odd records; more of them by hand. */
const seedCount = Number(process.env["ODD_RECORD_SEEDS"] ?? 2);
const oddRecordsPerSeed = 150;
const requestsPerSeed = 60;

/** Addresses that look like one and are none for the network; a program that reads them otherwise stays on this machine. */
const oddAddresses = [
    "127.0.0.1:99999",
    "127.0.0.1:65536",
    "127.0.0.256:80",
    "127.0.0.1:0",
    "127.0.0.1.1:80",
    "127.0.0.01:80",
];

interface TestDeployment {
    readonly store: WireStore;
    readonly servers: readonly WireServer[];
    readonly machines: readonly DeliveredMachine[];
    /** Sends requests to the machines in turn and returns their statuses. */
    readonly sendRequests: (name: string, count: number) => Promise<readonly (number | undefined)[]>;
    readonly addServer: (id: string) => Promise<WireServer>;
}

async function runDeployment(
    program: DeliveredProgram,
    play: (deployment: TestDeployment) => Promise<void>,
): Promise<void> {
    const store = await startWireStore();
    const closers: (() => unknown)[] = [store.close];
    const addServer = async (id: string): Promise<WireServer> => {
        const server = await startWireServer({ store, service, id });
        closers.push(server.close);
        return server;
    };
    try {
        store.put("keyed.op", "config", createPlainConfiguration(service));
        const servers = [await addServer("i-1"), await addServer("i-2")];
        const machines: DeliveredMachine[] = [];
        for (const number of [1, 2]) {
            const machine = await createMachine(program, number, store.address);
            closers.unshift(machine.kill);
            machine.start(true);
            machines.push(machine);
        }
        await Promise.all(machines.map(machine => machine.waitReady()));
        const sendRequests = async (name: string, count: number): Promise<readonly (number | undefined)[]> => {
            const statuses: (number | undefined)[] = [];
            for (let sent = 0; sent < count; sent++) {
                const machine = machines[sent % machines.length]!;
                const answer = await sendClientRequest({
                    host: machine.host,
                    port: machine.clientPort,
                    path: `${plainRoute.path}${sent}`,
                    headers: {
                        Host: plainRoute.host,
                        "X-Oriolehatch-Attempt-Id": `${name}-${sent}`,
                        "X-Oriolehatch-Deadline-Ms": "1500",
                    },
                    body: "order",
                });
                statuses.push(answer.status);
                await pause(requestIntervalMilliseconds);
            }
            return statuses;
        };
        await play({ store, servers, machines, sendRequests, addServer });
    }
    finally {
        for (const close of closers) {
            await close();
        }
    }
}

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

function expectSound(machines: readonly DeliveredMachine[], statuses: readonly (number | undefined)[]): void {
    const lastLines = machines.map(machine => machine.readOutput().slice(-2_000)).join("\n");
    expect(machines.map(machine => machine.countEnds()), lastLines).to.deep.equal(machines.map(() => 0));
    const failed = machines.flatMap(machine => machine.readOutput().split("\n"))
        .filter(line => line.includes('"outcome":') && !line.includes('"outcome":"answered"'));
    expect(statuses, failed.slice(-5).join("\n")).to.deep.equal(statuses.map(() => 200));
}

describe("delivered program beside odd entries of another writer", function() {
    this.timeout(120_000 + seedCount * 30_000);
    let program: DeliveredProgram;

    before(() => program = buildDeliveredProgram());
    after(() => program.remove());

    // guards against an entry that is accepted by its look and ends each process at the first request that uses it
    it("serves all requests and no process ends when an entry's address is none for the network", () =>
        runDeployment(program, async ({ store, servers, machines, sendRequests }) => {
            oddAddresses.forEach((address, index) =>
                store.put("keyed.servers", `i-odd-${index}`, JSON.stringify({ ...servers[0]!.entry, address }))
            );
            await pause(followedMilliseconds);
            expectSound(machines, await sendRequests("attempt", 24));
        }));

    // guards against odd records that end a process, stop what follows the store, or take requests from sound servers
    it("goes on serving and following while records of all topics are odd", () =>
        runDeployment(program, async ({ store, servers, machines, sendRequests, addServer }) => {
            const entry = servers[0]!.entry;
            const instance = { address: "127.0.0.1:9", failureDomain: "z", cores: 0 };
            const version = { model: "base", adapter: "a1", version: 2 };
            const quarantine = { kind: "request", digest: "d", trials: 0 };
            for (let seed = 1; seed <= seedCount; seed++) {
                const draw = drawOddRecords;
                const entries = draw(entry, ["service", "address", "zone", "state"], seed, oddRecordsPerSeed);
                entries.forEach((content, index) => store.put("keyed.servers", `i-odd-${index}`, content));
                store.put("keyed.servers", "__proto__", entries[0]);
                draw(version, ["model", "adapter", "version"], seed, oddRecordsPerSeed)
                    .forEach((content, index) => store.put("keyed.op", `version/odd.${index}`, content));
                draw(instance, ["address"], seed, oddRecordsPerSeed)
                    .forEach((content, index) => store.put("keyed.oriolehatch-instances", `odd-${index}`, content));
                draw(quarantine, ["digest", "trials"], seed, oddRecordsPerSeed)
                    .forEach((content, index) => store.put("keyed.oriolehatch-quarantines", `odd-${index}`, content));
                draw({ streams: [{ origin: { service }, keys: ["k"] }] }, ["streams"], seed, oddRecordsPerSeed)
                    .forEach(content => store.append("oriolehatch-streams", content));
                expectSound(machines, await sendRequests(`seed-${seed}`, requestsPerSeed));
                const added = await addServer(`i-added-${seed}`);
                await pause(followedMilliseconds);
                expectSound(machines, await sendRequests(`after-${seed}`, requestsPerSeed));
                expect(added.countRuns(), `requests of the server added after the records of seed ${seed}`)
                    .to.be.above(0);
            }
            // what was written meanwhile is read whole by a process that starts
            await machines[0]!.kill();
            machines[0]!.start(false);
            await machines[0]!.waitReady();
            expectSound(machines, await sendRequests("restarted", requestsPerSeed));
        }));
});
