import { expect } from "chai";
import { type BackendServer, formatServerRunId, type PlaceOutcome } from "../../serving/types.js";
import { createSeededRandom } from "../../shared/index.js";
import { createAdapterVersions } from "../adapterVersions.js";
import { createEngineShards } from "../engineShards.js";
import type { PlaceRequest, PlaceResponse } from "../messages.js";
import { type AcquireRequest, createPlaceClient, type PlaceClient } from "../placeClient.js";
import { createShardHolders } from "../shardHolders.js";
import { createRunningClock } from "./runningClock.js";
import { createTestServer } from "./testEngine.js";

const shardCount = 4;
const holderList = Array.from({ length: shardCount }, (unused, shard) => [shard, `h-${shard}`] as const);
const servers = Array.from({ length: 12 }, (unused, index) => createTestServer(`i-${index}`));
const shards = createEngineShards(shardCount);

type Answer = (
    holder: string,
    shard: number,
    request: PlaceRequest,
) => PlaceResponse | undefined | Promise<PlaceResponse>;

interface TestClient {
    readonly client: PlaceClient;
    readonly asked: string[];
    readonly ended: string[];
    /** Holders that were told that an engine leaves. */
    readonly told: string[];
    readonly acquire: (change?: Partial<AcquireRequest>) => ReturnType<PlaceClient["acquire"]>;
    readonly readTime: () => number;
}

/** As that of the instance. */
const holderTimeoutMilliseconds = 350;

async function createClient(
    answer: Answer,
    leaving: ReadonlySet<string> = new Set(),
    isStatedCold: (run: string) => boolean = () => false,
    confirmColdness: (holder: string) => boolean = () => true,
): Promise<TestClient> {
    const asked: string[] = [];
    const ended: string[] = [];
    const told: string[] = [];
    const clock = createRunningClock();
    const holders = createShardHolders({
        self: "self",
        clock,
        random: createSeededRandom(1),
        askInstance: () => Promise.resolve(holderList),
        readStore: () => Promise.resolve(holderList),
        onMoved: () => undefined,
    });
    await holders.reload();
    const client = createPlaceClient({
        runId: "self@1",
        clock,
        shards,
        holders,
        versions: createAdapterVersions(() => 5_000),
        isLimited: isStatedCold,
        isStatedCold,
        confirmColdness,
        isLeaving: run => leaving.has(run),
        reportLeaving: holder => told.push(holder),
        ask: async (holder, shard, request) => {
            asked.push(`${holder}${request.isLoadIgnored ? " again" : ""}`);
            const response = answer(holder, shard, request);
            await clock.sleep(response ? 1 : holderTimeoutMilliseconds);
            if (!response) {
                holders.markSilent(holder, "timeout");
            }
            return response;
        },
        begin: () => undefined,
        end: (holder: string, id: string, outcome: PlaceOutcome) => ended.push(`${holder} ${outcome}`),
    });
    return {
        client,
        asked,
        ended,
        told,
        readTime: clock.now,
        acquire: change =>
            client.acquire({
                service: "llm",
                choice: { model: "base", adapter: "a1" },
                softwareVersion: undefined,
                listServers: () => servers,
                excluded: new Set(),
                allowed: undefined,
                until: 2_000,
                deadlineAt: 10_000,
                priority: 0,
                usefulUntil: 600,
                signal: new AbortController().signal,
                ...change,
            }),
    };
}

const ranked = shards.rank(servers, "base/a1", 3);
const preferred = ranked.map(entry => `h-${entry.shard}`);
const createPlaced = (server: BackendServer): PlaceResponse => ({ kind: "placed", server });

describe("place on an engine", () => {
    it("is asked of the holder whose engine the adapter prefers, and given back with what was learned", async () => {
        const { acquire, asked, ended } = await createClient(() => createPlaced(ranked[0]!.engine));
        const acquired = await acquire();
        acquired!.release("answered");
        expect(acquired!.server).to.equal(ranked[0]!.engine);
        expect(asked).to.deep.equal([preferred[0]]);
        expect(ended).to.deep.equal([`${preferred[0]} answered`]);
    });

    // guards against a place that is given, on another shard, to a request that has gone on as its shard moved
    it("is told to be forgotten to a holder that has lost the shard while the request waited there", async () => {
        let asks = 0;
        const { acquire, ended } = await createClient(holder => {
            if (holder !== preferred[0]) {
                return createPlaced(ranked[1]!.engine);
            }
            asks++;
            return { kind: asks === 1 ? "waiting" : "notHolder" };
        });
        expect((await acquire())!.server).to.equal(ranked[1]!.engine);
        expect(ended).to.deep.equal([`${preferred[0]} unknown`]);
    });

    // guards against refused requests that are asked for again, or placed on a full engine all the same
    it("is asked for no more once a holder has refused it, whose time is told", async () => {
        const waits: number[] = [];
        const { acquire, asked } = await createClient(() => ({ kind: "refused", wait: 700 }));
        expect(await acquire({ route: "r", onRefused: wait => waits.push(wait) })).to.equal(undefined);
        expect([asked, waits]).to.deep.equal([[preferred[0]], [700]]);
    });

    it("is taken at the holder with the emptiest engine when all are busy", async () => {
        const loads = new Map(preferred.map((holder, index) => [holder, index === 1 ? 0.8 : 1.2]));
        const { acquire, asked } = await createClient((holder, shard, request) =>
            request.isLoadIgnored ? createPlaced(ranked[1]!.engine) : { kind: "busy", load: loads.get(holder)! }
        );
        expect((await acquire())!.server).to.equal(ranked[1]!.engine);
        expect(asked).to.deep.equal([...preferred, `${preferred[1]} again`]);
    });

    // guards against a holder that orders a load, and keeps a place, for a client that has left
    it("is told to be forgotten at once when the client leaves before the holder has answered", async () => {
        const leaving = new AbortController();
        const { acquire, asked, ended } = await createClient(() => new Promise(() => undefined));
        const acquiring = acquire({ signal: leaving.signal });
        leaving.abort();
        expect(await acquiring).to.equal(undefined);
        expect(asked).to.deep.equal([preferred[0]]);
        expect(ended).to.deep.equal([`${preferred[0]} unknown`]);
    });

    it("is asked of the next holder when one is silent, and the silent one is told to forget the request", async () => {
        const { acquire, asked, ended } = await createClient(holder =>
            holder === preferred[0] ? undefined : createPlaced(ranked[1]!.engine)
        );
        expect((await acquire())!.server).to.equal(ranked[1]!.engine);
        expect((await acquire())!.server).to.equal(ranked[1]!.engine);
        expect(asked).to.deep.equal([preferred[0], preferred[1], preferred[1]]);
        expect(ended).to.deep.equal([`${preferred[0]} unknown`]);
    });

    // guards against a place of a holder that doesn't know yet that its engine leaves
    it("is asked anew when the engine has told this instance that it leaves, and the holder is told", async () => {
        const [first, second] = servers;
        const staying = servers.filter(server => server !== first);
        let asks = 0;
        const { acquire, asked, told } = await createClient(
            () => createPlaced(asks++ === 0 ? first! : second!),
            new Set([formatServerRunId(first!)]),
        );
        expect((await acquire({ listServers: () => staying }))!.server).to.equal(second);
        expect([asks, told]).to.deep.equal([2, [asked[0]]]);
    });

    // guards against a flood of calls to a holder that goes on giving places on an engine that leaves
    it("is asked anew a few times only, and then of the next holders and after a pause", async () => {
        const [first] = servers;
        const { acquire, asked } = await createClient(() => createPlaced(first!), new Set([formatServerRunId(first!)]));
        const staying = servers.filter(server => server !== first);
        expect(await acquire({ listServers: () => staying, until: 400 })).to.equal(undefined);
        expect(asked.length).to.be.at.most(30);
    });

    // guards against places of a holder that doesn't know of an evacuation yet, or is of a build that knows no homes
    it("is asked anew without an engine that the request may not use, and without word that it leaves", async () => {
        const [first, second] = servers;
        const allowed = servers.filter(server => server !== first);
        const { acquire, asked, ended, told } = await createClient((holder, shard, request) =>
            createPlaced(request.excluded.includes(formatServerRunId(first!)) ? second! : first!)
        );
        const acquired = await acquire({ listServers: () => allowed, regions: ["eu"] });
        expect([acquired!.server, asked.length, told]).to.deep.equal([second, 2, []]);
        expect(ended).to.deep.equal([`${asked[0]} unknown`]);
    });

    // guards against requests that wait for their whole time while an evacuation or their homes leave them no engine
    it("isn't waited for once no engine can become usable, also at a holder that works on the request", async () => {
        for (const answer of [{ kind: "waiting" }, { kind: "unavailable" }] as const) {
            let usable = servers;
            const { acquire, readTime } = await createClient(() => {
                usable = [];
                return answer;
            });
            expect(await acquire({ listServers: () => usable, canWait: () => usable.length > 0 })).to.equal(undefined);
            expect(readTime()).to.be.below(200);
        }
    });

    it("is the adapter's last engine while its holder is silent", async () => {
        let isSilent = false;
        const { acquire } = await createClient(() => isSilent ? undefined : createPlaced(ranked[0]!.engine));
        await acquire();
        isSilent = true;
        const acquired = await acquire();
        expect(acquired!.server).to.equal(ranked[0]!.engine);
        const excluded = new Set([formatServerRunId(ranked[0]!.engine)]);
        expect(await acquire({ excluded })).to.equal(undefined);
    });

    it("is waited for as long as the holder says that it works on the request", async () => {
        let waits = 0;
        const { acquire, asked } = await createClient(() =>
            waits++ < 5 ? { kind: "waiting" } : createPlaced(ranked[0]!.engine)
        );
        expect((await acquire())!.server).to.equal(ranked[0]!.engine);
        expect(asked.length).to.equal(6);
    });

    it("is given back when the client has left meanwhile", async () => {
        const leaving = new AbortController();
        const { acquire, ended } = await createClient(() => {
            leaving.abort();
            return { kind: "waiting" };
        });
        expect(await acquire({ signal: leaving.signal })).to.equal(undefined);
        expect(ended).to.deep.equal([`${preferred[0]} unknown`]);
    });

    // guards against a request that is held here for as long as silent holders have time for their answers, and then refused
    it("isn't waited for past the time of the request while holders are silent, or say that they work on it", async () => {
        for (const until of [100, 300, 400, 1_250, 1_500]) {
            for (const answer of [undefined, { kind: "waiting" } as const]) {
                const { acquire, readTime, asked, ended } = await createClient(() => answer);
                expect(await acquire({ until })).to.equal(undefined);
                expect(readTime(), `${until} ${answer?.kind}`).to.equal(until);
                // the last one that was asked is told to forget the request
                expect(ended.at(-1)).to.equal(`${asked.at(-1)} unknown`);
            }
        }
    });

    it("isn't taken on an engine that this instance knows to be leaving", async () => {
        const { acquire, ended } = await createClient(() => createPlaced(ranked[0]!.engine));
        const usable = servers.filter(server => server !== ranked[0]!.engine);
        expect(await acquire({ listServers: () => usable, until: 100 })).to.equal(undefined);
        expect(ended[0]).to.match(/unknown$/);
    });
});

describe("place on a cold engine", () => {
    const run = formatServerRunId(ranked[0]!.engine);
    const request = { listServers: () => [ranked[0]!.engine], until: 100 };

    // guards against places that a holder of an older build gives, or one whose permit was long on its way
    it("is given back without a permit that is still valid", async () => {
        for (const permit of [undefined, { isPaced: true, age: 300 }]) {
            const { acquire, ended } = await createClient(
                () => ({ ...createPlaced(ranked[0]!.engine), permit } as PlaceResponse),
                new Set(),
                other => other === run,
            );
            expect(await acquire(request)).to.equal(undefined);
            expect(ended[0]).to.equal(`${preferred[0]} unknown`);
        }
    });

    it("is taken with a permit, which is void soon after it was given, or when the holder knows it to be warm", async () => {
        const permits = [{ isPaced: true, age: 100 }, { isPaced: false, age: 0 }];
        const untils = await Promise.all(permits.map(async permit => {
            const placed = { ...createPlaced(ranked[0]!.engine), permit } as PlaceResponse;
            const { acquire } = await createClient(() => placed, new Set(), other => other === run);
            return (await acquire(request))!.permit!.until;
        }));
        expect(untils).to.deep.equal([150, undefined]);
    });

    // guards against the burst of a holder that has just gained the shard and hasn't heard of the coldness yet
    it("is given back to a holder that doesn't know of the coldness, which is told of it once", async () => {
        const told: string[] = [];
        const { acquire, ended } = await createClient(
            () => ({ ...createPlaced(ranked[0]!.engine), permit: { isPaced: false, age: 0 } }),
            new Set(),
            other => other === run,
            holder => told.push(holder) > 1,
        );
        expect((await acquire({ ...request, until: 1_000 }))!.server).to.equal(ranked[0]!.engine);
        expect([ended, told]).to.deep.equal([[`${preferred[0]} unknown`], [preferred[0], preferred[0]]]);
    });

    // guards against a request that goes to the adapter's last engine without a permit, as its holder can't be reached
    it("isn't taken without a holder, though the adapter was there last", async () => {
        let isCold = false;
        const { acquire } = await createClient(
            () => isCold ? undefined : createPlaced(ranked[0]!.engine),
            new Set(),
            other => isCold && other === run,
        );
        await acquire();
        isCold = true;
        expect(await acquire({ until: 1_000 })).to.equal(undefined);
    });
});

describe("ranking of shards", () => {
    it("sends an adapter to the same shard when another engine is added, unless that engine is preferred", () => {
        const added = [...servers, createTestServer("i-new")];
        let moved = 0;
        for (let adapter = 0; adapter < 1_000; adapter++) {
            const before = shards.rank(servers, `a${adapter}`, 1)[0]!;
            const after = shards.rank(added, `a${adapter}`, 1)[0]!;
            if (before.engine !== after.engine) {
                expect(after.engine.id).to.equal("i-new");
                moved++;
            }
        }
        expect(moved / 1_000).to.be.closeTo(1 / 13, 0.03);
    });
});
