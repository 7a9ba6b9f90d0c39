import { expect } from "chai";
import { type Result, wrapError, wrapValue } from "../../shared/index.js";
import { createKeyedFollower } from "../keyedFollower.js";
import { createStoreEras } from "../storeEras.js";
import { createTopicCache } from "../topicCache.js";
import type { KeyedRecord, KeyedSnapshot, StoreError } from "../types.js";

const createRecord = (key: string, offset: number): KeyedRecord => ({ key, value: Buffer.from("v"), offset });

describe("follower of a topic", () => {
    // guards against a record at which the handler throws whenever it is read, so that nothing after it is followed
    it("goes on after a record that its handler can't take, in the newest records and in later ones", async () => {
        const stop = new AbortController();
        const pages = [
            { records: [createRecord("a", 0), createRecord("bad", 1), createRecord("b", 2)], endOffset: 3 },
            { records: [createRecord("c", 3), createRecord("bad", 4), createRecord("d", 5)], endOffset: 6 },
            { records: [createRecord("e", 6)], endOffset: 7 },
        ];
        const from: (number | undefined)[] = [];
        const readPage = async (offset?: number): Promise<Result<KeyedSnapshot, StoreError>> => {
            const page = pages.find(({ endOffset }) => endOffset > (offset ?? 0));
            from.push(offset);
            if (!page) {
                stop.abort();
                return wrapValue({ records: [], endOffset: offset! });
            }
            return wrapValue(page);
        };
        const cache = createTopicCache();
        let known = new Set<string>();
        const applyRecords = (records: readonly KeyedRecord[]): void => {
            for (const { key } of records) {
                if (key === "bad") {
                    throw new TypeError("Invalid URL");
                }
                known.add(key);
            }
        };
        let confirmed = 0;
        const follower = createKeyedFollower({
            log: {
                readNewest: () => readPage(),
                readFrom: (topic, offset) => readPage(offset),
                append: async () => wrapValue(undefined),
            },
            topic: "servers",
            wait: 0,
            cache,
            sleep: async () => undefined,
            onSnapshot: records => {
                known = new Set();
                applyRecords(records);
            },
            onRecords: applyRecords,
            onConfirmed: () => confirmed++,
            onFailure: () => undefined,
        });
        await follower.run(stop.signal);
        // a record that can't be taken is read three times, as the cause may pass
        expect(from).to.deep.equal([undefined, undefined, undefined, 3, 3, 3, 6, 7]);
        expect([...known]).to.deep.equal(["a", "b", "c", "d", "e"]);
        expect(confirmed).to.be.at.least(3);
        const read = cache.read(undefined);
        expect(read?.kind === "records" && [read.records.length, read.endOffset]).to.deep.equal([6, 7]);
    });

    // runs a follower over answers in turn; notes what each one confirms, and from where the next read goes on
    const collectEvents = async (answers: readonly Result<KeyedSnapshot, StoreError>[]) => {
        const stop = new AbortController();
        const events: unknown[] = [];
        const rest = [...answers];
        let now = 0;
        const readNext = async (offset: number | undefined): Promise<Result<KeyedSnapshot, StoreError>> => {
            events.push(["read", offset]);
            now += 1_000;
            const next = rest.shift();
            if (!next) {
                stop.abort();
            }
            return next ?? wrapError({ kind: "busy", status: 503 });
        };
        const cache = createTopicCache({ readNow: () => ({ monotonic: now, timeOfDay: now }) });
        const follower = createKeyedFollower({
            log: {
                readNewest: () => readNext(undefined),
                readFrom: (topic, offset) => readNext(offset),
                append: async () => wrapValue(undefined),
            },
            topic: "configuration",
            wait: 0,
            cache,
            sleep: async () => undefined,
            readClocks: () => ({ monotonic: now, timeOfDay: now }),
            onSnapshot: () => undefined,
            onRecords: () => undefined,
            onAnswered: at => events.push(["answered", at.monotonic]),
            onConfirmed: at => events.push(["confirmed", at.monotonic, cache.readAge()]),
            onFailure: ({ kind }) => events.push(["failed", kind]),
        });
        await follower.run(stop.signal);
        return events;
    };
    const createAnswer = (keys: readonly string[], from: number, topicEnd: number, size = 1) =>
        wrapValue({
            records: keys.map((key, index) => ({ key, value: Buffer.alloc(size), offset: from + index })),
            endOffset: from + keys.length,
            ...topicEnd > from + keys.length && { topicEnd },
        });

    // guards against a part of the versions that counts as all of them, for this instance and those that read through it (CONFIG)
    it("confirms a part of what was there only when it has read the rest, with the time of the first read", async () => {
        const keys = ["a", "b", "c", "d"];
        expect(
            await collectEvents([
                createAnswer(keys, 0, 4),
                createAnswer(["a", "b"], 4, 8),
                // the topic has grown since
                createAnswer(["c", "d"], 6, 11),
                createAnswer(["a", "b", "c"], 8, 11),
            ]),
        ).to.deep.equal([
            ["read", undefined],
            ["answered", 0],
            ["confirmed", 0, 1_000],
            ["read", 4],
            ["read", 6],
            ["answered", 1_000],
            ["confirmed", 1_000, 2_000],
            ["read", 8],
            ["answered", 3_000],
            ["confirmed", 3_000, 1_000],
            ["read", 11],
        ]);
    });

    // guards against versions that are read one after the other though they are out of date already
    it("reads the newest records of all keys where the rest is larger than those", async () => {
        expect(
            await collectEvents([
                createAnswer(["config"], 0, 1, 250),
                createAnswer(["config", "config", "config", "config"], 1, 13, 250),
                createAnswer(["config"], 13, 14, 250),
            ]),
        ).to.deep.equal([
            ["read", undefined],
            ["answered", 0],
            ["confirmed", 0, 1_000],
            ["read", 1],
            ["read", undefined],
            ["answered", 2_000],
            ["confirmed", 2_000, 1_000],
            ["read", 14],
        ]);
    });

    // guards against a follower that asks without a pause for a record which no read returns
    it("takes an answer that ends where it began, before the end that it names, for a failure", async () => {
        expect(
            await collectEvents([
                createAnswer(["a"], 0, 1),
                createAnswer([], 1, 2),
                createAnswer(["a"], 1, 2),
            ]),
        ).to.deep.equal([
            ["read", undefined],
            ["answered", 0],
            ["confirmed", 0, 1_000],
            ["read", 1],
            ["failed", "refused"],
            ["read", undefined],
            ["answered", 2_000],
            ["confirmed", 2_000, 1_000],
            ["read", 2],
        ]);
    });

    // guards against servers, or a configuration, that are forgotten because a read of their topic is given up
    it("keeps what it knows while new snapshots fail, and takes the next one that comes", async () => {
        const stop = new AbortController();
        const cache = createTopicCache();
        const taken: (readonly string[])[] = [];
        const failures: string[] = [];
        const failure = wrapError<StoreError>({ kind: "unreachable", detail: "topic of more than 33554432 bytes" });
        const snapshots: readonly Result<KeyedSnapshot, StoreError>[] = [
            wrapValue({ records: [createRecord("a", 0)], endOffset: 1 }),
            failure,
            failure,
            wrapValue({ records: [createRecord("b", 8)], endOffset: 9 }),
        ];
        let asked = 0;
        const follower = createKeyedFollower({
            log: {
                readNewest: async () => snapshots[asked++]!,
                readFrom: async (topic, offset) => {
                    if (offset === 9) {
                        stop.abort();
                    }
                    return wrapError({ kind: "expired", firstOffset: 8 });
                },
                append: async () => wrapValue(undefined),
            },
            topic: "servers",
            wait: 0,
            cache,
            sleep: async () => undefined,
            onSnapshot: records => taken.push(records.map(({ key }) => key)),
            onRecords: () => undefined,
            onConfirmed: () => undefined,
            onFailure: ({ kind }) => {
                const read = cache.read(undefined);
                const known = read?.kind === "records" ? read.records.map(([key]) => key) : [];
                failures.push(`${kind} ${known.join()}`);
            },
        });
        await follower.run(stop.signal);
        expect(taken).to.deep.equal([["a"], ["b"]]);
        expect(failures).to.deep.equal(["expired a", "unreachable a", "unreachable a"]);
    });

    // guards against versions that are never read, as the log has grown past the reader's offset again (CONFIG)
    it("reads all newest records again when the store has come back older, and confirms nothing until it has all", async () => {
        const stop = new AbortController();
        const eras = createStoreEras();
        let now = 1_000;
        const events: unknown[] = [];
        const follower = createKeyedFollower({
            log: {
                readNewest: async () =>
                    eras.read() === 0
                        ? wrapValue({ records: [createRecord("a", 0), createRecord("b", 5)], endOffset: 6, era: 0 })
                        : wrapValue({ records: [createRecord("a", 0)], endOffset: 9, era: eras.read() }),
                readFrom: async (topic, offset, wait, era) => {
                    events.push(["read", offset, era]);
                    now += 1_000;
                    if (offset === 6) {
                        eras.observe(1);
                        return wrapError({ kind: "restored", era: 1 });
                    }
                    if (now > 4_000) {
                        stop.abort();
                    }
                    return wrapValue({ records: [], endOffset: 9, era: 1 });
                },
                append: async () => wrapValue(undefined),
            },
            topic: "servers",
            wait: 0,
            rules: { choose: ({ known, copied }) => copied ?? known },
            readSettledAt: () => eras.read() === 0 ? 0 : 3_500,
            readClocks: () => ({ monotonic: now, timeOfDay: now }),
            sleep: async () => undefined,
            onRestored: lost => events.push(["lost", ...lost.map(({ key }) => key)]),
            onSnapshot: records => events.push(["newest", ...records.map(({ key }) => key)]),
            onRecords: () => undefined,
            onAnswered: () => undefined,
            onConfirmed: at => events.push(["confirmed", at.monotonic]),
            onFailure: ({ kind }) => events.push(kind),
        });
        await follower.run(stop.signal);
        expect(events).to.deep.equal([
            ["newest", "a", "b"],
            ["confirmed", 1_000],
            ["read", 6, 0],
            ["lost", "b"],
            ["newest", "a", "b"],
            ["read", 9, 1],
            ["read", 9, 1],
            ["read", 9, 1],
            ["confirmed", 4_000],
        ]);
    });

    // guards against records that are never read, where a source answers an offset of before in a later era (CONFIG)
    it("begins with the newest records when later records come from another era than its offset", async () => {
        const stop = new AbortController();
        const from: (number | undefined)[] = [];
        let era = 1;
        const follower = createKeyedFollower({
            log: {
                readNewest: async () => {
                    from.push(undefined);
                    return wrapValue({ records: [createRecord("a", 3)], endOffset: 4, era });
                },
                readFrom: async (topic, offset) => {
                    from.push(offset);
                    if (from.length > 3) {
                        stop.abort();
                    }
                    era = 2;
                    return wrapValue({ records: [], endOffset: 6, era });
                },
                append: async () => wrapValue(undefined),
            },
            topic: "configuration",
            wait: 0,
            sleep: async () => undefined,
            onSnapshot: () => undefined,
            onRecords: () => undefined,
            onConfirmed: () => undefined,
            onFailure: () => undefined,
        });
        await follower.run(stop.signal);
        expect(from.slice(0, 3)).to.deep.equal([undefined, 4, undefined]);
    });

    // guards against an evacuation that ends as the copy, which lacks it, is read a second time before it is settled
    it("takes nothing away with a further read of a copy that may lack records", async () => {
        const stop = new AbortController();
        const taken: (readonly string[])[] = [];
        let era = 0;
        const follower = createKeyedFollower({
            log: {
                readNewest: async () => {
                    const records = [createRecord("a", 0), ...era === 0 ? [createRecord("b", 1)] : []];
                    return wrapValue({ records, endOffset: 2, era });
                },
                readFrom: async () => {
                    era = 1;
                    return taken.length === 1
                        ? wrapError({ kind: "restored", era })
                        : wrapError({ kind: "refused", status: 500, detail: "" });
                },
                append: async () => wrapValue(undefined),
            },
            topic: "configuration",
            wait: 0,
            rules: { choose: ({ known, copied }) => copied ?? known, needsSecondRead: true },
            readSettledAt: () => era === 0 ? 0 : Number.POSITIVE_INFINITY,
            sleep: async () => undefined,
            onSnapshot: records => {
                taken.push(records.map(({ key }) => key));
                if (taken.length === 3) {
                    stop.abort();
                }
            },
            onRecords: () => undefined,
            onConfirmed: () => undefined,
            onFailure: () => undefined,
        });
        await follower.run(stop.signal);
        expect(taken).to.deep.equal([["a", "b"], ["a", "b"], ["a", "b"]]);
    });
});
