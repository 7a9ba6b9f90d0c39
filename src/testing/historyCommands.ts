/**
 * Faults of a simulated history as fast-check commands, so that fast-check can shrink a failing sequence of commands.
 *
 * @packageDocumentation
 */
import fc from "fast-check";
import type { Milliseconds } from "../shared/index.js";
import type { History } from "./history.js";

/** The fast-check model: the names of the nodes from which commands choose. */
export interface HistoryModel {
    readonly nodes: readonly string[];
}

/** The system on which commands run; tests extend it with the parts that they check. */
export interface SystemUnderTest {
    readonly history: Pick<History<unknown>, "now" | "run" | "pause" | "cut">;
    /** Crashes a node and starts it again without its state after `downFor` milliseconds. */
    readonly restart: (node: string, downFor: Milliseconds) => void;
}

/** A fast-check command that acts on a simulated system. */
export type HistoryCommand<System extends SystemUnderTest> = fc.Command<HistoryModel, System>;

/**
 * Creates a command from a function.
 *
 * @param name - printed as the command when a property fails
 * @param apply - runs the command on the system under test
 * @returns the command
 */
export function createHistoryCommand<System extends SystemUnderTest>(
    name: string,
    apply: (system: System, model: HistoryModel) => void,
): HistoryCommand<System> {
    return { check: () => true, run: (model, system) => apply(system, model), toString: () => name };
}

/**
 * Creates the arbitraries of the commands that all simulations share: advancing the time, pausing a node, restarting
 * a node, and partitioning the network.
 *
 * @param maximumDuration - longest pause, downtime, partition or time advance, in milliseconds
 * @returns arbitraries to pass to `fc.commands` together with the commands of the test itself
 */
export function createFaultCommands<System extends SystemUnderTest>(
    maximumDuration: Milliseconds,
): fc.Arbitrary<HistoryCommand<System>>[] {
    const duration = fc.integer({ min: 1, max: maximumDuration });
    const nodeIndex = fc.nat({ max: 1_000 });
    const chooseNode = (model: HistoryModel, index: number): string => model.nodes[index % model.nodes.length]!;
    return [
        duration.map(time =>
            createHistoryCommand(`advance(${time})`, system => system.history.run(system.history.now() + time))
        ),
        fc.tuple(nodeIndex, duration).map(([index, time]) =>
            createHistoryCommand(
                `pause(${index}, ${time})`,
                (system, model) => system.history.pause(chooseNode(model, index), time),
            )
        ),
        fc.tuple(nodeIndex, duration).map(([index, time]) =>
            createHistoryCommand(
                `restart(${index}, ${time})`,
                (system, model) => system.restart(chooseNode(model, index), time),
            )
        ),
        fc.tuple(nodeIndex, duration).map(([index, time]) =>
            createHistoryCommand(`cut(${index}, ${time})`, (system, model) => {
                const left = model.nodes.filter((node, position) => position <= index % model.nodes.length);
                system.history.cut(left, model.nodes.filter(node => !left.includes(node)), time);
            })
        ),
    ];
}
