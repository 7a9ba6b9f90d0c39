import { expect } from "chai";
import { createStoreEras } from "../../serving/storeEras.js";
import { createSystemClock, wrapError, wrapValue } from "../../shared/index.js";
import { createStreamArchive } from "../streamArchive.js";

const createRecord = (service: string, key: string, version: unknown = "v1"): Uint8Array =>
    Buffer.from(JSON.stringify({ streams: [{ origin: { service, version }, keys: [key] }] }));

describe("archive of streams", () => {
    // guards against a record of another writer that hides the streams of the others
    it("passes over records that can't be read or are out of their ranges, and keeps the others", async () => {
        const records = [
            Buffer.from([0xff, 0x00]),
            Buffer.from("{"),
            Buffer.from("[".repeat(200_000)),
            createRecord("llm", "first"),
            createRecord("x".repeat(1_025), "long service"),
            createRecord("llm", "y".repeat(1_025)),
            createRecord("llm", "long version", "z".repeat(1_025)),
            createRecord("llm", "no version", {}),
            Buffer.from(JSON.stringify({ streams: [], other: "x".repeat(17_000_000) })),
            createRecord("llm", "__proto__"),
        ];
        const archive = createStreamArchive(createSystemClock(), {
            append: async () => wrapValue(undefined),
            readAll: async () => wrapValue(records),
        });
        await archive.load();
        const keys = ["first", "long service", "y".repeat(1_025), "long version", "no version", "__proto__"];
        const found = await Promise.all(keys.map(key => archive.find(key)));
        expect(found.map(origin => origin?.service)).to.deep.equal(
            ["llm", undefined, undefined, undefined, undefined, "llm"],
        );
    });

    // guards against a stopped instance that goes on for a minute with what the store doesn't answer
    it("tries nothing again once it is closed", async () => {
        let reads = 0;
        let writes = 0;
        const unreachable = wrapError({ kind: "unreachable", detail: "away" } as const);
        const archive = createStreamArchive(createSystemClock(), {
            append: async () => (writes++, unreachable),
            readAll: async () => (reads++, unreachable),
        });
        const loaded = archive.load();
        archive.add([{ key: "k", origin: { service: "llm", version: "v1" } }]);
        archive.close();
        await loaded;
        await new Promise(resolve => setTimeout(resolve, 250));
        expect([reads, writes]).to.deep.equal([1, 1]);
    });

    // guards against streams that can't be resumed, as the store's copy is of before they were written
    it("writes again what it has written lately when the store comes back older", async () => {
        const eras = createStoreEras();
        const written: string[] = [];
        const archive = createStreamArchive(createSystemClock(), {
            append: async record => (written.push(String(Buffer.from(record))), wrapValue(undefined)),
            readAll: async () => wrapValue([]),
        }, eras);
        archive.add([{ key: "k", origin: { service: "llm", version: "v1" } }]);
        await new Promise(resolve => setTimeout(resolve, 200));
        expect(written.length).to.equal(1);
        eras.observe(1);
        await new Promise(resolve => setTimeout(resolve, 200));
        archive.close();
        expect(written).to.deep.equal([written[0], written[0]]);
    });
});
