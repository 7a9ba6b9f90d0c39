import { expect } from "chai";
import { startDetached } from "../../testing/index.js";
import { createSlotQueue, type SlotQueue, type SlotWait } from "../slotQueue.js";

function createQueue(): {
    readonly queue: SlotQueue;
    readonly woken: string[];
    readonly add: (wait: SlotWait) => void;
} {
    const woken: string[] = [];
    const queue = createSlotQueue({ now: () => 0, sleep: () => new Promise(() => undefined) });
    return { queue, woken, add: wait => startDetached(queue.wait(wait, staying).then(() => woken.push(wait.key))) };
}

const staying = new AbortController().signal;
const waitTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

describe("requests that wait for a slot", () => {
    it("are woken one at a time: those that can be in time first, then by priority and time", async () => {
        const { queue, woken, add } = createQueue();
        add({ key: "late", priority: 0, usefulUntil: 50, until: 5_000 });
        add({ key: "batch", priority: 5, usefulUntil: 200, until: 5_000 });
        add({ key: "second", priority: 0, usefulUntil: 400, until: 5_000 });
        add({ key: "first", priority: 0, usefulUntil: 300, until: 5_000 });
        for (let slot = 1; slot <= 4; slot++) {
            queue.wakeNext(100);
            await waitTurn();
            expect(woken.length).to.equal(slot);
        }
        expect(woken).to.deep.equal(["first", "second", "batch", "late"]);
    });

    it("are all woken when their adapter has become resident", async () => {
        const { queue, woken, add } = createQueue();
        const wait = { priority: 0, usefulUntil: 100, until: 5_000 };
        ["a", "b", "a"].forEach(key => add({ key, ...wait }));
        queue.wakeAll("a");
        await waitTurn();
        expect(woken).to.deep.equal(["a", "a"]);
    });

    it("are woken when their time has passed", async () => {
        const queue = createSlotQueue({ now: () => 0, sleep: () => Promise.resolve() });
        await queue.wait({ key: "a", priority: 0, usefulUntil: 100, until: 200 }, staying);
    });

    // guards against requests that stay in the queue after their clients have left
    it("leave the queue at once when they are ended, so that none of them takes the turn of another", async () => {
        const { queue, woken, add } = createQueue();
        const leaving = new AbortController();
        const left = queue.wait({ key: "left", priority: 0, usefulUntil: 300, until: 5_000 }, leaving.signal);
        add({ key: "waiting", priority: 5, usefulUntil: 400, until: 5_000 });
        leaving.abort();
        await left;
        queue.wakeNext(100);
        await waitTurn();
        expect(woken).to.deep.equal(["waiting"]);
    });
});
