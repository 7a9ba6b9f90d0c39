import { expect } from "chai";
import fc from "fast-check";
import type { EngineTable } from "../messages.js";
import { applyTableChange, diffTables } from "../tableChanges.js";

const name = fc.constantFrom("a@1#1-1", "b@1#1-2", "c@1#1-3", "d@2#1-4", "e@1#1-5");
const names = fc.uniqueArray(name);
const table = fc.record({
    resident: names,
    retiring: names,
    loading: names,
    failed: fc.constant([]),
    running: names.chain(list =>
        fc.array(fc.integer({ min: 1, max: 9 }), { minLength: list.length, maxLength: list.length })
            .map(counts => list.map((load, index) => ({ name: load, count: counts[index]! })))
    ),
    inFlight: fc.nat({ max: 50 }),
});

function makeTable(
    fields: Omit<EngineTable, "engine" | "incarnation" | "fencingNumber" | "sequence">,
    sequence: number,
): EngineTable {
    return { engine: "e1", incarnation: "e1-1", fencingNumber: 7, sequence, ...fields };
}

// the order of the names has no meaning
function sortTable(unsorted: EngineTable): EngineTable {
    const running = [...unsorted.running].sort((left, right) => left.name < right.name ? -1 : 1);
    return { ...unsorted, resident: [...unsorted.resident].sort(), running };
}

describe("table changes", () => {
    it("turn any table into any other table", () => {
        fc.assert(
            fc.property(table, table, (before, after) => {
                const base = makeTable(before, 1);
                const next = makeTable(after, 2);
                const applied = applyTableChange(base, diffTables(base, next));
                expect(applied.kind).to.equal("applied");
                expect(sortTable(applied.kind === "applied" ? applied.table : base)).to.deep.equal(sortTable(next));
            }),
            { seed: 1, numRuns: 2_000 },
        );
    });

    it("are rejected when duplicated or late, and require the full table when an earlier change was lost", () => {
        const empty = { resident: [], retiring: [], loading: [], failed: [], running: [], inFlight: 0 };
        const [first, second, third] = [makeTable(empty, 1), makeTable(empty, 2), makeTable(empty, 3)];
        const change = diffTables(first, second);
        expect(applyTableChange(second, change).kind).to.equal("old");
        expect(applyTableChange({ ...first, fencingNumber: 8 }, change).kind).to.equal("old");
        expect(applyTableChange(undefined, change).kind).to.equal("baseMissing");
        expect(applyTableChange(first, diffTables(second, third)).kind).to.equal("baseMissing");
        expect(applyTableChange({ ...first, incarnation: "e1-0" }, change).kind).to.equal("baseMissing");
        expect(applyTableChange({ ...first, fencingNumber: 6 }, change).kind).to.equal("baseMissing");
    });
});
