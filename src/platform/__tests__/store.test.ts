import { expect } from "chai";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
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
