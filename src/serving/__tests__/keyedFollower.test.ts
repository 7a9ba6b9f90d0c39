import { expect } from "chai";
import { type Result, wrapError, wrapValue } from "../../shared/index.js";
import { createKeyedFollower } from "../keyedFollower.js";
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
});
