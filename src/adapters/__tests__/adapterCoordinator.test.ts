import { expect } from "chai";
import type { PeerNetwork } from "../../peers/index.js";
import { createServerRecords } from "../../serving/serverRecords.js";
import { type BackendServer, formatServerRun } from "../../serving/types.js";
import { wrapError, wrapValue } from "../../shared/index.js";
import { type AdapterCoordinator, createAdapterCoordinator } from "../adapterCoordinator.js";
import type { AcquireRequest } from "../engineFinder.js";
import type { AdapterMessage } from "../messages.js";
import type { ShardTask } from "../shardTask.js";
import { createTestServer, testLimits } from "./testEngine.js";

interface CoordinatorHooks {
    /** Called at each order; an order is never answered after `"silence"`. */
    readonly onOrder?: (server: BackendServer) => unknown;
    readonly onMessage?: (message: AdapterMessage) => void;
}

// a desk that holds the shards of all engines
function createCoordinator(servers: readonly BackendServer[], hooks: CoordinatorHooks = {}): AdapterCoordinator {
    let now = 0;
    const loaded = new Set<string>();
    const network: PeerNetwork = {
        self: "i",
        send: (to, topic, message) => hooks.onMessage?.(message as AdapterMessage),
        request: () => Promise.resolve(wrapError({ kind: "timeout" })),
        handle: () => undefined,
    };
    const coordinator = createAdapterCoordinator({
        self: "i",
        holder: "i",
        failureDomain: "a",
        shardCount: 1,
        control: {
            order: (server, order) => {
                if (hooks.onOrder?.(server) === "silence") {
                    return new Promise(() => undefined);
                }
                const key = `${server.id} ${order.adapter}`;
                const isDone = loaded.has(key);
                loaded.add(key);
                return Promise.resolve({ kind: isDone ? "done" : "accepted" });
            },
            report: server =>
                Promise.resolve(wrapValue({ startedAt: 1, sequence: 0, models: server.models, pending: [] })),
        },
        clock: {
            now: () => now,
            // the request's own time limit doesn't pass here
            sleep: duration => {
                now += duration < 1_000 ? duration : 0;
                return new Promise(resolve => duration < 1_000 && setImmediate(resolve));
            },
        },
        records: createServerRecords(),
        network,
        listPeers: () => ["other"],
        listEngines: () => servers,
        findLimits: () => testLimits,
        versionGracePeriod: 5_000,
    });
    const shards = { find: () => ({ fencingNumber: 1, activeAt: 0 }), list: () => [0] } as unknown as ShardTask;
    coordinator.setShardTask(shards);
    coordinator.handleServers(servers, []);
    return coordinator;
}

function createRequest(listServers: () => readonly BackendServer[]): AcquireRequest {
    return {
        choice: { model: "base", adapter: "a1" },
        listServers,
        excluded: new Set(),
        until: 5_000,
        priority: 0,
        usefulUntil: 600,
    };
}

describe("place for a request", () => {
    it("is an engine on which the adapter was loaded", async () => {
        const servers = [createTestServer("i-1"), createTestServer("i-2")];
        const place = await createCoordinator(servers).acquire(createRequest(() => servers));
        expect(servers).to.include(place!.server);
    });

    it("is no engine that began to leave while the adapter was being loaded there", async () => {
        const servers = [createTestServer("i-1"), createTestServer("i-2")];
        const leaving = new Set<string>();
        const desk = createCoordinator(servers, {
            onOrder: server => leaving.size === 0 && leaving.add(formatServerRun(server)),
        });
        const request = createRequest(() => servers.filter(server => !leaving.has(formatServerRun(server))));
        const place = await desk.acquire(request);
        expect(leaving.size).to.equal(1);
        expect(leaving.has(formatServerRun(place!.server))).to.equal(false);
    });

    it("holds an engine to the version once older ones may not be begun, also just after a load there", async () => {
        const servers = [createTestServer("i-1")];
        const desk = createCoordinator(servers);
        desk.recordVersion("base", "a1", 2, -4_000);
        const place = await desk.acquire(createRequest(() => servers));
        expect(place!.requiredVersion).to.equal(2);
    });

    it("tells the others when loads that wait have become late, so that these don't wait for them", async () => {
        const servers = [createTestServer("i-1")];
        const told: AdapterMessage[] = [];
        const desk = createCoordinator(servers, { onOrder: () => "silence", onMessage: message => told.push(message) });
        const readWaiting = (): number | undefined => told.filter(message => message.kind === "loads").at(-1)?.waiting;
        for (let adapter = 0; adapter < 20; adapter++) {
            void desk.acquire({ ...createRequest(() => servers), choice: { model: "base", adapter: `a${adapter}` } });
        }
        const waitTurns = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 5));
        await waitTurns();
        expect(readWaiting()).to.be.greaterThan(0);
        for (let tick = 0; tick < 100; tick++) {
            desk.publish();
            await waitTurns();
        }
        expect(readWaiting()).to.equal(0);
    });
});
