import { expect } from "chai";
import { createRefusedRecords } from "../refusedRecords.js";
import type { RecordError } from "../types.js";

const badAddress: RecordError = { kind: "unreadable", field: "address", detail: "not an address" };
const badZone: RecordError = { kind: "unreadable", field: "zone", detail: "not a text" };

describe("log of refused records", () => {
    // guards against an entry of another writer of which no log tells, and against a line for each heartbeat of it
    it("names record, field and reason once, and again when the reason changes or the record was usable", () => {
        let refusals = 0;
        const lines: unknown[] = [];
        const refused = createRefusedRecords(() => refusals++, (event, fields) => lines.push({ event, ...fields }));
        refused.add("servers", "i-1", badAddress);
        refused.add("servers", "i-1", badAddress);
        refused.add("servers", "i-1", badZone);
        refused.remove("servers", "i-1");
        refused.add("servers", "i-1", badZone);
        const line = { event: "record refused", topic: "servers", key: "i-1" };
        expect(lines).to.deep.equal([
            { ...line, field: "address", reason: "not an address" },
            { ...line, field: "zone", reason: "not a text" },
            { ...line, field: "zone", reason: "not a text" },
        ]);
        expect(refusals).to.equal(4);
    });

    // guards against lines as long as a writer likes
    it("shortens keys and reasons", () => {
        const fields: unknown[] = [];
        const refused = createRefusedRecords(undefined, (event, written) => fields.push(written));
        refused.add("servers", "k".repeat(10_000), { ...badAddress, detail: "d".repeat(10_000) });
        expect(fields).to.deep.equal([
            { topic: "servers", key: "k".repeat(100), field: "address", reason: "d".repeat(200) },
        ]);
    });
});
