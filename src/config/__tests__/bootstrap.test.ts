import { expect } from "chai";
import { createRecordCodec, createReplay, type StreamRecord } from "../../streams/index.js";
import {
    createHistory,
    createNodeClock,
    createVirtualLog,
    createVirtualPeers,
    type History,
    startDetached,
    type VirtualLog,
    type VirtualMessage,
} from "../../testing/index.js";
import {
    type ConfigTask,
    type ConfigurationChange,
    configurationModel,
    createConfigTask,
    createPublisher,
    grantKey,
    type SettingsNode,
    type SettingsPart,
    withdrawKey,
} from "../index.js";

const codec = createRecordCodec(configurationModel);
const createAccount = (rate: number): SettingsNode => ({ kind: "clientAccount", limits: { rate, burst: 10 } });

function createChange(offset: number, name: string, baseVersion = -1): ConfigurationChange {
    const nodes = [{ name, baseVersion, value: createAccount(offset) }];
    return { changeId: `change-${offset}`, author: "test", basedOn: offset - 1, nodes };
}

interface World {
    readonly history: History<VirtualMessage>;
    readonly log: VirtualLog;
    readonly start: (node: string, peers: readonly string[]) => ConfigTask;
    readonly append: (payload: Uint8Array) => void;
}

function createWorld(): World {
    const history = createHistory<VirtualMessage>({ seed: 1 });
    const log = createVirtualLog(history);
    const operator = log.createClient("operator");
    return {
        history,
        log,
        append: payload => startDetached(operator.append("configuration", payload)),
        start: (node, peers) => {
            const task = createConfigTask({
                instance: node,
                log: log.createClient(node),
                peers: createVirtualPeers(history, node),
                clock: createNodeClock(history, node),
                listPeers: () => peers,
                readWallClock: history.now,
            });
            startDetached(task.run(new AbortController().signal));
            return task;
        },
    };
}

async function appendChanges(world: World, first: number, count: number): Promise<void> {
    for (let offset = first; offset < first + count; offset++) {
        world.append(codec.encode({ kind: "change", change: createChange(offset, `account-${offset}`) }));
        await world.history.runAsync(world.history.now() + 10);
    }
}

describe("start of a configuration task", () => {
    const part: SettingsPart = { entries: [{ name: "a", version: 3, value: createAccount(1) }], settled: [] };
    const replayRecords = (from: number, records: readonly StreamRecord<ConfigurationChange, SettingsPart>[]) => {
        const replay = createReplay(configurationModel, from);
        replay.apply(records.map((record, index) => ({
            offset: from + index,
            appendedAt: 0,
            payload: codec.encode(record),
        })));
        return replay;
    };

    it("has no tree until a checkpoint is complete, and then applies the changes that were waiting for it", () => {
        const whole: StreamRecord<ConfigurationChange, SettingsPart>[] = [
            { kind: "passBegin", pass: "p", covering: 9 },
            { kind: "change", change: createChange(11, "b") },
            { kind: "passPart", pass: "p", index: 0, part },
            { kind: "passPart", pass: "p", index: 1, part: { entries: [], settled: [] } },
            { kind: "passEnd", pass: "p", parts: 2 },
        ];
        const listNames = (records: typeof whole): string[] | undefined => {
            const state = replayRecords(10, records).state();
            return state && [...state.tree.names()];
        };
        expect(listNames(whole)).to.deep.equal(["a", "b"]);
        for (const missing of [0, 2, 3, 4]) {
            expect(listNames(whole.filter((record, index) => index !== missing)), `without ${missing}`).to.equal(
                undefined,
            );
        }
    });

    it("ignores a checkpoint that leaves a gap before the first record read, and one that claims to cover its own offset", () => {
        const createPass = (covering: number): StreamRecord<ConfigurationChange, SettingsPart>[] => [
            { kind: "passBegin", pass: "p", covering },
            { kind: "passPart", pass: "p", index: 0, part },
            { kind: "passEnd", pass: "p", parts: 1 },
        ];
        const isComplete = (covering: number): boolean => replayRecords(10, createPass(covering)).state() !== undefined;
        expect([8, 9, 10].map(isComplete)).to.deep.equal([false, true, false]);
    });

    it("stops at a record of a newer format and reports it, and skips a malformed record", async () => {
        const world = createWorld();
        const task = world.start("one", []);
        await appendChanges(world, 0, 1);
        world.append(Uint8Array.from([1, 0xc1]));
        await world.history.runAsync(1_000);
        await appendChanges(world, 2, 1);
        world.append(Uint8Array.from([2, 0]));
        await world.history.runAsync(2_000);
        await appendChanges(world, 4, 1);
        await world.history.runAsync(20_000);
        const status = task.readStatus(world.history.now());
        expect(status.stopped).to.equal("record 3 has format 2, which this version can't read; upgrade it");
        expect([status.state, status.appliedOffset]).to.deep.equal(["ready", 2]);
        expect([...task.view.read()!.accounts.keys()]).to.deep.equal(["account-0", "account-2"]);
    });

    it("provides no settings before the head of the log, even after several pages of records", async () => {
        const world = createWorld();
        await appendChanges(world, 0, 1_200);
        const task = world.start("one", []);
        const served: number[] = [];
        task.view.subscribe(settings => served.push(settings.appliedOffset));
        await world.history.runAsync(world.history.now() + 2_000);
        expect(served).to.deep.equal([1_199]);
    });

    it("starts from a peer while the log is unavailable, and reports that it is not ready without a peer", async () => {
        const world = createWorld();
        const first = world.start("one", []);
        await appendChanges(world, 0, 600);
        world.log.stop(60_000);
        const second = world.start("two", ["one"]);
        const third = world.start("three", []);
        await world.history.runAsync(world.history.now() + 10_000);
        expect(second.view.read()).to.deep.equal(first.view.read());
        const status = third.readStatus(world.history.now());
        expect([status.state, status.logState, status.lastError]).to.deep.equal([
            "starting",
            "failing",
            "log: unavailable",
        ]);
        await world.history.runAsync(world.history.now() + 60_000);
        expect(third.readStatus(world.history.now()).state).to.equal("ready");
    });

    it("uses nothing of an incomplete snapshot from a peer that crashed", async () => {
        const world = createWorld();
        world.start("one", []);
        await appendChanges(world, 0, 900);
        world.log.expire("configuration", 900);
        const second = world.start("two", ["one"]);
        world.history.schedule(10, () => world.history.crash("one"));
        await world.history.runAsync(world.history.now() + 20_000);
        expect(second.view.read()).to.equal(undefined);
        expect(second.readStatus(world.history.now()).stopped).to.match(/waits for a complete state; reads from 900/);
    });

    it("never returns to an older tree when records have expired unread and only an older checkpoint is left", async () => {
        const world = createWorld();
        const task = world.start("one", []);
        await appendChanges(world, 0, 20);
        const old = task.view.read()!.appliedOffset;
        world.log.cutNode("one", 30_000);
        world.append(codec.encode({ kind: "passBegin", pass: "p", covering: 3 }));
        await appendChanges(world, 21, 5);
        world.log.expire("configuration", 24);
        await world.history.runAsync(world.history.now() + 60_000);
        expect(task.view.read()!.appliedOffset).to.equal(old);
        expect(task.readStatus(world.history.now()).state).to.equal("ready");
    });
});

describe("an instance whose unread records have expired", () => {
    it("never takes the older tree of its only peer", async () => {
        const world = createWorld();
        const behind = world.start("behind", []);
        const ahead = world.start("ahead", ["behind"]);
        await appendChanges(world, 0, 10);
        const older = behind.view.read()!.appliedOffset;
        world.log.cutNode("behind", 200_000);
        await appendChanges(world, 10, 10);
        const newer = ahead.view.read()!.appliedOffset;
        expect(newer).to.be.greaterThan(older);
        const served: number[] = [];
        ahead.view.subscribe(settings => served.push(settings.appliedOffset));
        world.log.cutNode("ahead", 30_000);
        await appendChanges(world, 20, 5);
        world.log.expire("configuration", 24);
        await world.history.runAsync(world.history.now() + 60_000);
        expect(behind.view.read()!.appliedOffset).to.equal(older);
        expect(ahead.view.read()!.appliedOffset).to.equal(newer);
        expect(served).to.deep.equal([]);
        expect(ahead.readStatus(world.history.now()).state).to.equal("ready");
    });
});

describe("publisher", () => {
    it("grants a key without writing it to the log, and withdraws it on all instances within 3 s", async () => {
        const world = createWorld();
        const tasks = ["one", "two", "three"].map(node => world.start(node, ["one", "two", "three"]));
        const publisher = createPublisher({
            log: world.log.createClient("operator"),
            clock: createNodeClock(world.history, "operator"),
        });
        const run = async <Value>(action: Promise<Value>): Promise<Value> => {
            await world.history.runAsync(world.history.now() + 3_000);
            return action;
        };
        await appendChanges(world, 0, 1);
        const before = await run(publisher.readState());
        const granted = before.ok && grantKey(before.value, { changeId: "grant", author: "test" }, "account-0", "k");
        if (!granted || !granted.ok) {
            throw new Error("the key was not granted");
        }
        expect((await run(publisher.publish(granted.value.change))).kind).to.equal("accepted");
        expect(tasks.map(task => task.view.read()!.keys.size)).to.deep.equal([1, 1, 1]);
        const payloads = world.log.listRecords("configuration").map(record => Buffer.from(record.payload).toString());
        expect(payloads.join("").includes(granted.value.key)).to.equal(false);
        const after = await run(publisher.readState());
        const withdrawn = after.ok && withdrawKey(after.value, { changeId: "withdraw", author: "test" }, "k");
        if (!withdrawn || !withdrawn.ok) {
            throw new Error("the key was not withdrawn");
        }
        expect((await run(publisher.publish(withdrawn.value))).kind).to.equal("accepted");
        expect(tasks.map(task => task.view.read()!.keys.size)).to.deep.equal([0, 0, 0]);
    });

    it("reports that nothing was published while the log is unavailable", async () => {
        const world = createWorld();
        const publisher = createPublisher({
            log: world.log.createClient("operator"),
            clock: createNodeClock(world.history, "operator"),
        });
        world.log.stop(60_000);
        const outcome = publisher.publish(createChange(0, "a"));
        await world.history.runAsync(20_000);
        expect(await outcome).to.deep.equal({
            kind: "notPublished",
            detail: "the log did not accept the change (unavailable); try again later",
        });
    });
});
