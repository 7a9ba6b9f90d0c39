import { expect } from "chai";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { encodeRecord } from "../logRecords.js";
import { createPlatformStore, type PlatformStore } from "../store.js";
import { createTopicReads, topicReadBytes } from "../topicReads.js";

const mebibyte = 1_048_576;
/** Pages after which the test's store has an end, as the reader would go on until the process has no memory. */
const pageLimit = 1_500;
/** Pages of a read at the most: of 500 records without a byte, for each of which 128 bytes count. */
const mostPages = topicReadBytes / (500 * 128) + 1;

interface ReadPages {
    readonly pages: number;
    readonly end: string;
}

async function readPages(
    createPage: (page: number, path: string) => string | Buffer,
    read: (store: PlatformStore) => Promise<{ readonly ok: boolean; readonly error?: { readonly kind: string; }; }>,
): Promise<ReadPages> {
    let pages = 0;
    const server = createServer((request, response) => {
        pages++;
        response.end(createPage(pages, request.url!));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const store = createPlatformStore(`127.0.0.1:${(server.address() as AddressInfo).port}`, () => undefined);
    const result = await read(store);
    store.close();
    server.closeAllConnections();
    server.close();
    return { pages, end: result.ok ? "read" : result.error!.kind };
}

const createKeyedPage = (page: number, records: number, valueBytes: number, hasMore: boolean): string =>
    JSON.stringify({
        items: Array.from({ length: records }, (unused, index) => ({
            key: `k-${page}-${index}`,
            value: Buffer.alloc(valueBytes).toString("base64"),
            offset: page * 1_000 + index,
        })),
        has_more: hasMore,
        end_offset: 9_000_000,
    });

const createLogPage = (records: number, recordBytes: number, endOffset: number): Buffer => {
    const offsets = Buffer.alloc(16);
    offsets.writeBigUInt64BE(BigInt(endOffset));
    return Buffer.concat([offsets, ...Array.from({ length: records }, () => encodeRecord(Buffer.alloc(recordBytes)))]);
};

describe("reads of a topic whose pages have no end", () => {
    const keyed: readonly (readonly [string, number, number])[] = [
        ["full of large records", 4, 200_000],
        ["full of small records", 500, 1],
        ["with one record", 1, 1],
    ];
    for (const [name, records, valueBytes] of keyed) {
        // guards against a store that fills the memory of all instances at once with pages that are sound each (LOST)
        it(`fail as the store's fault when pages come ${name}`, async function() {
            this.timeout(60_000);
            const { pages, end } = await readPages(
                page => createKeyedPage(page, records, valueBytes, page < pageLimit),
                store => store.readNewest("servers"),
            );
            expect(end).to.equal("unreachable");
            expect(pages).to.be.at.most(mostPages);
        });
    }

    // guards against a page that comes again and again
    it("fail when the same page comes again", async () => {
        const { pages, end } = await readPages(
            page => createKeyedPage(0, 1, 1, page < pageLimit),
            store => store.readNewest("quarantines"),
        );
        expect([end, pages <= mostPages]).to.deep.equal(["unreachable", true]);
    });

    for (const [records, recordBytes] of [[4, 200_000], [100_000, 0], [1, 1]] as const) {
        // guards against the same in a topic whose records expire
        it(`fail in a log without keys whose pages have ${records} records of ${recordBytes} bytes`, async function() {
            this.timeout(60_000);
            const { pages, end } = await readPages(
                page => createLogPage(records, recordBytes, page < pageLimit ? Number.MAX_SAFE_INTEGER : 0),
                store => store.streams.readAll(),
            );
            expect(end).to.equal("unreachable");
            expect(pages).to.be.at.most(mostPages);
        });
    }

    // guards against a bound that a large deployment meets: 15,000 adapters with four versions' records each
    it("go on for 60,000 records", async function() {
        this.timeout(60_000);
        const { pages, end } = await readPages(
            page => createKeyedPage(page, 500, 100, page < 120),
            store => store.readNewest("configuration"),
        );
        expect([end, pages]).to.deep.equal(["read", 120]);
    });

    // guards against a processor that only reads such a topic again and again
    it("are tried again after a while, and others meanwhile", () => {
        const reads = createTopicReads();
        const read = reads.open("first", 0)!;
        expect(read.addPage({ bytes: topicReadBytes + 1, records: 0 }, 100)).to.match(/more than/);
        read.close();
        const opened = [["first", 5_099], ["second", 200], ["first", 5_100]] as const;
        expect(opened.map(([topic, now]) => reads.open(topic, now) !== undefined)).to.deep.equal([false, true, true]);
    });

    // guards against several topics without end that are within their bound each, and sound reads that fail beside them
    it("share a bound with reads at the same time, at which the largest fails", () => {
        const reads = createTopicReads();
        const [first, second, third, small] = ["first", "second", "third", "small"].map(topic => reads.open(topic, 0));
        const add = (read: typeof first, mebibytes: number) =>
            read!.addPage({ bytes: mebibytes * mebibyte, records: 0 }, 0);
        expect([add(first, 31), add(second, 20), add(third, 12)]).to.deep.equal([undefined, undefined, undefined]);
        expect(add(small, 2)).to.equal(undefined);
        expect(add(first, 0.1)).to.match(/together/);
        first!.close();
        expect([add(second, 5), add(second, 8)].map(excess => excess !== undefined)).to.deep.equal([false, true]);
    });
});
