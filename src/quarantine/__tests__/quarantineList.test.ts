import { expect } from "chai";
import { createQuarantineList } from "../quarantineList.js";
import { formatScopeKey, type QuarantineScope } from "../types.js";

const scope: QuarantineScope = { kind: "part", part: "b", account: undefined };
const createValue = (change: object = {}): Uint8Array =>
    Buffer.from(JSON.stringify({ ...scope, trials: 0, ...change }));

describe("list of quarantines", () => {
    // guards against a record of another writer that hides the others, or makes a time that is none
    it("leaves out records that can't be read or are out of their ranges, and holds the others", () => {
        const list = createQuarantineList();
        const values: readonly Uint8Array[] = [
            Buffer.from([0xff]),
            Buffer.from("[".repeat(200_000)),
            createValue({ trials: -1 }),
            createValue({ trials: 0.5 }),
            createValue({ trials: 1_000_000_001 }),
            createValue({ part: "p".repeat(1_025) }),
            createValue({ account: "a".repeat(1_025) }),
            createValue({ other: "x".repeat(70_000) }),
        ];
        const records = values.map((value, offset) => ({ key: `odd ${offset}`, value, offset }));
        const added = list.replaceAll(
            [...records, { key: formatScopeKey(scope), value: createValue(), offset: 90 }],
            1_000,
        );
        expect(added.map(({ kind, trials }) => [kind, trials])).to.deep.equal([["part", 0]]);
        records.forEach(record => list.apply(record, 2_000));
        expect(list.list().map(formatScopeKey)).to.deep.equal(["b"]);
        const request = { prompt: { shared: ["b"], own: "c" }, account: undefined, digest: "d" };
        expect(list.decide(request, 2_000)).to.deep.include({ kind: "quarantined", remaining: 29_000 });
    });
});
