import { expect } from "chai";
import type { PeerNetwork } from "../../peers/index.js";
import { type ColdServers, createColdServers } from "../../serving/coldServers.js";
import { createRegions, type Regions } from "../../serving/homes.js";
import { type BackendServer, formatServerRunId, type PlaceOutcome } from "../../serving/types.js";
import { type Clock, createSeededRandom, wrapError, wrapValue } from "../../shared/index.js";
import { startDetached } from "../../testing/index.js";
import { type AdapterCoordinator, createAdapterCoordinator } from "../adapterCoordinator.js";
import type { AdapterMessage } from "../messages.js";
import type { AcquireRequest } from "../placeClient.js";
import type { ShardTask } from "../shardTask.js";
import { createTestServer, testLimits } from "./testEngine.js";

interface CoordinatorHooks {
    /** Called with each order; an order for which this returns `"silence"` never gets a response. */
    readonly onOrder?: (server: BackendServer) => unknown;
    readonly onMessage?: (message: AdapterMessage) => void;
    readonly listUsable?: () => readonly BackendServer[];
    /** Regions by failure domain. */
    readonly regions?: Regions;
    /** Called with each report that is read. */
    readonly onReport?: (server: BackendServer) => void;
    readonly isEvacuated?: (server: BackendServer) => boolean;
    /** Called with each order that loads an adapter. */
    readonly onLoad?: (server: BackendServer, adapter: string) => void;
    /** Time that has passed in addition to sleeps. @default none */
    readonly readWaited?: () => number;
    /** Creates the table of cold servers. @default none is ever cold */
    readonly createCold?: (clock: Pick<Clock, "now">) => ColdServers;
}

// a coordinator that holds the shards of all engines, beside another instance that holds a shard without engines
async function createCoordinator(
    servers: readonly BackendServer[],
    hooks: CoordinatorHooks = {},
): Promise<AdapterCoordinator> {
    let slept = 0;
    const readNow = (): number => slept + (hooks.readWaited?.() ?? 0);
    const loaded = new Set<string>();
    const network: PeerNetwork = {
        self: "i",
        send: (to, topic, message) => hooks.onMessage?.(message as AdapterMessage),
        request: () => Promise.resolve(wrapError({ kind: "timeout" })),
        handle: () => undefined,
    };
    const cold = hooks.createCold?.({ now: readNow });
    const coordinator = createAdapterCoordinator({
        ...cold && { cold },
        self: "i",
        runId: "i@1",
        failureDomain: "a",
        shardCount: 1,
        control: {
            order: (server, order) => {
                if (hooks.onOrder?.(server) === "silence") {
                    return new Promise(() => undefined);
                }
                const key = `${server.id} ${order.adapter}`;
                const isDone = loaded.has(key);
                if (!isDone) {
                    hooks.onLoad?.(server, order.adapter!);
                }
                loaded.add(key);
                return Promise.resolve({ kind: isDone ? "done" : "accepted" });
            },
            report: server => {
                hooks.onReport?.(server);
                return Promise.resolve(wrapValue({ startedAt: 1, sequence: 0, models: server.models, pending: [] }));
            },
        },
        clock: {
            now: readNow,
            // sleeps that can be cancelled are time limits, which don't pass here
            sleep: (duration, signal) => {
                slept += signal ? 0 : duration;
                return new Promise(resolve => signal ?? setImmediate(resolve));
            },
        },
        random: createSeededRandom(1),
        network,
        readHolders: () => Promise.resolve([[0, "i"], [1, "other"]]),
        listEngines: () => servers,
        listUsable: hooks.listUsable ?? (() => servers),
        mayReceive: () => true,
        isServing: run => hooks.listUsable?.().some(server => formatServerRunId(server) === run) ?? true,
        isLeaving: () => false,
        ...hooks.isEvacuated && { isEvacuated: hooks.isEvacuated },
        ...hooks.regions && { filterByRegions: hooks.regions.filterServers },
        onLeaving: () => undefined,
        findLimits: () => testLimits,
        versionGracePeriod: 5_000,
    });
    const shards = {
        find: () => ({ fencingNumber: 1, activeAt: 0 }),
        list: () => [0],
        isConfirmed: () => true,
        readEraJoinedAt: () => Number.NEGATIVE_INFINITY,
    } as unknown as ShardTask;
    coordinator.setShardTask(shards);
    coordinator.handleServers(servers, []);
    await coordinator.holders.reload();
    return coordinator;
}

function createRequest(listServers: () => readonly BackendServer[]): AcquireRequest {
    return {
        service: "llm",
        choice: { model: "base", adapter: "a1" },
        softwareVersion: undefined,
        listServers,
        excluded: new Set(),
        allowed: undefined,
        until: 5_000,
        deadlineAt: 10_000,
        priority: 0,
        usefulUntil: 600,
        signal: new AbortController().signal,
    };
}

describe("engine acquired for a request", () => {
    it("is an engine on which the adapter was loaded", async () => {
        const servers = [createTestServer("i-1"), createTestServer("i-2")];
        const coordinator = await createCoordinator(servers);
        const acquired = await coordinator.acquire(createRequest(() => servers));
        expect(servers).to.include(acquired!.server);
    });

    it("is not an engine that started to drain while the adapter was being loaded there", async () => {
        const servers = [createTestServer("i-1"), createTestServer("i-2")];
        const leaving = new Set<string>();
        let usable: readonly BackendServer[] = servers;
        const coordinator = await createCoordinator(servers, {
            onOrder: server => {
                if (leaving.size === 0) {
                    leaving.add(formatServerRunId(server));
                    usable = servers.filter(other => other !== server);
                }
            },
            listUsable: () => usable,
        });
        const acquired = await coordinator.acquire(createRequest(() => usable));
        expect(leaving.size).to.equal(1);
        expect(leaving.has(formatServerRunId(acquired!.server))).to.equal(false);
    });

    // guards against callers who wait for a load each when an engine leaves, though it went on answering meanwhile
    it("finds the adapters that were busy on a leaving engine on another one, the busiest loaded first", async () => {
        const servers = [createTestServer("i-1"), createTestServer("i-2")];
        let usable: readonly BackendServer[] = [servers[0]!];
        const loads: string[] = [];
        const coordinator = await createCoordinator(servers, {
            listUsable: () => usable,
            onLoad: (server, adapter) => loads.push(`${server.id} ${adapter}`),
        });
        for (const [adapter, uses] of [["a1", 2], ["a2", 1], ["a3", 4]] as const) {
            for (let use = 0; use < uses; use++) {
                const request = { ...createRequest(() => usable), choice: { model: "base", adapter } };
                (await coordinator.acquire(request))!.release("answered");
            }
        }
        usable = [servers[1]!];
        loads.length = 0;
        coordinator.tick();
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(loads).to.deep.equal(["i-2 a3", "i-2 a1"]);
        coordinator.tick();
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(loads).to.have.length(2);
    });

    // guards against callers who wait for loads on evacuated engines, and engines that stay unused after the withdrawal
    it("is another one than an evacuated one, whose adapters are loaded there, until its evacuation is withdrawn", async () => {
        const servers = [createTestServer("i-1"), createTestServer("i-2"), createTestServer("i-3")];
        const [staying, evacuated, later] = servers as [BackendServer, BackendServer, BackendServer];
        let usable: readonly BackendServer[] = [evacuated, later];
        const loads: string[] = [];
        const reports: string[] = [];
        const orders: string[] = [];
        let skipped = 0;
        const coordinator = await createCoordinator(servers, {
            listUsable: () => usable,
            readWaited: () => skipped,
            isEvacuated: server => !usable.includes(server) && server !== staying,
            onLoad: (server, adapter) => loads.push(`${server.id} ${adapter}`),
            onOrder: server => orders.push(server.id),
            onReport: server => reports.push(server.id),
        });
        const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 50));
        const held = (await coordinator.acquire(createRequest(() => usable)))!;
        (await coordinator.acquire(createRequest(() => usable)))!.release("answered");
        await pause();
        usable = [staying];
        loads.length = 0;
        reports.length = 0;
        orders.length = 0;
        coordinator.handleEvacuation();
        held.release("answered");
        // an adapter that was in use a moment ago isn't replaced
        skipped = 2_000;
        coordinator.recordVersion("base", "a1", 2, 0);
        coordinator.tick();
        await pause();
        expect(new Set(orders)).to.deep.equal(new Set(["i-1"]));
        expect([loads, reports]).to.deep.equal([["i-1 a1"], []]);
        const moved = await coordinator.acquire(createRequest(() => usable));
        expect(moved!.server).to.equal(staying);
        // a shard that is gained meanwhile brings no call to its engines
        coordinator.handleServers([], [evacuated, later]);
        coordinator.handleServers([evacuated, later], []);
        coordinator.tick();
        await pause();
        expect(reports).to.deep.equal([]);
        usable = servers;
        coordinator.handleEvacuation();
        await pause();
        expect(reports).to.have.members(["i-2", "i-3"]);
    });

    // guards against a request that waits for a full engine for its whole time, though the engine is evacuated meanwhile
    it("is looked for elsewhere at once by requests that wait for an evacuated engine", async () => {
        const servers = [createTestServer("i-1")];
        let usable: readonly BackendServer[] = servers;
        let ended = false;
        const coordinator = await createCoordinator(servers, { onOrder: () => "silence", listUsable: () => usable });
        const waiting = coordinator.acquire({
            ...createRequest(() => usable),
            until: 1e9,
            deadlineAt: 1e9,
            canWait: () => usable.length > 0,
        }).then(acquired => {
            ended = true;
            return acquired;
        });
        await new Promise(resolve => setTimeout(resolve, 20));
        expect(ended).to.equal(false);
        usable = [];
        coordinator.handleEvacuation();
        expect(await waiting).to.equal(undefined);
    });

    // guards against places and loads outside the homes of a request, also while the engines there are emptier
    it("is in one of the regions that the request names, on which the adapter is loaded, or none", async () => {
        const servers = ["a", "b", "x"].map((failureDomain, index) => ({
            ...createTestServer(`i-${index}`),
            failureDomain,
        }));
        const regions = createRegions(new Map([["a", "eu"], ["b", "us"]]), "eu");
        const loads: string[] = [];
        const coordinator = await createCoordinator(servers, { regions, onLoad: server => loads.push(server.id) });
        // a client of which the list isn't filtered, so that the holder alone decides
        for (const [home, expected] of [["us", "i-1"], ["eu", "i-0"], ["us", "i-1"]] as const) {
            const request = { ...createRequest(() => servers), regions: [home] };
            for (let count = 0; count < 4; count++) {
                expect((await coordinator.acquire(request))!.server.id).to.equal(expected);
            }
        }
        expect(loads).to.have.members(["i-1", "i-0"]);
        const request = { ...createRequest(() => servers), regions: ["ap"], until: 1e9, canWait: () => false };
        expect(await coordinator.acquire({ ...request, listServers: () => [] })).to.equal(undefined);
    });

    // guards against a stream that goes on at an engine of another software version, or waits where there is none of its own
    it("is one of the software version that the request is bound to, on which the adapter is loaded, or none", async () => {
        const versions = [undefined, "v1", "v1.1", 1];
        const servers = versions.map((softwareVersion, index) => ({
            ...createTestServer(`i-${index}`),
            softwareVersion,
        }));
        const loads: string[] = [];
        const coordinator = await createCoordinator(servers, { onLoad: server => loads.push(server.id) });
        for (const [softwareVersion, expected] of [["v1.1", "i-2"], [1, "i-3"], ["v1", "i-1"]] as const) {
            const acquired = await coordinator.acquire({ ...createRequest(() => servers), softwareVersion });
            expect(acquired!.server.id).to.equal(expected);
            expect(loads.at(-1)).to.equal(expected);
            acquired!.release("answered");
        }
        const sentAt = performance.now();
        const excluded = new Set(servers.map(formatServerRunId));
        const request = { ...createRequest(() => servers), softwareVersion: "v1", excluded, until: 1e9 };
        expect(await coordinator.acquire(request)).to.equal(undefined);
        expect(performance.now() - sentAt).to.be.below(100);
    });

    it("requires the version once requests may not start on older ones, also right after a load", async () => {
        const servers = [createTestServer("i-1")];
        const coordinator = await createCoordinator(servers);
        coordinator.recordVersion("base", "a1", 2, -4_000);
        const acquired = await coordinator.acquire(createRequest(() => servers));
        expect(acquired!.requiredVersion).to.equal(2);
    });

    // guards against a limit that only the instances keep to which the server has named it
    it("leaves out an engine that named a limit once it has no room, for the requests of all instances", async () => {
        const servers = [createTestServer("i-1"), createTestServer("i-2")];
        const coordinator = await createCoordinator(servers);
        const limited = (await coordinator.acquire(createRequest(() => servers)))!;
        limited.release("answered");
        const run = formatServerRunId(limited.server);
        const other = servers.find(server => server !== limited.server)!;
        startDetached(coordinator.handleMessage("other", { kind: "limit", run, requestsPerSecond: 0.001 }));
        for (let count = 0; count < 5; count++) {
            const acquired = await coordinator.acquire({
                ...createRequest(() => servers),
                until: 1e9,
                deadlineAt: 1e9,
            });
            expect(acquired!.server).to.equal(other);
            acquired!.release("answered");
        }
        startDetached(coordinator.handleMessage("other", { kind: "limit", run, requestsPerSecond: undefined }));
        const again = await coordinator.acquire({ ...createRequest(() => servers), until: 1e9, deadlineAt: 1e9 });
        expect(again!.server).to.equal(limited.server);
    });

    // guards against places on a cold engine that no permit covers, and permits that are lost with a 421
    it("takes a permit on an engine that another instance was told to be cold, and returns it on a 421", async () => {
        const servers = [createTestServer("i-1")];
        const run = formatServerRunId(servers[0]!);
        let waited = 0;
        const coordinator = await createCoordinator(servers, {
            readWaited: () => waited,
            createCold: clock => {
                const cold = createColdServers({
                    clock,
                    findService: name => ({ name, connectionLimit: 9, engine: testLimits, coldPerSecond: 2 }),
                    readBounds: () => ({ over: 2, slack: 5 }),
                });
                cold.readEntries(servers, true);
                return cold;
            },
        });
        let asks = 0;
        const requestPlace = async (outcome?: PlaceOutcome) => {
            const id = `other@1 ${asks++}`;
            const request = createRequest(() => servers);
            const times = { usefulFor: 600, patience: 5_000, deadline: 9_000, isLoadIgnored: true };
            const message = { ...request, ...request.choice, ...times, kind: "place", shard: 0, id, excluded: [] };
            const placed = await coordinator.handleMessage("other", message as unknown as AdapterMessage);
            outcome && startDetached(coordinator.handleMessage("other", { kind: "ended", id, outcome }));
            return placed?.kind === "placed" ? placed.permit : placed?.kind;
        };
        expect(await requestPlace("answered")).to.deep.equal({ isPaced: false, age: 0 });
        startDetached(coordinator.handleMessage("other", { kind: "limit", run, coldFor: 5_000 }));
        expect(await requestPlace()).to.equal("unavailable");
        waited += 500;
        expect(await requestPlace("missing")).to.deep.equal({ isPaced: true, age: 0 });
        // the adapter is loaded again first, which takes no time here
        expect(await requestPlace("answered")).to.deep.equal({ isPaced: true, age: 0 });
        expect(await requestPlace()).to.equal("unavailable");
        expect(coordinator.readPermitCounts()).to.include({ granted: 2, returned: 1 });
    });

    it("publishes the load counts when waiting loads become late, so that other holders don't wait", async () => {
        const servers = [createTestServer("i-1")];
        const published: AdapterMessage[] = [];
        const coordinator = await createCoordinator(servers, {
            onOrder: () => "silence",
            onMessage: message => published.push(message),
        });
        const readWaiting = (): number | undefined =>
            published.filter(message => message.kind === "loads").at(-1)?.waiting;
        for (let adapter = 0; adapter < 20; adapter++) {
            startDetached(coordinator.acquire({
                ...createRequest(() => servers),
                choice: { model: "base", adapter: `a${adapter}` },
            }));
        }
        const waitTurns = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 5));
        await waitTurns();
        expect(readWaiting()).to.be.greaterThan(0);
        for (let tick = 0; tick < 100; tick++) {
            coordinator.tick();
            await waitTurns();
        }
        expect(readWaiting()).to.equal(0);
    });
});
