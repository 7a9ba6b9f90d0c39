import { expect } from "chai";
import {
    buildDeliveredProgram,
    createMachine,
    type DeliveredMachine,
    sendClientRequest,
} from "./delivered/deliveredProgram.js";
import { createPlainConfiguration, plainRoute } from "./delivered/wireConfiguration.js";
import { startWireServer } from "./delivered/wireServers.js";
import { startWireStore } from "./delivered/wireStore.js";

const service = "order-app";
const requestCount = 24;
const requestIntervalMilliseconds = 40;
/** A change of the server list is followed within its pause and the wait of a read. */
const followedMilliseconds = 2_500;

/** Addresses that look like one and are none for the network; a program that reads them otherwise stays on this machine. */
const oddAddresses = [
    "127.0.0.1:99999",
    "127.0.0.1:65536",
    "127.0.0.256:80",
    "127.0.0.1:0",
    "127.0.0.1.1:80",
    "127.0.0.01:80",
];

describe("delivered program beside odd entries of another writer", function() {
    this.timeout(120_000);

    // guards against an entry that is accepted by its look and ends each process at the first request that uses it
    it("serves all requests and no process ends when an entry's address is none for the network", async () => {
        const program = buildDeliveredProgram();
        const store = await startWireStore();
        const closers: (() => unknown)[] = [store.close, program.remove];
        try {
            store.put("keyed.op", "config", createPlainConfiguration(service));
            const servers = await Promise.all(
                ["i-1", "i-2"].map(id => startWireServer({ store, service, id })),
            );
            closers.push(...servers.map(server => server.close));
            const machines: DeliveredMachine[] = [];
            for (const number of [1, 2]) {
                const machine = await createMachine(program, number, store.address);
                closers.unshift(machine.kill);
                machine.start(true);
                machines.push(machine);
            }
            await Promise.all(machines.map(machine => machine.waitReady()));
            oddAddresses.forEach((address, index) =>
                store.put("keyed.servers", `i-odd-${index}`, JSON.stringify({ ...servers[0]!.entry, address }))
            );
            await new Promise(resolve => setTimeout(resolve, followedMilliseconds));
            const statuses: (number | undefined)[] = [];
            for (let sent = 0; sent < requestCount; sent++) {
                const machine = machines[sent % machines.length]!;
                const answer = await sendClientRequest({
                    host: machine.host,
                    port: machine.clientPort,
                    path: `${plainRoute.path}${sent}`,
                    headers: {
                        Host: plainRoute.host,
                        "X-Oriolehatch-Attempt-Id": `attempt-${sent}`,
                        "X-Oriolehatch-Deadline-Ms": "1500",
                    },
                    body: "order",
                });
                statuses.push(answer.status);
                await new Promise(resolve => setTimeout(resolve, requestIntervalMilliseconds));
            }
            expect(machines.map(machine => machine.countEnds()), machines[0]!.readOutput().slice(-3_000))
                .to.deep.equal([0, 0]);
            expect(statuses).to.deep.equal(statuses.map(() => 200));
        }
        finally {
            for (const close of closers) {
                await close();
            }
        }
    });
});
