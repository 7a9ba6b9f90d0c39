import { expect } from "chai";
import fc from "fast-check";
import { createFaultCommands, createHistoryCommand, type HistoryCommand, noLogFaults } from "../../testing/index.js";
import { createOwnershipWorld, type OwnershipWorld } from "./ownershipWorld.js";

const longestFaultMilliseconds = 9_000;
const warmUpMilliseconds = 6_000;

function createOwnershipCommands(): fc.Arbitrary<HistoryCommand<OwnershipWorld>>[] {
    const duration = fc.integer({ min: 1, max: longestFaultMilliseconds });
    const hostIndex = fc.nat({ max: 10 });
    const suspect = hostIndex.map(index =>
        createHistoryCommand<OwnershipWorld>(
            `suspect(${index})`,
            (world, model) => world.suspect(model.nodes[index % model.nodes.length]!),
        )
    );
    return [
        duration.map(time =>
            createHistoryCommand<OwnershipWorld>(
                `stopLog(${time})`,
                world => world.scheduleAction(0, () => world.log.stop(time)),
            )
        ),
        duration.map(time =>
            createHistoryCommand<OwnershipWorld>(`loseAnswers(${time})`, world => {
                world.scheduleAction(
                    0,
                    () =>
                        world.log.setFaults({
                            lostAnswerRate: 0.4,
                            duplicateAppendRate: 0.3,
                            maximumEffectDelay: 4_000,
                        }),
                );
                world.scheduleAction(time, () => world.log.setFaults(noLogFaults));
            })
        ),
        duration.map(time =>
            createHistoryCommand<OwnershipWorld>(
                `stopList(${time})`,
                world => world.scheduleAction(0, () => world.list.stop(time)),
            )
        ),
        fc.tuple(hostIndex, duration).map(([index, time]) =>
            createHistoryCommand<OwnershipWorld>(
                `cutFromLog(${index}, ${time})`,
                (world, model) =>
                    world.scheduleAction(0, () => {
                        const running = world.instances.get(model.nodes[index % model.nodes.length]!);
                        if (running) {
                            world.log.cutNode(running.node, time);
                        }
                    }),
            )
        ),
        fc.tuple(hostIndex, duration).map(([index, time]) =>
            createHistoryCommand<OwnershipWorld>(
                `leave(${index}, ${time})`,
                (world, model) => world.leave(model.nodes[index % model.nodes.length]!, time),
            )
        ),
        ...Array.from({ length: 3 }, () => suspect),
        ...createFaultCommands<OwnershipWorld>(longestFaultMilliseconds),
    ];
}

interface HistorySize {
    readonly histories: number;
    readonly hosts: readonly string[];
    readonly engines: readonly string[];
    readonly controlInterval: number;
    readonly settle: number;
}

async function runHistories(size: HistorySize, checkEnd: (world: OwnershipWorld) => void): Promise<void> {
    await fc.assert(
        fc.asyncProperty(
            fc.nat(),
            fc.commands(createOwnershipCommands(), { maxCommands: 10 }),
            async (seed, commands) => {
                const world = createOwnershipWorld({ ...size, seed });
                world.history.run(warmUpMilliseconds);
                fc.modelRun(() => ({ model: { nodes: size.hosts }, real: world }), commands);
                await world.finish(size.settle);
                checkEnd(world);
            },
        ),
        { numRuns: size.histories, seed: 4 },
    );
}

describe("ownership history", () => {
    it("never gives a shard two holders or lets shares exceed 1 in total in 1,000 histories of faults", async () => {
        let held = 0;
        const size = {
            histories: 1_000,
            hosts: ["one", "two", "three"],
            engines: ["e1", "e2"],
            controlInterval: 500,
            settle: 8_000,
        };
        await runHistories(size, world => {
            held += world.findHolders("e1").length;
        });
        expect(held).to.be.greaterThan(size.histories / 4);
    });

    it("gives each shard exactly one holder after the faults have ended", async () => {
        let held = 0;
        const size = {
            histories: 20,
            hosts: ["one", "two", "three", "four", "five", "six", "seven", "eight", "nine"],
            engines: ["e1", "e2", "e3", "e4"],
            controlInterval: 250,
            settle: 50_000,
        };
        await runHistories(size, world => {
            for (const engine of size.engines) {
                expect(world.findHolders(engine).length, `holders of ${engine}`).to.equal(1);
                held++;
            }
        });
        expect(held).to.equal(size.histories * size.engines.length);
    });
});
