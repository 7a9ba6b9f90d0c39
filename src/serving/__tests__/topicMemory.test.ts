import { expect } from "chai";
import { decodeOperatorDeletion, decodeOperatorRecord } from "../../platform/operatorRecords.js";
import { decodeServerEntry } from "../../platform/serverEntry.js";
import { createRestoreRules } from "../restoreRules.js";
import { createTopicMemory, type RememberedSnapshot, type TopicMemory } from "../topicMemory.js";
import type { KeyedRecord, KeyedTopic } from "../types.js";

const rules = createRestoreRules({ decodeOperatorRecord, decodeOperatorDeletion, decodeServerEntry });

function createRecord(key: string, value: unknown, offset = 0): KeyedRecord {
    return { key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)), offset };
}

function createVersion(version: number, offset = 0): KeyedRecord {
    return createRecord("version/base.a1", { model: "base", adapter: "a1", version }, offset);
}

function createServer(id: string, state: string, born = 1_000): KeyedRecord {
    return createRecord(id, {
        service: "app",
        address: "10.0.0.1:80",
        zone: "a",
        version: "v1",
        slots: 6,
        state,
        sequence: 1,
        born,
    });
}

function createMemory(topic: KeyedTopic, known: readonly KeyedRecord[]): TopicMemory {
    const memory = createTopicMemory(rules[topic]);
    memory.takeSnapshot(known, 20, false);
    return memory;
}

function describeTaken({ records, lost }: RememberedSnapshot): unknown {
    const describe = ({ key, value, offset }: KeyedRecord): unknown => [key, JSON.parse(String(value)), offset];
    return { records: records.map(describe), lost: lost.map(({ key }) => key) };
}

describe("records that are known when the store comes back older", () => {
    // guards against a version that was in force and goes back with the store, or while the operator writes all again
    it("keep the higher version of an adapter, in the copy and in what is written again in whatever order", () => {
        const memory = createMemory("configuration", [createVersion(9)]);
        const restored = memory.takeSnapshot([createVersion(7, 3)], 4, true);
        expect(describeTaken(restored)).to.deep.equal({
            records: [["version/base.a1", { model: "base", adapter: "a1", version: 9 }, 3]],
            lost: [],
        });
        expect(memory.takeRecords([createVersion(8, 4)], false)).to.deep.equal([]);
        expect(memory.takeRecords([createVersion(9, 5), createVersion(10, 6)], false).length).to.equal(2);
        expect(memory.takeSnapshot([createVersion(9, 5)], 8, false).records[0]!.value)
            .to.deep.equal(createVersion(10).value);
        const behind = createMemory("configuration", [createVersion(3)]);
        expect(behind.takeSnapshot([createVersion(7, 3)], 4, true).records).to.deep.equal([createVersion(7, 3)]);
    });

    // guards against an evacuation that ends, or begins again, as the store's copy is of before it
    it("keep evacuations as they were until they are read again", () => {
        const memory = createMemory("configuration", [createRecord("evacuate/a", {}), createRecord("evacuate/b", {})]);
        memory.takeRecords([createRecord("evacuate/b", undefined, 21)], false);
        const list = (snapshot: RememberedSnapshot): readonly string[] => snapshot.records.map(({ key }) => key);
        expect(list(memory.takeSnapshot([createRecord("evacuate/b", {})], 2, true))).to.deep.equal(["evacuate/a"]);
        expect(list(memory.takeSnapshot([createRecord("evacuate/b", {})], 3, false))).to.deep.equal(["evacuate/b"]);
    });

    // guards against requests to a server that is draining or gone, of which the copy says that it is ready (DRAIN)
    it("keep a run of a server draining and a deleted one gone, until the server itself writes again", () => {
        const memory = createMemory("servers", ["s1", "s2", "s3", "s4"].map(id => createServer(id, "ready")));
        memory.takeRecords([
            createServer("s1", "draining"),
            createRecord("s2", undefined),
            createServer("s3", "draining"),
        ], false);
        const copies = [createServer("s1", "ready"), createServer("s2", "ready"), createServer("s3", "ready", 2_000)];
        const restored = memory.takeSnapshot(copies, 2, true);
        const states = restored.records.map(({ key, value }) => [key, JSON.parse(String(value)).state as string]);
        expect(states).to.deep.equal([["s1", "draining"], ["s3", "ready"]]);
        expect(restored.lost.map(({ key }) => key)).to.deep.equal(["s4"]);
        expect(memory.takeRecords([createServer("s2", "ready")], false).length).to.equal(1);
    });

    // guards against instances that are no longer known, and such as come back though they have left
    it("keep the entries of instances that the copy has lost, and leave out those that were deleted", () => {
        const memory = createMemory("instances", [createRecord("front-1", 1), createRecord("front-2", 2)]);
        memory.takeRecords([createRecord("front-2", undefined, 20), createRecord("front-3", 3, 21)], false);
        const restored = memory.takeSnapshot([createRecord("front-1", 1), createRecord("front-2", 2)], 5, true);
        expect(describeTaken(restored)).to.deep.equal({
            records: [["front-1", 1, 0], ["front-3", 3, 4]],
            lost: ["front-3"],
        });
    });

    // guards against a server that gets requests again while its earlier entries are written again in their order (DRAIN)
    it("keep a run that drains out also while what it wrote before is written again", () => {
        const memory = createMemory("servers", [createServer("s1", "draining")]);
        memory.takeSnapshot([createServer("s1", "ready")], 4, true);
        expect(memory.takeRecords([createServer("s1", "ready")], false)).to.deep.equal([]);
        expect(memory.takeRecords([createServer("s1", "ready", 2_000)], false).length).to.equal(1);
    });

    // guards against deleted records that are kept for good, and servers that are never used again, without any return
    it("take deletions that are read, and once the era has settled what a server says of itself", () => {
        const memory = createMemory("configuration", [createVersion(9)]);
        expect(memory.takeRecords([createRecord("version/base.a1", undefined, 21)], true).length).to.equal(1);
        const servers = createMemory("servers", [createServer("s1", "draining")]);
        expect(servers.takeRecords([createServer("s1", "ready")], true).length).to.equal(1);
    });

    // guards against a live server that counts as gone, as one copy after the other lacked its entry
    it("don't count what one copy lacks as deleted at the next return", () => {
        const memory = createMemory("servers", [createServer("s1", "ready")]);
        expect(memory.takeSnapshot([], 4, true).records).to.deep.equal([]);
        expect(memory.takeSnapshot([createServer("s1", "ready")], 4, true).records.length).to.equal(1);
    });

    // guards against trials of a quarantined request that are granted once more (BUDGET)
    it("keep the trials of a quarantine that the copy doesn't count", () => {
        const createQuarantine = (trials: number) =>
            createRecord("request/d", { kind: "request", digest: "d", trials });
        const memory = createMemory("quarantines", [createQuarantine(3)]);
        const { records } = memory.takeSnapshot([createQuarantine(1)], 4, true);
        expect(JSON.parse(String(records[0]!.value))).to.have.property("trials", 3);
    });

    // guards against a record of the operator that can't be read, and of which no line and no metric tells any more
    it("pass on what can't be read, so that it is reported", () => {
        const memory = createMemory("configuration", [createVersion(9)]);
        const unreadable = { key: "version/base.a1", value: Buffer.from("{"), offset: 21 };
        expect(memory.takeRecords([unreadable], false)).to.deep.equal([unreadable]);
    });
});
