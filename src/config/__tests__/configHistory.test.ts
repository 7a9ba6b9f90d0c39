import { expect } from "chai";
import fc from "fast-check";
import type { Milliseconds } from "../../shared/index.js";
import {
    createFaultCommands,
    createHistory,
    createHistoryCommand,
    createNodeClock,
    createVirtualLog,
    createVirtualPeers,
    type HistoryCommand,
    type HistoryModel,
    noLogFaults,
    startDetached,
    type SystemUnderTest,
    type VirtualMessage,
} from "../../testing/index.js";
import {
    type ConfigTask,
    createConfigTask,
    createNodesChange,
    createPublisher,
    type PublishOutcome,
    type SettingsNode,
} from "../index.js";
import { createNaiveReader, describeTree } from "./naiveReader.js";

const retentionMilliseconds = 40_000;
const restateMilliseconds = 10_000;
const settleMilliseconds = 35_000;

/** Instances, the log and operators of one history; actions are scheduled and run by `finish`. */
interface World extends SystemUnderTest {
    readonly publish: (
        operator: number,
        thinkTime: Milliseconds,
        name: string,
        value: SettingsNode | undefined,
    ) => void;
    readonly faults: {
        readonly stopLog: (duration: Milliseconds) => void;
        readonly cutFromLog: (instanceIndex: number, duration: Milliseconds) => void;
        readonly loseAnswers: (duration: Milliseconds) => void;
    };
    readonly finish: () => Promise<HistorySummary>;
}

interface HistorySummary {
    readonly accepted: number;
    readonly rejected: number;
    readonly unknown: number;
}

function createWorld(seed: number, instanceNames: readonly string[]): World {
    let check = (): void => undefined;
    const history = createHistory<VirtualMessage>({ seed, lossRate: 0.02, duplicateRate: 0.02, check: () => check() });
    const log = createVirtualLog(history);
    const tasks = new Map<string, { readonly node: string; readonly task: ConfigTask; }>();
    const served = new Map<ConfigTask, number>();
    const reference = createNaiveReader(() => log.listRecords("configuration"));
    const outcomes: { readonly changeId: string; readonly outcome: PublishOutcome; }[] = [];
    const restartCounts = new Map<string, number>();
    let scheduledTime = 0;
    let published = 0;

    const startInstance = (instanceName: string): void => {
        const runNumber = (restartCounts.get(instanceName) ?? 0) + 1;
        restartCounts.set(instanceName, runNumber);
        const node = `${instanceName}.${runNumber}`;
        const task = createConfigTask({
            instance: node,
            log: log.createClient(node),
            peers: createVirtualPeers(history, node),
            clock: createNodeClock(history, node),
            listPeers: () => [...tasks.values()].map(entry => entry.node),
            readWallClock: history.now,
            checkpointInterval: restateMilliseconds,
            directReaders: 2,
            waitFor: 2_000,
        });
        tasks.set(instanceName, { node, task });
        startDetached(task.run(new AbortController().signal));
    };
    check = () => {
        for (const { node, task } of tasks.values()) {
            const settings = task.view.read();
            if (!settings || served.get(task) === settings.appliedOffset) {
                continue;
            }
            expect(settings.appliedOffset, `the applied offset of ${node} decreased`).to.be.greaterThan(
                served.get(task) ?? -2,
            );
            served.set(task, settings.appliedOffset);
            expect(describeTree(settings), `${node} at ${settings.appliedOffset}`).to.equal(
                reference.readTree(settings.appliedOffset),
            );
        }
    };
    const scheduleAction = (delay: Milliseconds, action: () => void): void =>
        history.schedule(scheduledTime + delay - history.now(), action);
    const publish: World["publish"] = (operator, thinkTime, name, value) => {
        const changeId = `change-${published++}`;
        const run = async (): Promise<void> => {
            const clock = createNodeClock(history, `operator-${operator}`);
            const publisher = createPublisher({ log: log.createClient(`operator-${operator}`), clock });
            const state = await publisher.readState();
            if (!state.ok) {
                return;
            }
            const origin = { changeId, author: `operator-${operator}` };
            const change = createNodesChange(state.value, origin, new Map([[name, value]]));
            await clock.sleep(thinkTime);
            outcomes.push({ changeId, outcome: await publisher.publish(change) });
        };
        scheduleAction(0, () => startDetached(run()));
    };
    const expireOld = (): void => {
        const records = log.listRecords("configuration");
        const oldest = records.findIndex(record => record.appendedAt > history.now() - retentionMilliseconds);
        log.expire("configuration", oldest < 0 ? records.length : oldest);
        history.schedule(1_000, expireOld);
    };
    instanceNames.forEach(startInstance);
    expireOld();
    return {
        history: {
            now: () => scheduledTime,
            run: until => {
                scheduledTime = until;
            },
            pause: (instanceName, duration) =>
                scheduleAction(0, () => history.pause(tasks.get(instanceName)!.node, duration)),
            cut: (left, right, duration) =>
                scheduleAction(0, () => {
                    const find = (names: readonly string[]): string[] => names.map(name => tasks.get(name)!.node);
                    history.cut(find(left), find(right), duration);
                }),
        },
        restart: (instanceName, downFor) =>
            scheduleAction(0, () => {
                history.crash(tasks.get(instanceName)!.node);
                history.schedule(downFor, () => startInstance(instanceName));
            }),
        publish,
        faults: {
            stopLog: duration => scheduleAction(0, () => log.stop(duration)),
            cutFromLog: (instanceIndex, duration) =>
                scheduleAction(
                    0,
                    () => log.cutNode(tasks.get(instanceNames[instanceIndex % instanceNames.length]!)!.node, duration),
                ),
            loseAnswers: duration => {
                scheduleAction(
                    0,
                    () => log.setFaults({ lostAnswerRate: 0.4, duplicateAppendRate: 0.3, maximumEffectDelay: 5_000 }),
                );
                scheduleAction(duration, () => log.setFaults(noLogFaults));
            },
        },
        finish: async () => {
            await history.runAsync(scheduledTime);
            log.setFaults(noLogFaults);
            await history.runAsync(scheduledTime + settleMilliseconds);
            return checkFinalState();
        },
    };

    function checkFinalState(): HistorySummary {
        const head = log.listRecords("configuration").length;
        const known = [...tasks.values()].filter(({ task }) => task.readStatus(history.now()).state === "ready");
        // a tree that expired from the log and that no instance holds is lost; otherwise all have caught up by now
        if (known.length > 0) {
            for (const { node, task } of tasks.values()) {
                expect(task.view.read()?.appliedOffset, `${node} has applied almost all records`).to.be.greaterThan(
                    head - 20,
                );
            }
        }
        for (const { changeId, outcome } of outcomes) {
            const truth = reference.findDecision(changeId);
            switch (outcome.kind) {
                case "accepted":
                case "rejected":
                    expect(truth, changeId).to.equal(outcome.kind === "accepted");
                    break;
                case "notPublished":
                    expect(truth, `${changeId} was reported as not published`).to.equal(undefined);
                    break;
                case "unknownYet":
                    break;
            }
        }
        const count = (kind: PublishOutcome["kind"]): number =>
            outcomes.filter(({ outcome }) => outcome.kind === kind).length;
        return { accepted: count("accepted"), rejected: count("rejected"), unknown: count("unknownYet") };
    }
}

const accountNode: SettingsNode = { kind: "clientAccount", limits: { rate: 5, burst: 10 } };
const names = ["a", "c"] as const;

function createConfigCommands(): fc.Arbitrary<HistoryCommand<World>>[] {
    const duration = fc.integer({ min: 1, max: 20_000 });
    const instanceIndex = fc.nat({ max: 10 });
    const createCommand = (name: string, apply: (world: World, model: HistoryModel) => void): HistoryCommand<World> =>
        createHistoryCommand(name, apply);
    const value = fc.tuple(fc.nat({ max: 1 }), fc.nat({ max: 3 }), fc.nat({ max: 9 })).map((
        [index, kind, rate],
    ): [string, SettingsNode | undefined] => {
        const name = names[index]!;
        const key: SettingsNode = { kind: "key", account: name, hash: String(rate).repeat(64) };
        const account: SettingsNode = { kind: "clientAccount", limits: { rate, burst: 10 } };
        return kind === 0 ? [name, undefined] : kind === 1 ? [`key-${name}`, key] : [name, account];
    });
    const publish = fc.tuple(fc.nat({ max: 1 }), fc.integer({ min: 0, max: 300 }), value).map((
        [operator, thinkTime, [name, node]],
    ) => createCommand(
        `publish(${operator}, ${thinkTime}, ${name}, ${JSON.stringify(node)})`,
        world => world.publish(operator, thinkTime, name, node),
    ));
    return [
        ...Array.from({ length: 7 }, () => publish),
        duration.map(time => createCommand(`stopLog(${time})`, world => world.faults.stopLog(time))),
        duration.map(time => createCommand(`loseAnswers(${time})`, world => world.faults.loseAnswers(time))),
        fc.tuple(instanceIndex, duration).map(([index, time]) =>
            createCommand(`cutFromLog(${index}, ${time})`, world => world.faults.cutFromLog(index, time))
        ),
        duration.map(time =>
            createCommand(
                `restartAll(${time})`,
                (world, model) => model.nodes.forEach(node => world.restart(node, time)),
            )
        ),
        ...createFaultCommands<World>(15_000),
    ];
}

const historiesOfSeed = 200;
// one test per seed: all seeds in one test take most of the time limit of a test on a busy machine
const seeds = [4, 5, 6, 7, 8];

describe("configuration history", () => {
    for (const seed of seeds) {
        it(`has the same tree on all instances at each offset in ${historiesOfSeed} histories of faults, and reports correct outcomes (seed ${seed})`, async () => {
            const totals = { accepted: 0, rejected: 0, unknown: 0 };
            const instanceNames = ["one", "two", "three", "four"];
            await fc.assert(
                fc.asyncProperty(
                    fc.nat(),
                    fc.commands(createConfigCommands(), { maxCommands: 22 }),
                    async (worldSeed, commands) => {
                        const world = createWorld(worldSeed, instanceNames);
                        world.publish(0, 0, "a", accountNode);
                        world.publish(1, 0, "b", accountNode);
                        fc.modelRun(() => ({ model: { nodes: instanceNames }, real: world }), commands);
                        const summary = await world.finish();
                        totals.accepted += summary.accepted;
                        totals.rejected += summary.rejected;
                        totals.unknown += summary.unknown;
                    },
                ),
                { numRuns: historiesOfSeed, seed },
            );
            expect(totals.accepted).to.be.greaterThan(0);
            expect(totals.rejected).to.be.greaterThan(0);
            if (process.env["RUNS"]) {
                console.log(totals);
            }
        });
    }
});
