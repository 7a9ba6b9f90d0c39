import { expect } from "chai";
import { applyReport, createSlotTable, type SlotState, type SlotTable } from "../slotTable.js";
import type { EngineReport } from "../types.js";

const emptyReport: EngineReport = {
    startedAt: 1,
    sequence: 1,
    models: [{ name: "base", version: 1, adapters: [] }],
    pending: [],
};

function createTable(state: SlotState, orderedAt: number): SlotTable {
    const slotTable = createSlotTable();
    slotTable.models.add("base");
    slotTable.slots.set("base/a1", {
        model: "base",
        adapter: "a1",
        state,
        version: 1,
        demand: 1,
        usedAt: orderedAt,
        inFlight: new Map(),
        orderedAt,
    });
    return slotTable;
}

describe("places of an engine, when its report is older than the last orders", () => {
    // an engine that had just got its model was read while the first adapters were on their way; it took one too many later
    it("stay taken by loads that were ordered after it", () => {
        for (const state of ["loading", "resident"] as const) {
            const book = createTable(state, 9_700);
            applyReport(book, emptyReport, 10_000);
            expect(book.slots.get("base/a1")?.state, state).to.equal(state);
        }
    });

    it("stay resident where it still tells of the load", () => {
        const book = createTable("resident", 9_700);
        const pending = [{ model: "base", adapter: "a1", version: 1 }];
        applyReport(book, { ...emptyReport, pending }, 10_000);
        expect(book.slots.get("base/a1")?.state).to.equal("resident");
    });

    it("are given up when the engine has lost what was ordered long before", () => {
        const book = createTable("resident", 5_000);
        applyReport(book, emptyReport, 10_000);
        expect(book.slots.size).to.equal(0);
    });
});
