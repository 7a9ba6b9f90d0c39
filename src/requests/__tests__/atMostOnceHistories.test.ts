import { expect } from "chai";
import fc from "fast-check";
import { createFaultCommands, createHistoryCommand, expectSnapshot, type HistoryModel } from "../../testing/index.js";
import { type AtMostOnceSimulation, createAtMostOnceSimulation } from "./atMostOnceSimulation.js";

const slots = ["a", "b", "c", "d", "e"];
const seed = 20261203;
const historyCount = 1_000;
const longestFaultMilliseconds = 800;
const keyCount = 3;

describe("at-most-once requests", () => {
    it(`run at most once in ${historyCount} random histories with retries at other instances`, async function() {
        this.timeout(120_000);
        const order = fc.tuple(fc.nat(keyCount - 1), fc.nat(slots.length - 1)).map(([key, slot]) =>
            createHistoryCommand<AtMostOnceSimulation>(
                `order(${key}, ${slot})`,
                simulation => simulation.order(key, slot),
            )
        );
        const logOutage = fc.integer({ min: 1, max: longestFaultMilliseconds }).map(duration =>
            createHistoryCommand<AtMostOnceSimulation>(
                `stopLog(${duration})`,
                simulation => simulation.stopLog(duration),
            )
        );
        const commands = fc.commands(
            [
                ...createFaultCommands<AtMostOnceSimulation>(longestFaultMilliseconds),
                order,
                order,
                order,
                order,
                logOutage,
            ],
            { maxCommands: 20, size: "max" },
        );
        const totals = { calls: 0, completed: 0, failed: 0, notRun: 0, unknown: 0, cut: 0 };
        await fc.assert(
            fc.asyncProperty(commands, fc.nat(), async (script, historySeed) => {
                const simulation = createAtMostOnceSimulation({ seed: historySeed, slots });
                fc.modelRun(() => ({ model: { nodes: slots } as HistoryModel, real: simulation }), script);
                await simulation.finish();
                checkSimulation(simulation);
                for (const call of simulation.calls) {
                    totals.calls++;
                    totals[call.outcome?.kind ?? "cut"]++;
                }
            }),
            { seed, numRuns: historyCount, endOnFailure: true },
        );
        expectSnapshot(this.test, totals);
    });

    it("complete without a refusal while all instances are replaced one after another", async () => {
        const simulation = createAtMostOnceSimulation({
            seed,
            slots,
            lossRate: 0,
            duplicateRate: 0,
            faultyServices: false,
        });
        for (let round = 0; round < slots.length; round++) {
            for (let call = 0; call < 10; call++) {
                simulation.order(round * 10 + call, call);
                simulation.history.run(simulation.history.now() + 50);
            }
            simulation.replace(round);
            simulation.history.run(simulation.history.now() + 1_500);
        }
        // every order is repeated at an instance that did not exist when the order ran
        for (let key = 0; key < slots.length * 10; key++) {
            simulation.order(key, key);
            simulation.history.run(simulation.history.now() + 20);
        }
        await simulation.finish();
        checkSimulation(simulation);
        expect(simulation.calls.map(call => call.outcome?.kind)).to.deep.equal(simulation.calls.map(() => "completed"));
        expect([...simulation.runsOfKey.values()]).to.deep.equal(Array(slots.length * 10).fill(1));
    });

    it("complete while the log is unavailable and one instance has crashed", async () => {
        const simulation = createAtMostOnceSimulation({
            seed,
            slots,
            lossRate: 0,
            duplicateRate: 0,
            faultyServices: false,
        });
        simulation.stopLog(60_000);
        simulation.history.run(100);
        simulation.restart("b", 50_000);
        simulation.history.run(200);
        for (let key = 0; key < 20; key++) {
            simulation.order(key, key % 2 === 0 ? 0 : 2);
            simulation.history.run(simulation.history.now() + 100);
        }
        await simulation.finish();
        checkSimulation(simulation);
        expect(simulation.calls.map(call => call.outcome?.kind)).to.deep.equal(simulation.calls.map(() => "completed"));
    });
});

function checkSimulation(simulation: AtMostOnceSimulation): void {
    for (const [key, runs] of simulation.runsOfKey) {
        expect(runs, `runs of ${key}`).to.equal(1);
    }
    for (const call of simulation.calls) {
        if (!call.outcome) {
            expect(
                simulation.isRunning(call.instance),
                `${call.requestId} has no outcome although its instance is running`,
            ).to.equal(false);
        }
        const runs = simulation.runsOfRequest.get(call.requestId) ?? 0;
        if (call.outcome?.kind === "notRun") {
            expect(runs, `runs of ${call.requestId}, which was reported as notRun`).to.equal(0);
        }
        if (call.outcome?.kind === "completed") {
            expect(simulation.runsOfKey.get(call.key), `runs of ${call.key}, which completed`).to.equal(1);
        }
    }
}
