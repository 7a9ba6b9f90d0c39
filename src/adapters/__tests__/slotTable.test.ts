import { expect } from "chai";
import { applyReport, countPending, createSlotTable, hasRoom, type SlotState, type SlotTable } from "../slotTable.js";
import type { EngineReport } from "../types.js";
import { testLimits } from "./testEngine.js";

const emptyReport: EngineReport = {
    startedAt: 1,
    sequence: 1,
    models: [{ name: "base", version: 1, adapters: [] }],
    pending: [],
};

function createTable(state: SlotState, orderedAt: number): SlotTable {
    const slotTable = createSlotTable();
    slotTable.models.add("base");
    addSlot(slotTable, "a1", state, orderedAt);
    return slotTable;
}

function addSlot({ slots }: SlotTable, adapter: string, state: SlotState, orderedAt = 0): void {
    const use = { demand: 1, usedAt: orderedAt, inFlight: 0, orderedAt };
    slots.set(`base/${adapter}`, { model: "base", adapter, state, version: 1, ...use });
}

// adapters in these states, on an engine with three slots and memory for three adapters
function createTableOf(states: readonly SlotState[]): SlotTable {
    const slotTable = createSlotTable();
    slotTable.models.add("base");
    states.forEach((state, index) => addSlot(slotTable, `a${index}`, state));
    return slotTable;
}

describe("room on an engine", () => {
    // guards against orders that were lost in a silence and take up an engine's slots and loads until it is gone
    it("counts orders without a response as one, as the engine executes one of them at most", () => {
        const limits = { ...testLimits, memoryMegabytes: 130 };
        const hasRoomBeside = (...states: SlotState[]): boolean => hasRoom(createTableOf(states), limits, "base");
        expect(hasRoomBeside("resident", "loading", "uncertain", "uncertain", "uncertain")).to.equal(true);
        expect(hasRoomBeside("resident", "leaving", "loading")).to.equal(false);
        expect(hasRoomBeside("resident", "leaving", "loading", "uncertain")).to.equal(false);
        expect(countPending(createTableOf(["resident", "loading", "uncertain", "uncertain"]))).to.equal(2);
    });
});

describe("slots of an engine, when its report is older than the last orders", () => {
    // an engine's report was fetched while the first loads after its model's load were in progress: the report didn't
    // list them, their slots were freed, and later the engine was ordered to load one adapter too many
    it("stay occupied by loads that were ordered after the report", () => {
        for (const state of ["loading", "resident"] as const) {
            const slotTable = createTable(state, 9_700);
            applyReport(slotTable, emptyReport, 10_000);
            expect(slotTable.slots.get("base/a1")?.state, state).to.equal(state);
        }
    });

    it("stay resident when the report still lists the load as pending", () => {
        const slotTable = createTable("resident", 9_700);
        const pending = [{ model: "base", adapter: "a1", version: 1 }];
        applyReport(slotTable, { ...emptyReport, pending }, 10_000);
        expect(slotTable.slots.get("base/a1")?.state).to.equal("resident");
    });

    it("are freed when the engine no longer has an adapter that was ordered long before the report", () => {
        const slotTable = createTable("resident", 5_000);
        applyReport(slotTable, emptyReport, 10_000);
        expect(slotTable.slots.size).to.equal(0);
    });
});
