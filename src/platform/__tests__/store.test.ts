import { expect } from "chai";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createStoreEras, type StoreEras } from "../../serving/storeEras.js";
import { encodeKeyedRecord, encodeRecord } from "../logRecords.js";
import { createPlatformStore, type PlatformStore } from "../store.js";

const createOffsets = (end: number): Buffer => {
    const bytes = Buffer.alloc(16);
    bytes.writeBigUInt64BE(BigInt(end));
    return bytes;
};

describe("reads of the platform's store", () => {
    let server: Server;
    let store: PlatformStore;
    let createAnswer: (request: IncomingMessage) => string | Buffer;

    beforeEach(async () => {
        server = createServer((request, response) => void response.end(createAnswer(request)));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        store = createPlatformStore(`127.0.0.1:${(server.address() as AddressInfo).port}`, () => undefined);
    });
    afterEach(() => {
        store.close();
        server.closeAllConnections();
        server.close();
    });

    // guards against a follower that stands still for good at one record
    it("go on after a record that is shorter than its key, with the offsets of the others", async () => {
        createAnswer = () =>
            Buffer.concat([
                createOffsets(10),
                encodeKeyedRecord("a", Buffer.from("1")),
                encodeRecord(Buffer.from([200, 1, 2])),
                encodeRecord(Buffer.alloc(0)),
                encodeKeyedRecord("b", Buffer.from("2")),
            ]);
        const read = await store.readFrom("servers", 6, 0);
        expect(read).to.deep.equal({
            ok: true,
            value: {
                records: [
                    { key: "a", value: Buffer.from("1"), offset: 6 },
                    { key: "b", value: Buffer.from("2"), offset: 9 },
                ],
                endOffset: 10,
                era: 0,
            },
        });
    });

    // guards against a part of a topic that looks like the whole, as a read returns so many bytes at most (CONFIG)
    it("tell the end of a topic where an answer doesn't reach it", async () => {
        createAnswer = () => Buffer.concat([createOffsets(12), encodeKeyedRecord("a", Buffer.from("1"))]);
        const read = await store.readFrom("configuration", 6, 0);
        expect(read.ok && [read.value.endOffset, read.value.topicEnd]).to.deep.equal([7, 12]);
    });

    // guards against the first pages of a topic that count as all of them
    it("fail when a page says that more follow, and brings nothing by which they could be asked for", async () => {
        createAnswer = () => '{"items":[],"has_more":true,"end_offset":2}';
        const newest = await store.readNewest("servers");
        expect(newest.ok ? "read" : newest.error.kind).to.equal("unreachable");
        createAnswer = () => createOffsets(3);
        const records = await store.streams.readAll();
        expect(records.ok ? "read" : records.error.kind).to.equal("unreachable");
    });

    // guards against an overflow of the stack at a page of very many records
    it("take a page of very many small records", async () => {
        const count = 250_000;
        createAnswer = () => Buffer.concat([createOffsets(count), Buffer.alloc(count * 4)]);
        const read = await store.streams.readAll();
        expect(read.ok && read.value.length).to.equal(count);
    });

    // guards against a key at which the request for the next page throws
    it("ask for the next page after a key that is no proper text", async () => {
        const asked: (string | undefined)[] = [];
        createAnswer = request => {
            asked.push(request.url);
            return asked.length === 1
                ? '{"items":[{"key":"\\ud800","value":"dg==","offset":1}],"has_more":true,"end_offset":2}'
                : '{"items":[{"key":"z","value":"dg==","offset":1}],"has_more":false,"end_offset":2}';
        };
        const read = await store.readNewest("servers");
        expect(read.ok && read.value.records.map(record => record.key)).to.deep.equal(["\ud800", "z"]);
        expect(asked[1]).to.contain("after=%EF%BF%BD");
    });

    // guards against one item that hides all others
    it("leave out items that aren't valid, and keep the others", async () => {
        createAnswer = () =>
            JSON.stringify({
                items: [
                    { key: "a", value: "dg==", offset: 1 },
                    { key: 7, value: "dg==", offset: 1 },
                    { key: "b", value: "dg==", offset: -1 },
                    { key: "c", value: {}, offset: 1 },
                    "text",
                    { key: "d", value: "dg==", offset: 2 },
                ],
                end_offset: 3,
            });
        const read = await store.readNewest("servers");
        expect(read.ok && read.value.records.map(record => record.key)).to.deep.equal(["a", "d"]);
    });
});

describe("answers of a store that has come back older", () => {
    const startStore = async (
        eras: StoreEras,
        answer: (request: IncomingMessage, response: ServerResponse) => void,
    ) => {
        const server = createServer(answer);
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const store = createPlatformStore(address, () => undefined, eras);
        return {
            store,
            close: () => {
                store.close();
                server.closeAllConnections();
                server.close();
            },
        };
    };
    const sendRead = (response: ServerResponse, era: string | undefined): void => {
        response.writeHead(200, era === undefined ? {} : { "store-era": era });
        response.end(createOffsets(10));
    };

    // guards against records that are never read, as the log has grown past the reader's offset again (CONFIG)
    it("give no records from an offset of before, whether the log has it again or not", async () => {
        const eras = createStoreEras();
        let status = 200;
        const { store, close } = await startStore(eras, (request, response) => {
            if (status === 200) {
                sendRead(response, "3");
                return;
            }
            response.writeHead(status, { "store-era": "3" });
            response.end('{"first_offset":0}');
        });
        eras.observe(2);
        expect(await store.readFrom("servers", 6, 0, 2)).to.deep.equal({
            ok: false,
            error: { kind: "restored", era: 3 },
        });
        status = 410;
        expect(await store.readFrom("servers", 6, 0, 2)).to.deep.equal({
            ok: false,
            error: { kind: "restored", era: 3 },
        });
        expect(await store.readFrom("servers", 6, 0, 3)).to.deep.equal({
            ok: false,
            error: { kind: "expired", firstOffset: 0 },
        });
        close();
    });

    // guards against an answer of before that comes late and is believed
    it("are left out when they were made before, or when their era can't be read", async () => {
        const eras = createStoreEras();
        let era: string | undefined = "1";
        const { store, close } = await startStore(eras, (request, response) => sendRead(response, era));
        eras.observe(2);
        const read = async (): Promise<unknown> => {
            const answer = await store.readFrom("servers", 6, 0);
            return answer.ok ? answer.value.era : answer.error.kind;
        };
        expect(await read()).to.equal("unreachable");
        era = "x";
        expect(await read()).to.equal("unreachable");
        era = "2";
        expect(await read()).to.equal(2);
        era = undefined;
        expect(await read()).to.equal(2);
        close();
    });

    // guards against a reader that waits at an offset which the store no longer has
    it("end a read that waits as soon as another call tells of the new era", async () => {
        const eras = createStoreEras();
        const { store, close } = await startStore(eras, () => undefined);
        const read = store.readFrom("servers", 6, 10_000);
        eras.observe(1);
        expect(await read).to.deep.equal({ ok: false, error: { kind: "restored", era: 1 } });
        close();
    });
});

describe("connections to a store that has come back older", () => {
    // guards against reads of before that keep all connections, so that joins wait until the membership has lapsed
    it("aren't kept by reads that have ended with the return", async () => {
        const eras = createStoreEras();
        eras.observe(1);
        let era = "1";
        const server = createServer((request, response) => {
            if (request.url?.startsWith("/log-read")) {
                return;
            }
            response.writeHead(200, { "store-era": era });
            response.end('{"generation":1,"parts":[]}');
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const store = createPlatformStore(address, () => undefined, eras);
        const topics = ["configuration", "servers", "instances", "quarantines"] as const;
        try {
            const before = topics.map(topic => store.readFrom(topic, 1, 5_000, 1));
            era = "2";
            await store.shards.join("a", 0, 1_500);
            expect((await Promise.all(before)).every(read => !read.ok && read.error.kind === "restored")).to.equal(
                true,
            );
            const after = topics.map(topic => store.readFrom(topic, 1, 5_000, 2));
            const joined = await store.shards.join("a", 0, 1_500);
            store.close();
            await Promise.all(after);
            expect(joined.ok, JSON.stringify(joined)).to.equal(true);
        }
        finally {
            store.close();
            server.closeAllConnections();
            server.close();
        }
    });

    // guards against one damaged header, after which all later answers would count as those of the past
    it("are of use again after one answer whose era is far too high", async () => {
        const eras = createStoreEras();
        let era = "3";
        const server = createServer((request, response) => {
            response.writeHead(200, { "store-era": era });
            response.end('{"generation":1,"parts":[]}');
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const store = createPlatformStore(address, () => undefined, eras);
        try {
            await store.shards.join("a", 0, 1_500);
            era = "900003";
            await store.shards.join("a", 0, 1_500);
            era = "3";
            const joins: boolean[] = [];
            for (let call = 0; call < 10; call++) {
                joins.push((await store.shards.join("a", 0, 1_500)).ok);
            }
            expect(joins.at(-1)).to.equal(true);
        }
        finally {
            store.close();
            server.closeAllConnections();
            server.close();
        }
    });
});
