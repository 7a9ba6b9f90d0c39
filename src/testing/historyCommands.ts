/**
 * Faults of a history as fast-check commands, so that a failing history is shrunk to its least.
 *
 * @packageDocumentation
 */
import fc from "fast-check";
import type { Milliseconds } from "../shared/index.js";
import type { History } from "./history.js";

/** What a command acts on: the history, and whatever else the part under test needs. */
export interface HistoryModel {
    readonly nodes: readonly string[];
}

/** A world under test. */
export interface SystemUnderTest {
    readonly history: Pick<History<unknown>, "now" | "run" | "pause" | "cut">;
    /** Crashes a node and starts it anew, empty, after a time. */
    readonly restart: (node: string, downFor: Milliseconds) => void;
}

/** A command of a history. */
export type HistoryCommand<World extends SystemUnderTest> = fc.Command<HistoryModel, World>;

/**
 * Creates a command from a function.
 *
 * @param name - printed in a failing history
 * @param apply - what it does to the world
 * @returns the command
 */
export function createHistoryCommand<World extends SystemUnderTest>(
    name: string,
    apply: (world: World, model: HistoryModel) => void,
): HistoryCommand<World> {
    return { check: () => true, run: (model, world) => apply(world, model), toString: () => name };
}

/**
 * Creates the arbitraries of the faults that every part meets: time that passes, pauses, restarts and cuts.
 *
 * @param maximumDuration - longest pause, outage or wait, in milliseconds
 * @returns arbitraries to hand to `fc.commands` beside the part's own
 */
export function createFaultCommands<World extends SystemUnderTest>(
    maximumDuration: Milliseconds,
): fc.Arbitrary<HistoryCommand<World>>[] {
    const duration = fc.integer({ min: 1, max: maximumDuration });
    const nodeIndex = fc.nat({ max: 1_000 });
    const chooseNode = (model: HistoryModel, index: number): string => model.nodes[index % model.nodes.length]!;
    return [
        duration.map(time =>
            createHistoryCommand(`advance(${time})`, world => world.history.run(world.history.now() + time))
        ),
        fc.tuple(nodeIndex, duration).map(([index, time]) =>
            createHistoryCommand(
                `pause(${index}, ${time})`,
                (world, model) => world.history.pause(chooseNode(model, index), time),
            )
        ),
        fc.tuple(nodeIndex, duration).map(([index, time]) =>
            createHistoryCommand(
                `restart(${index}, ${time})`,
                (world, model) => world.restart(chooseNode(model, index), time),
            )
        ),
        fc.tuple(nodeIndex, duration).map(([index, time]) =>
            createHistoryCommand(`cut(${index}, ${time})`, (world, model) => {
                const left = model.nodes.filter((node, position) => position <= index % model.nodes.length);
                world.history.cut(left, model.nodes.filter(node => !left.includes(node)), time);
            })
        ),
    ];
}
