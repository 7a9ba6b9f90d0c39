import { expect } from "chai";
import { createServerRecords, type ServerRecords } from "../../serving/serverRecords.js";
import { type BackendServer, formatServerRunId } from "../../serving/types.js";
import { createSeededRandom } from "../../shared/index.js";
import { computeLowestLoad, type EngineSelection, selectEngine, sumEngineLoad } from "../engineSelection.js";
import { createResidencyIndex, type ResidencyIndex } from "../residencyIndex.js";

const engineCount = 13;
const servers: readonly BackendServer[] = Array.from({ length: engineCount }, (unused, index) => ({
    id: `i-${index}`,
    startedAt: 1,
    service: "llm",
    address: `10.0.0.${index}:1`,
    failureDomain: "a",
    isDraining: false,
    softwareVersion: "v1",
    slots: 32,
    models: [],
}));

interface Fleet {
    readonly residency: ResidencyIndex;
    readonly records: ServerRecords;
    readonly select: (adapter: string | undefined, oldestVersion?: number) => EngineSelection;
    /** Runs that are cold. */
    readonly cold: Set<string>;
}

function createFleet(): Fleet {
    const residency = createResidencyIndex();
    const records = createServerRecords();
    const cold = new Set<string>();
    servers.forEach(server =>
        residency.replace({ run: formatServerRunId(server), models: [{ name: "base", adapters: [] }] })
    );
    return {
        residency,
        records,
        cold,
        select: (adapter, oldestVersion) => {
            const { requests, slots } = sumEngineLoad(servers, records, 0);
            const input = {
                servers,
                records,
                failureDomain: "a",
                excluded: new Set<string>(),
                now: 0,
                choice: { model: "base", adapter },
                demand: {},
                residency,
                oldestVersion,
                isOrderAllowed: () => true,
                isUnavailableForLoad: () => false,
                meanLoad: requests / slots,
                isDiverted: false,
                measureColdLoad: (run: string) => cold.has(run) ? 0.75 : 0,
            };
            const selection = selectEngine({ ...input, isLoadIgnored: false });
            // when all engines are busy, a request is sent again to the holder with the emptiest one
            return selection.kind === "busy" ? selectEngine({ ...input, isLoadIgnored: true }) : selection;
        },
    };
}

function expectServer(selection: EngineSelection): BackendServer {
    if (selection.kind === "resident" || selection.kind === "load") {
        return selection.server;
    }
    throw new Error(`no engine was selected: ${selection.kind}`);
}

function loadAdapter(fleet: Fleet, server: BackendServer, adapter: string, version = 1): void {
    fleet.residency.apply({ run: formatServerRunId(server), model: "base", adapter, version });
}

describe("selection of an engine for a load while some are cold", () => {
    // guards against adapters that all move to engines that are empty because they have just returned cold
    it("prefers warm engines, though they have requests, and takes a cold one when the others are full", () => {
        const fleet = createFleet();
        servers.slice(0, 4).forEach(server => fleet.cold.add(formatServerRunId(server)));
        servers.slice(4).forEach(server => fleet.records.getRecord(formatServerRunId(server)).inFlight = 10);
        for (let adapter = 0; adapter < 50; adapter++) {
            const { id } = expectServer(fleet.select(`a${adapter}`));
            expect(Number(id.slice(2))).to.be.at.least(4);
        }
        servers.slice(4).forEach(server => fleet.records.getRecord(formatServerRunId(server)).inFlight = 40);
        expect(Number(expectServer(fleet.select("a1")).id.slice(2))).to.be.below(4);
    });
});

describe("selection of an engine", () => {
    it("spreads adapters of skewed popularity so that no engine has twice the mean load", () => {
        const fleet = createFleet();
        const random = createSeededRandom(1);
        const running: string[] = [];
        for (let request = 0; request < 4_000; request++) {
            const adapter = `a${Math.floor(1 / (random.next() ** 0.8 + 0.002))}`;
            const picked = fleet.select(adapter);
            picked.kind === "load" && loadAdapter(fleet, picked.server, adapter);
            const run = formatServerRunId(expectServer(picked));
            fleet.records.getRecord(run).inFlight++;
            running.push(run);
            if (running.length > 150) {
                fleet.records.getRecord(running.shift()!).inFlight--;
            }
        }
        const loads = servers.map(server => fleet.records.getRecord(formatServerRunId(server)).inFlight);
        expect(Math.max(...loads)).to.be.lessThan(2 * 150 / engineCount);
    });

    it("selects the engine on which the adapter is resident while that engine has room", () => {
        const fleet = createFleet();
        loadAdapter(fleet, servers[4]!, "a1");
        fleet.records.getRecord("i-4/1").inFlight = 10;
        expect(fleet.select("a1")).to.deep.include({ kind: "resident", server: servers[4] });
    });

    it("loads a replica when the engine on which the adapter is resident is full", () => {
        const fleet = createFleet();
        loadAdapter(fleet, servers[4]!, "a1");
        fleet.records.getRecord("i-4/1").inFlight = 32;
        expect(fleet.select("a1").kind).to.equal("load");
    });

    it("loads the adapter elsewhere when its engine is avoided after a failure", () => {
        const fleet = createFleet();
        loadAdapter(fleet, servers[4]!, "a1");
        fleet.records.markFailure("i-4/1", true, 0);
        const picked = fleet.select("a1");
        expect(picked.kind).to.equal("load");
        expect(picked.kind === "load" && picked.server.id).not.to.equal("i-4");
    });

    // guards against requests that wait in vain for engines that were all silent a moment ago and have gone on
    it("loads the adapter on an avoided engine when all are avoided, and on another one while there is one", () => {
        const fleet = createFleet();
        servers.forEach(server => fleet.records.markFailure(formatServerRunId(server), true, 0));
        expect(fleet.select("a1").kind).to.equal("load");
        expect(computeLowestLoad(servers, fleet.records, 0)).to.be.above(1);
        fleet.records.markSuccess("i-4/1", 0);
        expect(expectServer(fleet.select("a1")).id).to.equal("i-4");
        expect(computeLowestLoad(servers, fleet.records, 0)).to.equal(0);
    });

    it("selects no engine whose version is too old", () => {
        const fleet = createFleet();
        loadAdapter(fleet, servers[4]!, "a1", 1);
        loadAdapter(fleet, servers[5]!, "a1", 2);
        expect(fleet.select("a1", 2)).to.deep.equal({ kind: "resident", server: servers[5], version: 2 });
        expect(fleet.select("a1", 3).kind).to.equal("load");
    });

    it("loads a newer version elsewhere, because an engine replaces the old one only after its last request", () => {
        const fleet = createFleet();
        const preferredSelection = fleet.select("a1");
        if (preferredSelection.kind !== "load") {
            throw new Error("nothing is loaded yet");
        }
        loadAdapter(fleet, preferredSelection.server, "a1", 1);
        const picked = fleet.select("a1", 2);
        expect(picked.kind).to.equal("load");
        expect(picked.kind === "load" && picked.server.id).not.to.equal(preferredSelection.server.id);
    });

    // more than a third of the engines has crashed and one has just restarted without load
    it("spreads loads over the remaining engines instead of sending all to the least loaded one", () => {
        const fleet = createFleet();
        servers.forEach(server => fleet.records.getRecord(formatServerRunId(server)).inFlight = 12);
        servers.slice(0, 5).forEach(server => {
            fleet.records.getRecord(formatServerRunId(server)).inFlight = 0;
            fleet.records.markFailure(formatServerRunId(server), true, 0);
        });
        fleet.records.getRecord(formatServerRunId(servers[12]!)).inFlight = 0;
        const targets = new Map<string, number>();
        for (let adapter = 0; adapter < 100; adapter++) {
            const picked = fleet.select(`a${adapter}`);
            const { id } = expectServer(picked);
            targets.set(id, (targets.get(id) ?? 0) + 1);
        }
        expect(targets.size).to.equal(8);
        expect(Math.max(...targets.values())).to.be.lessThan(30);
    });
});
