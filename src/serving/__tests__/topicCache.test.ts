import { expect } from "chai";
import { measureAge } from "../freshness.js";
import type { RelayMessage } from "../relayMessages.js";
import { createTopicCache, type TopicCache } from "../topicCache.js";

const encodeVersion = (version: number): Uint8Array => Buffer.from([version]);

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

    // guards against a deletion that a reader never learns of, as one that starts, or starts over, takes a snapshot after it
    it("says that it doesn't know what was deleted between its last read and its snapshot", () => {
        const cache = createCache();
        cache.replaceAll([{ key: "b", value: encodeVersion(2), offset: 4 }], 9);
        expect(cache.read(5)?.kind).to.equal("records");
        expect(cache.read(7)?.kind).to.equal("expired");
        expect(cache.read(9)).to.equal(undefined);
        cache.apply([{ key: "c", value: encodeVersion(7), offset: 9 }], 10);
        expect(cache.read(7)?.kind).to.equal("expired");
        const fresh = createTopicCache();
        fresh.replaceAll([{ key: "b", value: encodeVersion(2), offset: 4 }], 9);
        fresh.markConfirmed({ monotonic: performance.now(), timeOfDay: Date.now() });
        expect([fresh.read(5)?.kind, fresh.read(9)]).to.deep.equal(["expired", undefined]);
        expect(listRecords(fresh.read(undefined))).to.deep.equal([["b", 2]]);
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

    // guards against records that are missed, as their offsets were given out before the store came back older (CONFIG)
    it("knows offsets of one era of the store only", () => {
        const cache = createCache();
        cache.apply([{ key: "b", value: undefined, offset: 5 }], 6);
        cache.replaceAll([{ key: "a", value: encodeVersion(1), offset: 3 }], 6, 1);
        expect(cache.read(6, 0)?.kind).to.equal("expired");
        expect(cache.read(6, 1)).to.equal(undefined);
        expect(cache.read(6, 2)?.kind).to.equal("unavailable");
        const newest = cache.read(undefined);
        expect(listRecords(newest)).to.deep.equal([["a", 1]]);
        expect(newest?.kind === "records" && newest.era).to.equal(1);
    });
});
