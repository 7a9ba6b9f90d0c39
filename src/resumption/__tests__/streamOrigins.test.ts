import { expect } from "chai";
import type { PeerNetwork } from "../../peers/index.js";
import type { ClockReading } from "../../serving/freshness.js";
import type { BackendServer, SoftwareVersion } from "../../serving/types.js";
import { wrapError, wrapValue } from "../../shared/index.js";
import type { ResumptionMessage } from "../messages.js";
import { createStreamOrigins, type StreamOrigins } from "../streamOrigins.js";
import type { OriginDecision } from "../types.js";
import { createVersionHistory } from "../versionHistory.js";

const shardCount = 12;
const streamLifetime = 10_000;
const services = ["llm"];

interface World {
    now: number;
    /** Holder of each shard; `undefined` while it has none. */
    holders: (string | undefined)[];
    readonly origins: Map<string, StreamOrigins>;
    readonly ended: Set<string>;
    /** What the store lists. */
    servers: readonly BackendServer[];
    /** Instances that reach each other only. */
    readonly apart: Set<string>;
    /** Instances that don't reach the store. */
    readonly storeless: Set<string>;
    sent: number;
}

function createServers(...versions: (SoftwareVersion | undefined)[]): readonly BackendServer[] {
    return versions.map((softwareVersion, index) => ({
        id: `s-${index}`,
        startedAt: 1,
        service: "llm",
        address: "10.0.0.1:1",
        failureDomain: "a",
        isDraining: false,
        softwareVersion,
        slots: 4,
        models: [],
    }));
}

function createNetwork(world: World, self: string): PeerNetwork {
    const deliver = (to: string, message: ResumptionMessage): ReturnType<StreamOrigins["handleMessage"]> => {
        world.sent++;
        const isReached = !world.ended.has(to) && !world.ended.has(self) &&
            world.apart.has(to) === world.apart.has(self);
        return isReached ? world.origins.get(to)?.handleMessage(message) : undefined;
    };
    return {
        self,
        send: (to, topic, message) => {
            // a failure ends the test
            Promise.resolve(deliver(to, message as ResumptionMessage)).catch(error =>
                process.emit("uncaughtException", error)
            );
        },
        request: async (to, topic, message) => {
            const response = await deliver(to, message as ResumptionMessage);
            return response ? wrapValue(response as never) : wrapError({ kind: "timeout" });
        },
        handle: () => undefined,
    };
}

function startInstance(world: World, self: string, isFirstStart: boolean): StreamOrigins {
    const origins = createStreamOrigins({
        self,
        clock: { now: () => world.now, sleep: () => Promise.resolve() },
        network: createNetwork(world, self),
        holders: {
            find: shard => world.holders[shard],
            isSilent: instance => world.ended.has(instance),
            markSilent: () => undefined,
            refresh: () => Promise.resolve(),
            list: () => [],
            listOthers: () => [],
            findChangedAt: () => undefined,
            findFormer: () => undefined,
            markReleased: () => undefined,
            markResponsive: () => undefined,
            reload: () => Promise.resolve(),
        },
        shardCount,
        isFirstStart,
        archive: {
            add: () => undefined,
            find: () => Promise.resolve(undefined),
            close: () => undefined,
            load: () => Promise.resolve(),
        },
        readStreamLifetime: () => streamLifetime,
        readNow: () => readClocks(world),
        checkServers: async () => {
            if (!world.storeless.has(self)) {
                origins.observeServers(world.servers);
                origins.confirmServers(readClocks(world));
            }
        },
    });
    world.origins.set(self, origins);
    return origins;
}

function createWorld(instanceCount: number, servers: readonly BackendServer[], isFirstStart = true): World {
    const world: World = {
        now: 100_000,
        holders: [],
        origins: new Map(),
        ended: new Set(),
        servers,
        apart: new Set(),
        storeless: new Set(),
        sent: 0,
    };
    for (let index = 0; index < instanceCount; index++) {
        startInstance(world, `i-${index}`, isFirstStart);
    }
    world.holders = Array.from({ length: shardCount }, (unused, shard) => `i-${shard % instanceCount}`);
    updateAll(world);
    updateLists(world);
    return world;
}

function readClocks({ now }: World): ClockReading {
    return { monotonic: now, timeOfDay: now };
}

// all instances that reach the store read the list
function updateLists(world: World): void {
    for (const [id, origins] of world.origins) {
        if (!world.storeless.has(id)) {
            origins.handleServers(world.servers);
            origins.confirmServers(readClocks(world));
        }
    }
}

// time passes, and the list is confirmed every second
function advance(world: World, duration: number): void {
    const until = world.now + duration;
    while (world.now < until) {
        world.now = Math.min(until, world.now + 1_000);
        updateLists(world);
    }
}

function updateAll(world: World): void {
    [...world.origins].filter(([id]) => !world.ended.has(id)).forEach(([, origins]) => origins.tick());
}

function begin(world: World, instance: string, attempt: string, version: SoftwareVersion = "v1"): void {
    const stream = { account: "acme", firstAttemptId: attempt };
    world.origins.get(instance)!.markBegun(stream, { service: "llm", version }, services);
}

function find(world: World, instance: string, attempt: string | undefined, account = "acme"): Promise<OriginDecision> {
    return world.origins.get(instance)!.find({ account, firstAttemptId: attempt }, services);
}

const describeKnown = (version: SoftwareVersion): OriginDecision => ({
    kind: "known",
    origin: { service: "llm", version },
});

describe("origin of a stream that a client takes up again", () => {
    // guards against a stream that goes on at another version than the one that began it
    it("is known at every instance, as text or number as the server's entry states it", async () => {
        const world = createWorld(8, createServers("1", 1));
        begin(world, "i-3", "a", "1");
        begin(world, "i-3", "b", 1);
        for (const instance of world.origins.keys()) {
            expect(await find(world, instance, "a")).to.deep.equal(describeKnown("1"));
            expect(await find(world, instance, "b")).to.deep.equal(describeKnown(1));
        }
    });

    // guards against a version that is lost with the instance that began the stream, or with one that keeps it
    it("outlives the instance that began the stream and any one that keeps it", async () => {
        for (let ended = 0; ended < 8; ended++) {
            const world = createWorld(8, createServers("v1", "v2"));
            for (let stream = 0; stream < 50; stream++) {
                begin(world, "i-0", `a${stream}`);
            }
            world.ended.add("i-0").add(`i-${ended}`);
            const asker = ended === 7 ? "i-6" : "i-7";
            for (let stream = 0; stream < 50; stream++) {
                expect((await find(world, asker, `a${stream}`)).kind).to.equal("known");
            }
        }
    });

    // guards against versions that are lost when the store deals all shards to other instances at once
    it("moves on with the shards", async () => {
        const world = createWorld(8, createServers("v1", "v2"));
        for (let stream = 0; stream < 200; stream++) {
            begin(world, "i-0", `a${stream}`);
        }
        world.ended.add("i-0");
        for (let round = 1; round <= 3; round++) {
            world.holders = world.holders.map((unused, shard) => `i-${1 + (shard * 5 + round) % 7}`);
            updateAll(world);
        }
        const decisions = await Promise.all(
            Array.from({ length: 200 }, (unused, stream) => find(world, `i-${1 + stream % 7}`, `a${stream}`)),
        );
        expect(decisions.filter(({ kind }) => kind === "known").length).to.equal(200);
    });

    // guards against streams that are older than the second version, of which nobody was told
    it("is told once a second version serves", async () => {
        const world = createWorld(8, createServers("v1"));
        begin(world, "i-0", "a");
        world.origins.forEach(origins => origins.handleServers(createServers("v1", "v2")));
        world.ended.add("i-0");
        expect(await find(world, "i-5", "a")).to.deep.equal(describeKnown("v1"));
    });

    // guards against a guess: one version serves now, but another one has served not long ago
    it("is unknown while a version may have begun the stream that has ended since", async () => {
        const world = createWorld(8, createServers("v1", "v2"));
        world.servers = createServers("v2");
        updateLists(world);
        expect((await find(world, "i-1", "unknown")).kind).to.equal("unknown");
        advance(world, streamLifetime + 1);
        expect(await find(world, "i-1", "unknown")).to.deep.equal(describeKnown("v2"));
    });

    // guards against a guess by an instance that hasn't heard of the second version yet
    it("is unknown where only the instances that are asked know of a second version", async () => {
        const world = createWorld(8, createServers("v1"));
        [...world.origins].slice(1).forEach(([, origins]) => origins.handleServers(createServers("v1", "v2")));
        expect((await find(world, "i-0", "unknown")).kind).to.equal("unknown");
    });

    // guards against a client that goes on with a stream of another account
    it("is unknown to other accounts, and without an attempt, while several versions serve", async () => {
        const world = createWorld(8, createServers("v1", "v2"));
        begin(world, "i-0", "a");
        expect((await find(world, "i-1", "a", "bolt")).kind).to.equal("unknown");
        expect((await find(world, "i-1", undefined)).kind).to.equal("unknown");
    });

    // guards against over-caution: a process that starts again asks those that have followed the servers
    it("is known to an instance that has just started while others have seen one version all the time", async () => {
        const world = createWorld(8, createServers("v1"));
        startInstance(world, "i-2", false).handleServers(createServers("v1"));
        expect(await find(world, "i-2", "any")).to.deep.equal(describeKnown("v1"));
    });

    // guards against a guess right after all instances have started again
    it("is unknown while nobody has followed the servers for long enough", async () => {
        const world = createWorld(8, createServers("v1"), false);
        expect((await find(world, "i-2", "any")).kind).to.equal("unknown");
        advance(world, streamLifetime);
        expect(await find(world, "i-2", "any")).to.deep.equal(describeKnown("v1"));
    });

    // guards against over-caution after all instances have started again: streams that began since are known
    it("is known of streams that began after all instances have started again", async () => {
        const world = createWorld(8, createServers("v1"), false);
        begin(world, "i-0", "new");
        world.ended.add("i-0");
        expect(await find(world, "i-5", "new")).to.deep.equal(describeKnown("v1"));
    });

    // guards against a guess by an instance that reaches nobody who keeps streams
    it("is unknown where no instance answers", async () => {
        const world = createWorld(8, createServers("v1"));
        world.holders = [];
        expect((await find(world, "i-2", "any")).kind).to.equal("unknown");
    });

    // guards against messages for each stream: nothing is sent while one version serves, two for each beyond it
    it("costs no message while one version serves, and two for each stream beyond", () => {
        for (const instances of [8, 195]) {
            const world = createWorld(instances, createServers("v1", "v1"));
            begin(world, "i-1", "a");
            expect(world.sent).to.equal(0);
            world.origins.forEach(origins => origins.handleServers(createServers("v1", "v2")));
            const told = world.sent;
            expect(told).to.be.at.most(2);
            for (let stream = 0; stream < 100; stream++) {
                begin(world, "i-1", `b${stream}`);
            }
            expect(world.sent - told).to.be.at.most(200);
        }
    });

    // guards against memory that grows with the streams
    it("is forgotten after the lifetime of a stream, and when there are too many", async () => {
        const world = createWorld(2, createServers("v1", "v2"));
        begin(world, "i-0", "old");
        for (let stream = 0; stream < 20_000; stream++) {
            begin(world, "i-0", `a${stream}`);
        }
        expect((await find(world, "i-1", "old")).kind).to.equal("unknown");
        expect((await find(world, "i-1", "a19999")).kind).to.equal("known");
        world.now += streamLifetime + 1;
        expect((await find(world, "i-1", "a19999")).kind).to.equal("unknown");
    });
});

describe("origin of a stream at an instance that is out of step", () => {
    // guards against an instance that answers itself from a list that it no longer follows (ORDER)
    it("is unknown where it reaches neither store nor instances, alone or with one that agrees", async () => {
        for (const apart of [["i-0"], ["i-0", "i-1"]]) {
            const world = createWorld(3, createServers("v1"));
            apart.forEach(id => world.apart.add(id) && world.storeless.add(id));
            world.now += 10;
            world.servers = createServers("v1", "v2");
            updateLists(world);
            begin(world, "i-2", "a", "v2");
            expect((await find(world, "i-0", "a")).kind).to.equal("unknown");
        }
    });

    // guards against a list that was confirmed before the new version joined: a short time ago isn't now (ORDER)
    it("is unknown where it alone reaches the store and hasn't read of the new version yet", async () => {
        const world = createWorld(3, createServers("v1"));
        world.apart.add("i-0");
        world.now += 10;
        world.servers = createServers("v1", "v2");
        world.origins.get("i-2")!.handleServers(world.servers);
        begin(world, "i-2", "a", "v2");
        expect((await find(world, "i-0", "a")).kind).to.equal("unknown");
    });

    // guards against others that have as old a list: who is asked reads it again (ORDER)
    it("is unknown where it reaches instances, and none of these has read of the new version yet", async () => {
        const world = createWorld(4, createServers("v1"));
        world.storeless.add("i-0");
        world.apart.add("i-3");
        world.now += 10;
        world.servers = createServers("v1", "v2");
        world.origins.get("i-3")!.handleServers(world.servers);
        begin(world, "i-3", "a", "v2");
        expect((await find(world, "i-0", "a")).kind).to.equal("unknown");
    });

    // guards against over-caution: one side that is reached is enough while one version has served all the time
    it("is known while no other version has served, where it reaches the store or others that do", async () => {
        const world = createWorld(3, createServers("v1"));
        world.apart.add("i-0");
        advance(world, 3_000);
        expect(await find(world, "i-0", "any")).to.deep.equal(describeKnown("v1"));
        world.apart.clear();
        world.storeless.add("i-0");
        advance(world, 20_000);
        expect(await find(world, "i-0", "any")).to.deep.equal(describeKnown("v1"));
    });

    // guards against a version that has come and gone while nobody followed the list (ORDER)
    it("is unknown after a time that nobody has followed, and known where another instance has", async () => {
        const world = createWorld(3, createServers("v1"));
        world.storeless.add("i-0");
        advance(world, 6_000);
        world.storeless.delete("i-0");
        advance(world, 1_000);
        expect(await find(world, "i-0", "any")).to.deep.equal(describeKnown("v1"));
        world.apart.add("i-0");
        expect((await find(world, "i-0", "any")).kind).to.equal("unknown");
        advance(world, streamLifetime);
        expect(await find(world, "i-0", "any")).to.deep.equal(describeKnown("v1"));
    });
});

describe("times over which the list of servers was followed", () => {
    // guards against time that a machine slept, which only one of its clocks counts (ORDER)
    it("leave out what either clock counts as not followed", () => {
        for (const [monotonic, timeOfDay] of [[5_000, 5_000], [100, 5_000], [5_000, 100]] as const) {
            const history = createVersionHistory(true);
            history.confirm({ monotonic: 1_000, timeOfDay: 1_000 }, 1_000);
            const woken = { monotonic: 1_000 + monotonic, timeOfDay: 1_000 + timeOfDay };
            history.confirm(woken, woken.monotonic);
            const { followed } = history.view([], 0, woken);
            expect(followed.length).to.equal(2);
            // the time of day is known to a millisecond
            expect(followed[0]!.to).to.be.within(woken.monotonic - 5_000, woken.monotonic - 4_999);
            expect(followed[1]!.from).to.equal(woken.monotonic);
        }
    });

    // guards against returns that are refused because the time of day has passed on to the next whole millisecond
    it("reach up to a confirmation whose time of day is a fraction of a millisecond late", () => {
        const history = createVersionHistory(true);
        history.confirm({ monotonic: 1_000.9, timeOfDay: 1_000 }, 1_000.9);
        const { followed } = history.view([], 0, { monotonic: 1_001, timeOfDay: 1_001 });
        expect(followed.at(-1)!.to).to.equal(1_000.9);
    });

    // guards against a gap that is closed by a confirmation which is older than the one before
    it("have no gap where the list is confirmed regularly, and end with the last confirmation", () => {
        const history = createVersionHistory(true);
        for (const at of [1_000, 4_000, 3_000, 7_500]) {
            history.confirm({ monotonic: at, timeOfDay: at }, at + 50);
        }
        const now = { monotonic: 9_000, timeOfDay: 9_000 };
        expect(history.view([], 0, now).followed).to.deep.equal([{ from: Number.NEGATIVE_INFINITY, to: 7_500 }]);
    });
});
