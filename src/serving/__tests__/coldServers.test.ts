import { expect } from "chai";
import { type ColdServers, createColdServers } from "../coldServers.js";
import { type BackendServer, formatServerRunId, type ServingService } from "../types.js";

const entry: BackendServer = {
    id: "s-1",
    startedAt: 0,
    service: "llm",
    address: "10.0.0.1:1",
    failureDomain: "a",
    isDraining: false,
    softwareVersion: undefined,
    slots: 4,
    models: [],
};
const run = formatServerRunId(entry);
const service: ServingService = {
    name: "llm",
    connectionLimit: 9,
    engine: undefined,
    coldStart: 12_000,
    coldPerSecond: 7,
};

interface ColdTable {
    readonly cold: ColdServers;
    readonly wait: (duration: number) => void;
    readonly setService: (service: ServingService | undefined) => void;
}

// the server has run for long when the play begins
function createTable(): ColdTable {
    let now = 0;
    let found: ServingService | undefined = service;
    return {
        cold: createColdServers({
            clock: { now: () => now },
            readUnixTime: () => now + 1_000_000,
            findService: () => found,
            readBounds: () => ({ over: 1.5, slack: 5 }),
        }),
        wait: duration => void (now += duration),
        setService: next => found = next,
    };
}

describe("coldness of servers", () => {
    // guards against a deployment without cold servers that asks for permits all the same
    it("is none where the service names no rate", () => {
        const { cold, setService } = createTable();
        setService({ ...service, coldPerSecond: 0 });
        cold.readEntries([{ ...entry, coldFor: 9_000 }], true);
        expect([cold.needsPermit(run), cold.findRate(run, true, true), cold.mayBegin(run, undefined)])
            .to.deep.equal([false, undefined, true]);
    });

    // guards against a cold server that is taken for warm, as its entry was read before the configuration
    it("is known from an entry that was read before the configuration", () => {
        const { cold, setService, wait } = createTable();
        setService(undefined);
        cold.readEntries([{ ...entry, coldFor: 9_000 }], true);
        wait(2_000);
        setService(service);
        expect(cold.measureRemaining(run)).to.equal(7_000);
    });

    // guards against a failure domain that returns cold, with all its entries, and is flooded
    it("is supposed of an entry that lapsed and came back, until the entry states otherwise", () => {
        for (const isSnapshot of [true, false]) {
            const { cold, wait } = createTable();
            cold.readEntries([entry], true);
            expect(cold.needsPermit(run)).to.equal(false);
            isSnapshot ? cold.readEntries([], true) : cold.markEntryGone(entry.id);
            wait(3_000);
            cold.readEntries([entry], false);
            expect([cold.needsPermit(run), cold.countCold()]).to.deep.equal([true, 1]);
            wait(1_000);
            cold.readEntries([{ ...entry, coldFor: 0 }], false);
            expect(cold.needsPermit(run)).to.equal(false);
        }
    });

    // guards against a new server that looks old, as the clock of its machine is behind
    it("is supposed of a run that appears after the first snapshot, but not of the runs in it", () => {
        const { cold, wait } = createTable();
        cold.readEntries([entry], true);
        wait(1_000);
        cold.readEntries([{ ...entry, startedAt: 5 }], false);
        expect([run, formatServerRunId({ ...entry, startedAt: 5 })].map(cold.needsPermit)).to.deep.equal([false, true]);
    });

    // guards against negative or unreadable times that make a server cold or warm
    it("isn't changed by a statement that can't be read", () => {
        const { cold } = createTable();
        cold.readEntries([{ ...entry, coldFor: "unreadable" }], true);
        cold.recordResponse(entry, "unreadable");
        expect(cold.needsPermit(run)).to.equal(false);
        cold.recordResponse(entry, 5_000);
        cold.recordResponse(entry, "unreadable");
        cold.readEntries([{ ...entry, coldFor: "unreadable" }], false);
        expect(cold.measureRemaining(run)).to.equal(5_000);
    });

    // guards against requests that waited for a connection while their server turned cold, or with an old permit
    it("holds a request back that waits when its server turns cold, and one whose permit is void", () => {
        const { cold, wait } = createTable();
        cold.readEntries([entry], true);
        const unneeded = { decidedAt: 0, until: undefined };
        wait(100);
        expect(cold.mayBegin(run, unneeded)).to.equal(true);
        cold.recordResponse(entry, 5_000);
        expect(cold.mayBegin(run, unneeded)).to.equal(false);
        expect(cold.mayBegin(run, { decidedAt: 100, until: 350 })).to.equal(true);
        // a holder that knew of it has decided otherwise since
        expect(cold.mayBegin(run, { decidedAt: 101, until: undefined })).to.equal(true);
        wait(251);
        expect(cold.mayBegin(run, { decidedAt: 100, until: 350 })).to.equal(false);
    });
});
