import { expect } from "chai";
import { createReadTurns, type TurnReader, turnsPerRead } from "../readTurns.js";

interface Rig {
    /** Names of the connections in the order of their reads, turn by turn. */
    readonly turns: string[][];
    /** Adds a connection that has bytes without end; each of its reads takes so many milliseconds. */
    readonly add: (name: string, bytes: number, cost: number) => void;
    readonly runTurns: (count: number) => void;
}

function createRig(): Rig {
    let now = 0;
    let beginTurn: (() => void) | undefined;
    const turns: string[][] = [[]];
    const shared = createReadTurns(() => now, begin => beginTurn = begin);
    return {
        turns,
        add: (name, bytes, cost) => {
            const reader: TurnReader = shared.addReader(() => {
                while (reader.begin()) {
                    turns.at(-1)!.push(name);
                    now += cost;
                    reader.end(bytes);
                }
            });
            while (reader.begin()) {
                turns.at(-1)!.push(name);
                now += cost;
                reader.end(bytes);
            }
        },
        runTurns: count => {
            for (let turn = 0; turn < count; turn++) {
                turns.push([]);
                for (let passed = 0; passed < turnsPerRead; passed++) {
                    const begin = beginTurn;
                    beginTurn = undefined;
                    begin?.();
                }
            }
        },
    };
}

describe("turns of reading", () => {
    // guards against one server that sends without end and is read before all else
    it("read so much of a connection in a turn, and then of the others", () => {
        const rig = createRig();
        rig.add("a", 262_144, 0.01);
        rig.add("b", 65_536, 0.01);
        rig.runTurns(1);
        expect(rig.turns).to.deep.equal([["a", "b", "b", "b", "b"], ["a", "b", "b", "b", "b"]]);
    });

    // guards against many servers that send without end, whose bytes keep the loop busy for long in each turn
    it("end when reading has taken its time, and go on with those that have waited longest", () => {
        const rig = createRig();
        ["a", "b", "c", "d", "e"].forEach(name => rig.add(name, 262_144, 0.6));
        rig.runTurns(4);
        expect(rig.turns).to.deep.equal([["a", "b", "c", "d", "e"], ["a", "b"], ["c", "d"], ["e", "a"], ["b", "c"]]);
    });

    // guards against sound answers that wait for those whose bytes take long
    it("give the connections whose reads are quick their own time", () => {
        const rig = createRig();
        ["a", "b", "c"].forEach(name => rig.add(name, 262_144, 2));
        ["x", "y"].forEach(name => rig.add(name, 262_144, 0.1));
        rig.runTurns(3);
        expect(rig.turns.slice(1)).to.deep.equal([["x", "y", "a"], ["x", "y", "b"], ["x", "y", "c"]]);
    });
});
