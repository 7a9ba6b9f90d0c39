import { expect } from "chai";
import { createServerRecords, type ServerRecords } from "../../serving/serverRecords.js";
import { type BackendServer, formatServerRunId } from "../../serving/types.js";
import type { Milliseconds } from "../../shared/index.js";
import { createEngineLoads, type EngineLoads } from "../engineLoads.js";
import { createEnginePlaces, type EnginePlaces } from "../enginePlaces.js";
import { type EngineSelection, selectEngine, sumEngineLoad } from "../engineSelection.js";
import { adapterMessageSchema, type PlaceDemand } from "../messages.js";
import { createResidencyIndex } from "../residencyIndex.js";

const servers = ["e-0", "e-1"].map((id): BackendServer => ({
    id,
    startedAt: 1,
    service: "llm",
    address: "10.0.0.1:1",
    failureDomain: "a",
    isDraining: false,
    softwareVersion: "v1",
    slots: 8,
    models: [],
}));
const runs = servers.map(formatServerRunId);
const choice = { model: "base", adapter: "a" };
const longPrompt: PlaceDemand = { tokens: { prompt: 4_000, output: 100 }, parts: [["s", 1_500], ["r", 2_500]] };

interface Holder {
    readonly records: ServerRecords;
    readonly loads: EngineLoads;
    readonly places: EnginePlaces;
    readonly take: (id: string, engine: number, demand: PlaceDemand) => boolean;
    readonly select: (demand: PlaceDemand, isLoadIgnored?: boolean) => EngineSelection;
    readonly setTime: (time: Milliseconds) => void;
}

// a holder of two engines on which the adapter is resident
function createHolder(areNew: boolean, memoryTokens = 20_000): Holder {
    let now = 0;
    const records = createServerRecords();
    const residency = createResidencyIndex();
    const loads = createEngineLoads({ now: () => now, sleep: () => Promise.resolve() }, records);
    const places = createEnginePlaces(records, loads, { onTaken: () => undefined, onFreed: () => undefined });
    for (const server of servers) {
        const run = formatServerRunId(server);
        loads.open(server, memoryTokens, areNew);
        residency.replace({ run, models: [{ name: "base", adapters: [["a", 1]] }] });
    }
    return {
        records,
        loads,
        places,
        take: (id, engine, demand) =>
            places.take(id, { run: runs[engine]!, choice, expiresAt: 60_000, isPaced: false }, demand),
        select: (demand, isLoadIgnored = false) =>
            selectEngine({
                servers,
                records,
                failureDomain: "a",
                excluded: new Set(),
                now,
                choice,
                demand,
                residency,
                oldestVersion: undefined,
                isOrderAllowed: () => true,
                isUnavailableForLoad: () => false,
                meanLoad: 0,
                isLoadIgnored,
                isDiverted: false,
            }),
        setTime: time => {
            now = time;
        },
    };
}

function expectEngine(selection: EngineSelection, engine: number): void {
    expect(selection.kind === "resident" && selection.server).to.equal(servers[engine]);
}

describe("loads of the engines that a holder places requests on", () => {
    // guards against a long prompt that counts as a short one: the streams beside it pause while it is read
    it("sends a request to the engine with fewer tokens to read, also if it has more requests", () => {
        const { select, take } = createHolder(true);
        take("1", 0, longPrompt);
        take("2", 1, { tokens: { prompt: 60, output: 20 } });
        take("3", 1, { tokens: { prompt: 60, output: 20 } });
        expectEngine(select({ tokens: { prompt: 60, output: 20 } }), 1);
    });

    it("sends a prompt to the engine that has read its first parts", () => {
        const { places, select, setTime, take } = createHolder(true);
        take("1", 1, longPrompt);
        places.free("1", "answered");
        setTime(10_000);
        expectEngine(select({ tokens: { prompt: 2_000, output: 20 }, parts: [["s", 1_500], ["q", 500]] }), 1);
    });

    // guards against a request that has a running stream preempted, which then pauses until its prompt is read anew
    it("lets a request wait where no engine has memory for it, and not one that fits", () => {
        const { places, select, take } = createHolder(true);
        const demand = { tokens: { prompt: 18_000, output: 100 } };
        take("1", 0, demand);
        take("2", 1, demand);
        expect(select(longPrompt).kind).to.equal("busy");
        expect(select(longPrompt, true).kind).to.equal("full");
        expect(select({ tokens: { prompt: 60, output: 20 } }).kind).to.equal("resident");
        places.free("2", "answered");
        expectEngine(select(longPrompt), 1);
    });

    // guards against messages for each request: only a long prompt is worth one more than its end
    it("wants the first event of a long prompt that isn't cached, and learns from it that the prompt has been read", () => {
        const { loads, places, setTime, take } = createHolder(true);
        expect(take("1", 0, { tokens: { prompt: 300, output: 100 } })).to.equal(false);
        expect(take("2", 0, longPrompt)).to.equal(true);
        expect(take("3", 0, { ...longPrompt, tokens: { prompt: 2_000, output: 9 }, parts: [["s", 1_500], ["q", 500]] }))
            .to.equal(false);
        setTime(100);
        places.begin("2", { firstEventAfter: 100 });
        expect(loads.readStatus().engines[0]!.unreadTokens).to.be.at.most(500);
        places.begin("unknown", { firstEventAfter: 100 });
        expect([...loads.readStatus().placements]).to.deep.equal([["short", 1], ["long", 1], ["cached", 1]]);
    });

    // guards against a surge in which the holder that counts tokens is replaced, and the next one finds all engines empty
    it("takes engines of an earlier holder for half full until their reports or answers say more", () => {
        const { loads, places, records, setTime, take } = createHolder(false);
        expect(sumEngineLoad(servers, records, 0).requests).to.equal(8);
        loads.handleReport(runs[0]!, { running: 8, queued: 2, usedTokens: 19_000, totalTokens: 20_000 });
        loads.handleReport(runs[1]!, { running: 0, queued: 0, usedTokens: 9_000, totalTokens: 20_000 });
        expect(sumEngineLoad(servers, records, 0).requests).to.be.within(9, 10);
        setTime(500);
        take("1", 1, { tokens: { prompt: 60, output: 20 } });
        places.free("1", "answered", { firstEventAfter: 50, load: { running: 6, waiting: 0, age: 40 } });
        setTime(30_000);
        expect(sumEngineLoad(servers, records, 30_000).requests).to.be.lessThan(0.1);
    });

    it("ends where the engine is no longer held", () => {
        const { loads, places, records, take } = createHolder(true);
        take("1", 0, longPrompt);
        places.removeEngine(runs[0]!);
        loads.remove(runs[0]!);
        records.remove(runs[0]!);
        expect(places.free("1", "answered", { firstEventAfter: 100 })).to.equal(undefined);
        expect(loads.readStatus().engines).to.have.length(1);
    });

    // guards against an instance of the previous build, whose messages lack the new fields, or a figure that is none
    it("takes the end of a request with and without what its answer showed", () => {
        const ended = { kind: "ended", id: "1", outcome: "answered" };
        expect(adapterMessageSchema.safeParse(ended).success).to.equal(true);
        const load = { running: 1, waiting: 0, age: 10, slowness: 1.2 };
        expect(adapterMessageSchema.parse({ ...ended, firstEventAfter: 100, eventGap: 50, load })).to.deep.include({
            load,
        });
        expect(adapterMessageSchema.safeParse({ ...ended, firstEventAfter: -1 }).success).to.equal(false);
    });
});
