import { expect } from "chai";
import { createSeededRandom, type Result, type SeededRandom, wrapError, wrapValue } from "../../shared/index.js";
import { startDetached } from "../../testing/index.js";
import { type ClockReading, measureAge } from "../freshness.js";
import { createKeyedFollower } from "../keyedFollower.js";
import { createRelayedLog, type RelayedLog } from "../relayedLog.js";
import type { RelayMessage } from "../relayMessages.js";
import { createTopicCache, type TopicCache } from "../topicCache.js";
import type { KeyedLog, KeyedRecord, KeyedSnapshot, StoreError } from "../types.js";

const encodeVersion = (version: number): Uint8Array => Buffer.from([version]);

/** Virtual time: sleeps end in the order of their times. */
interface VirtualTime {
    now: number;
    readonly sleep: (duration: number, signal?: AbortSignal) => Promise<void>;
    readonly advance: (until: number) => Promise<void>;
}

function createVirtualTime(): VirtualTime {
    const timers: { readonly at: number; readonly wake: () => void; }[] = [];
    const time: VirtualTime = {
        now: 0,
        sleep: (duration, signal) =>
            new Promise(resolve => {
                const timer = { at: time.now + Math.max(1, duration), wake: () => finish() };
                const finish = (): void => {
                    signal?.removeEventListener("abort", cancel);
                    resolve();
                };
                const cancel = (): void => {
                    timers.splice(timers.indexOf(timer), 1);
                    resolve();
                };
                timers.push(timer);
                signal?.addEventListener("abort", cancel, { once: true });
            }),
        advance: async until => {
            for (;;) {
                // all that is due now runs before time goes on
                for (let turn = 0; turn < 30; turn++) {
                    await Promise.resolve();
                }
                timers.sort((left, right) => left.at - right.at);
                const next = timers[0];
                if (!next || next.at > until) {
                    time.now = until;
                    return;
                }
                timers.shift();
                time.now = next.at;
                next.wake();
            }
        },
    };
    return time;
}

/** Store of one topic whose only key holds a version that grows. */
interface TestStore {
    readonly log: KeyedLog;
    readonly write: () => void;
    readonly reads: { count: number; };
    readonly writtenAt: number[];
}

interface Instance {
    readonly relayed: RelayedLog;
    isCutFromStore: boolean;
    /** Time until which the instance neither sends nor receives. */
    frozenUntil: number;
    isDead: boolean;
    version: number;
    confirmedAt: ClockReading | undefined;
}

interface World {
    readonly time: VirtualTime;
    readonly store: TestStore;
    readonly instances: Instance[];
    readonly restart: (index: number) => void;
}

const readersPerDomain = 2;

function createStore(time: VirtualTime): TestStore {
    const writtenAt: number[] = [];
    const reads = { count: 0 };
    const describe = (): KeyedSnapshot => ({
        records: writtenAt.length === 0
            ? []
            : [{ key: "config", value: encodeVersion(writtenAt.length), offset: writtenAt.length - 1 }],
        endOffset: writtenAt.length,
    });
    return {
        reads,
        writtenAt,
        write: () => writtenAt.push(time.now),
        log: {
            readNewest: async () => {
                reads.count++;
                await time.sleep(4);
                return wrapValue(describe());
            },
            readFrom: async (topic, offset, wait) => {
                reads.count++;
                for (const end = time.now + wait; time.now < end && writtenAt.length <= offset;) {
                    await time.sleep(10);
                }
                const { records, endOffset } = describe();
                return wrapValue({ records: offset < endOffset ? records : [], endOffset });
            },
            append: () => Promise.resolve(wrapValue(undefined)),
        },
    };
}

// one failure domain whose first instances are the readers of the others; the checks look at all of them
function createWorld(size: number): World {
    const time = createVirtualTime();
    const store = createStore(time);
    const instances: Instance[] = [];
    const isSilent = (instance: Instance): boolean => instance.isDead || instance.frozenUntil > time.now;
    const waitWhileFrozen = async (instance: Instance): Promise<void> => {
        while (instance.frozenUntil > time.now) {
            await time.sleep(instance.frozenUntil - time.now);
        }
    };
    const createInstance = (index: number): Instance => {
        const readClocks = (): ClockReading => ({ monotonic: time.now, timeOfDay: time.now });
        const cache = createTopicCache({ readNow: readClocks });
        const caches = { configuration: cache, servers: cache, instances: cache, quarantines: cache };
        const failWhenCut = async (
            read: () => Promise<Result<KeyedSnapshot, StoreError>>,
        ): Promise<Result<KeyedSnapshot, StoreError>> => {
            await waitWhileFrozen(instance);
            const wasCut = instance.isCutFromStore;
            const result = await read();
            await waitWhileFrozen(instance);
            if (wasCut || instance.isCutFromStore) {
                await time.sleep(200);
                return wrapError({ kind: "unreachable", detail: "cut" });
            }
            return result;
        };
        const relayed = createRelayedLog({
            clock: { now: () => time.now, sleep: time.sleep },
            store: {
                ...store.log,
                readNewest: topic => failWhenCut(() => store.log.readNewest(topic)),
                readFrom: (topic, offset, wait) => failWhenCut(() => store.log.readFrom(topic, offset, wait)),
            },
            listReaders: () =>
                Array.from({ length: Math.min(index, readersPerDomain) }, (unused, reader) => `${reader}`),
            isReader: () => index < readersPerDomain,
            ask: async (reader, message, timeout) => {
                const asked = instances[Number(reader)]!;
                const respond = async (): Promise<RelayMessage | undefined> => {
                    await time.sleep(1);
                    await waitWhileFrozen(asked);
                    const response = asked.isDead ? undefined : await asked.relayed.handleMessage(message);
                    // a response that was ready when the reader froze leaves it afterwards
                    await waitWhileFrozen(asked);
                    await time.sleep(1);
                    return asked.isDead ? undefined : response;
                };
                const late = time.sleep(timeout).then(() => undefined);
                const response = isSilent(asked) && asked.isDead ? await late : await Promise.race([respond(), late]);
                await waitWhileFrozen(instance);
                return response;
            },
            caches,
        });
        const instance: Instance = {
            relayed,
            isCutFromStore: false,
            frozenUntil: 0,
            isDead: false,
            version: 0,
            confirmedAt: undefined,
        };
        const apply = (records: readonly KeyedRecord[]): void =>
            records.forEach(record => {
                instance.version = Math.max(instance.version, record.value?.[0] ?? 0);
            });
        const follower = createKeyedFollower({
            log: relayed.log,
            topic: "configuration",
            wait: 1_600,
            cache: caches.configuration,
            sleep: time.sleep,
            readClocks,
            onSnapshot: apply,
            onRecords: apply,
            onConfirmed: at => {
                instance.confirmedAt = at;
            },
            onFailure: () => undefined,
        });
        startDetached(follower.run(new AbortController().signal));
        return instance;
    };
    for (let index = 0; index < size; index++) {
        instances.push(createInstance(index));
    }
    return {
        time,
        store,
        instances,
        restart: index => {
            instances[index]!.isDead = true;
            instances[index] = createInstance(index);
        },
    };
}

// what an instance believes to be current at a time must have been current then
function expectTruthful(world: World, seed: number): void {
    world.instances.forEach((instance, index) => {
        const confirmedAt = instance.confirmedAt?.monotonic;
        if (confirmedAt !== undefined) {
            const writtenBefore = world.store.writtenAt.filter(at => at <= confirmedAt).length;
            expect(instance.version, `seed ${seed}, instance ${index}, confirmed at ${confirmedAt}`)
                .to.be.at.least(writtenBefore);
        }
    });
}

function applyFault(world: World, random: SeededRandom): void {
    const index = random.chance(0.7) ? random.between(0, readersPerDomain - 1) : random.between(0, 9);
    const instance = world.instances[index]!;
    switch (random.between(0, 3)) {
        case 0:
            instance.frozenUntil = world.time.now + random.between(200, 4_000);
            break;
        case 1:
            instance.isCutFromStore = !instance.isCutFromStore;
            break;
        case 2:
            world.restart(index);
            break;
        case 3:
            world.store.write();
            break;
    }
}

describe("topics read through other instances", () => {
    it("take the same number of calls to the store with 10 instances and with 40", async () => {
        const counts: number[] = [];
        for (const size of [10, 40]) {
            const world = createWorld(size);
            world.store.write();
            await world.time.advance(2_000);
            const before = world.store.reads.count;
            for (let second = 3; second <= 20; second++) {
                world.store.write();
                await world.time.advance(second * 1_000);
            }
            counts.push(world.store.reads.count - before);
        }
        expect(counts[1]).to.equal(counts[0]);
    });

    it("reach every instance soon after they were written", async () => {
        const world = createWorld(20);
        await world.time.advance(2_000);
        world.store.write();
        await world.time.advance(2_100);
        expect(world.instances.map(instance => instance.version)).to.deep.equal(world.instances.map(() => 1));
    });

    it("reach the other instances while both readers are cut off from the store", async () => {
        const world = createWorld(10);
        await world.time.advance(3_000);
        world.instances.slice(0, readersPerDomain).forEach(instance => instance.isCutFromStore = true);
        world.store.write();
        await world.time.advance(6_000);
        expect(world.instances.slice(readersPerDomain).map(instance => instance.version))
            .to.deep.equal(world.instances.slice(readersPerDomain).map(() => 1));
    });

    // found on the bench: requests with keys were refused, although the store answered all reads
    it("are at most 3 s old at every instance, the time in which a configuration must be in force, also while one reader after the other is frozen or cut off", async () => {
        const world = createWorld(10);
        await world.time.advance(3_000);
        let oldest = 0;
        for (let step = 31; step <= 300; step++) {
            const reader = world.instances[step % 2]!;
            if (step % 40 === 0) {
                reader.frozenUntil = world.time.now + 2_500;
            }
            reader.isCutFromStore = step % 100 > 60;
            await world.time.advance(step * 100);
            for (const instance of world.instances.slice(readersPerDomain)) {
                oldest = Math.max(oldest, world.time.now - (instance.confirmedAt?.monotonic ?? 0));
            }
        }
        expect(oldest).to.be.at.most(3_000);
    });

    for (let seed = 1; seed <= 20; seed++) {
        it(`are never believed to be newer than they are, seed ${seed}`, async () => {
            const world = createWorld(10);
            const random = createSeededRandom(seed);
            for (let step = 1; step <= 300; step++) {
                if (random.chance(0.2)) {
                    applyFault(world, random);
                }
                await world.time.advance(step * 100);
                expectTruthful(world, seed);
            }
        });
    }
});

describe("copy of a topic", () => {
    const createCache = (): TopicCache => {
        const cache = createTopicCache();
        cache.replaceAll([{ key: "a", value: encodeVersion(1), offset: 3 }, {
            key: "b",
            value: encodeVersion(2),
            offset: 4,
        }], 5);
        cache.markConfirmed({ monotonic: performance.now(), timeOfDay: Date.now() });
        return cache;
    };
    const listRecords = (message: RelayMessage | undefined): readonly (readonly [string, number | undefined])[] =>
        message?.kind === "records" ? message.records.map(([key, value]) => [key, value?.[0]] as const) : [];

    it("answers with what was written since an offset, deletions included", () => {
        const cache = createCache();
        expect(cache.read(5)).to.equal(undefined);
        cache.apply([{ key: "a", value: undefined, offset: 5 }, { key: "c", value: encodeVersion(7), offset: 6 }], 7);
        expect(listRecords(cache.read(5))).to.deep.equal([["a", undefined], ["c", 7]]);
        expect(listRecords(cache.read(undefined))).to.deep.equal([["b", 2], ["c", 7]]);
    });

    it("reports a key that a snapshot doesn't have any more as deleted", () => {
        const cache = createCache();
        cache.replaceAll([{ key: "b", value: encodeVersion(2), offset: 4 }], 9);
        expect(listRecords(cache.read(5))).to.deep.equal([["a", undefined]]);
    });

    it("says that it doesn't know what was deleted long ago", () => {
        const cache = createCache();
        for (let offset = 5; offset < 2_000; offset++) {
            cache.apply([{ key: `k${offset}`, value: undefined, offset }], offset + 1);
        }
        expect(cache.read(5)?.kind).to.equal("expired");
        expect(listRecords(cache.read(1_990)).length).to.equal(10);
    });

    it("doesn't answer a read beyond what it knows, or before it has read anything", () => {
        expect(createCache().read(6)?.kind).to.equal("unavailable");
        expect(createTopicCache().read(undefined)?.kind).to.equal("unavailable");
    });

    it("doesn't pass on a value that means the same as the one before", () => {
        const cache = createTopicCache({ isSameValue: (key, previous, next) => previous[0] === next[0] });
        cache.replaceAll([{ key: "a", value: encodeVersion(1), offset: 3 }], 4);
        cache.markConfirmed({ monotonic: performance.now(), timeOfDay: Date.now() });
        cache.apply([{ key: "a", value: encodeVersion(1), offset: 4 }], 5);
        expect(cache.read(4)).to.equal(undefined);
        cache.apply([{ key: "a", value: encodeVersion(2), offset: 5 }], 6);
        expect(listRecords(cache.read(4))).to.deep.equal([["a", 2]]);
        cache.apply([{ key: "a", value: undefined, offset: 6 }, { key: "a", value: encodeVersion(2), offset: 7 }], 8);
        expect(listRecords(cache.read(6))).to.deep.equal([["a", 2]]);
    });

    it("tells the age of its data, by the clock that shows more", () => {
        const cache = createCache();
        const now = { monotonic: performance.now(), timeOfDay: Date.now() };
        cache.markConfirmed({ monotonic: now.monotonic, timeOfDay: now.timeOfDay - 3_000 });
        const answer = cache.read(undefined);
        expect(answer?.kind === "records" && answer.age).to.be.closeTo(3_000, 500);
        expect(measureAge(undefined, now)).to.equal(Number.POSITIVE_INFINITY);
    });
});
