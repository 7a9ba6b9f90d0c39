import { expect } from "chai";
import fc from "fast-check";
import { createFaultCommands, createHistoryCommand, expectSnapshot, type HistoryModel } from "../../testing/index.js";
import { type AtMostOnceSimulation, createAtMostOnceSimulation } from "./atMostOnceSimulation.js";

const slots = ["a", "b", "c", "d", "e"];
const seed = 20261203;
const historyCount = 1_000;
const longestFaultMilliseconds = 800;
const keyCount = 3;

describe("requests that may run once only", () => {
    it(`run at most once over ${historyCount} histories with repeats at other instances`, async function() {
        this.timeout(120_000);
        const order = fc.tuple(fc.nat(keyCount - 1), fc.nat(slots.length - 1)).map(([key, slot]) =>
            createHistoryCommand<AtMostOnceSimulation>(`order(${key}, ${slot})`, world => world.order(key, slot))
        );
        const logOutage = fc.integer({ min: 1, max: longestFaultMilliseconds }).map(duration =>
            createHistoryCommand<AtMostOnceSimulation>(`cutLog(${duration})`, world => world.stopLog(duration))
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
                const world = createAtMostOnceSimulation({ seed: historySeed, slots });
                fc.modelRun(() => ({ model: { nodes: slots } as HistoryModel, real: world }), script);
                await world.finish();
                checkSimulation(world);
                for (const call of world.calls) {
                    totals.calls++;
                    totals[call.outcome?.kind ?? "cut"]++;
                }
            }),
            { seed, numRuns: historyCount, endOnFailure: true },
        );
        expectSnapshot(this.test, totals);
    });

    it("survive a rolling replacement of all instances without a refusal", async () => {
        const world = createAtMostOnceSimulation({ seed, slots, lossRate: 0, duplicateRate: 0, faultyServices: false });
        for (let round = 0; round < slots.length; round++) {
            for (let call = 0; call < 10; call++) {
                world.order(round * 10 + call, call);
                world.history.run(world.history.now() + 50);
            }
            world.replace(round);
            world.history.run(world.history.now() + 1_500);
        }
        // every order is asked for again at instances that did not exist when it ran
        for (let key = 0; key < slots.length * 10; key++) {
            world.order(key, key);
            world.history.run(world.history.now() + 20);
        }
        await world.finish();
        checkSimulation(world);
        expect(world.calls.map(call => call.outcome?.kind)).to.deep.equal(world.calls.map(() => "completed"));
        expect([...world.runsOfKey.values()]).to.deep.equal(Array(slots.length * 10).fill(1));
    });

    it("go on while the log is down and one instance has crashed", async () => {
        const world = createAtMostOnceSimulation({ seed, slots, lossRate: 0, duplicateRate: 0, faultyServices: false });
        world.stopLog(60_000);
        world.history.run(100);
        world.restart("b", 50_000);
        world.history.run(200);
        for (let key = 0; key < 20; key++) {
            world.order(key, key % 2 === 0 ? 0 : 2);
            world.history.run(world.history.now() + 100);
        }
        await world.finish();
        checkSimulation(world);
        expect(world.calls.map(call => call.outcome?.kind)).to.deep.equal(world.calls.map(() => "completed"));
    });
});

function checkSimulation(simulation: AtMostOnceSimulation): void {
    for (const [key, runs] of simulation.runsOfKey) {
        expect(runs, `runs of ${key}`).to.equal(1);
    }
    for (const call of simulation.calls) {
        if (!call.outcome) {
            expect(simulation.isRunning(call.instance), `${call.requestId} was left hanging`).to.equal(false);
        }
        const runs = simulation.runsOfRequest.get(call.requestId) ?? 0;
        if (call.outcome?.kind === "notRun") {
            expect(runs, `runs of ${call.requestId}, which was called not run`).to.equal(0);
        }
        if (call.outcome?.kind === "completed") {
            expect(simulation.runsOfKey.get(call.key), `runs of ${call.key}, which completed`).to.equal(1);
        }
    }
}
