import { expect } from "chai";
import { createHistory, expectSnapshot, startDetached } from "../index.js";

describe("history", () => {
    it("repeats for the same seed", function() {
        const runOnce = (seed: number): string[] => {
            const seen: string[] = [];
            const history = createHistory<number>({ seed, lossRate: 0.2, duplicateRate: 0.2 });
            history.setHandler("b", (from, message) => seen.push(`${history.now()} ${from} ${message}`));
            for (let index = 0; index < 10; index++) {
                history.schedule(index * 3, () => history.send("a", "b", index));
            }
            history.run(100);
            return seen;
        };
        expect(runOnce(7)).to.deep.equal(runOnce(7));
        expect(runOnce(7)).to.not.deep.equal(runOnce(8));
        expectSnapshot(this.test, runOnce(7));
    });

    it("defers the messages and actions of a paused node and drops the actions of a crashed node", () => {
        const seen: string[] = [];
        const history = createHistory<string>({ seed: 1 });
        history.setHandler("b", (from, message) => seen.push(`${message}@${history.now()}`));
        history.pause("b", 50);
        history.send("a", "b", "held");
        history.scheduleOn("b", 10, () => seen.push(`own@${history.now()}`));
        history.scheduleOn("c", 10, () => seen.push("never"));
        history.crash("c");
        history.run(100);
        expect([...seen].sort()).to.deep.equal(["held@50", "own@50"]);
    });

    it("loses messages across a network partition and wakes sleepers at their virtual time", async () => {
        const seen: string[] = [];
        const history = createHistory<string>({ seed: 1 });
        history.setHandler("b", (from, message) => seen.push(message));
        history.cut(["a"], ["b"], 20);
        history.send("a", "b", "lost");
        startDetached(history.clock.sleep(30).then(() => history.send("a", "b", "arrives")));
        await history.runAsync(100);
        expect(seen).to.deep.equal(["arrives"]);
    });
});
