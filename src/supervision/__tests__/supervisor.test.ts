import { expect } from "chai";
import { createHistory } from "../../testing/index.js";
import { createMailbox, createSupervisor, waitForAbort } from "../index.js";

describe("supervisor", () => {
    it("restarts a child that fails, and stops the children in reverse order", async () => {
        const history = createHistory<never>({ seed: 1 });
        const seen: string[] = [];
        let runs = 0;
        const flaky = {
            name: "flaky",
            run: async (signal: AbortSignal): Promise<void> => {
                runs++;
                if (runs < 3) {
                    throw new Error("fails twice");
                }
                await waitForAbort(signal);
                seen.push("flaky stopped");
            },
        };
        const steady = {
            name: "steady",
            run: async (signal: AbortSignal): Promise<void> => {
                await waitForAbort(signal);
                seen.push("steady stopped");
            },
        };
        const controller = new AbortController();
        const tree = createSupervisor({ name: "root", children: [flaky, steady], clock: history.clock });
        const running = tree.run(controller.signal);
        await history.runAsync(1_000);
        expect(runs).to.equal(3);
        controller.abort();
        await running;
        expect(seen).to.deep.equal(["steady stopped", "flaky stopped"]);
    });

    it("fails when a child exceeds the restart limit", async () => {
        const history = createHistory<never>({ seed: 1 });
        const hopeless = { name: "hopeless", run: () => Promise.reject(new Error("always")) };
        const tree = createSupervisor({ name: "root", children: [hopeless], clock: history.clock, maximumRestarts: 2 });
        const running = tree.run(new AbortController().signal).then(() => "ended", (error: unknown) => String(error));
        await history.runAsync(10_000);
        expect(await running).to.match(/task hopeless failed 3 times/);
    });

    it("handles the messages of a mailbox one at a time and in order", async () => {
        const mailbox = createMailbox<number>();
        const controller = new AbortController();
        const seen: number[] = [];
        let active = 0;
        const listening = mailbox.listen(async message => {
            active++;
            expect(active).to.equal(1);
            await Promise.resolve();
            seen.push(message);
            active--;
        }, controller.signal);
        mailbox.put(1);
        mailbox.put(2);
        await new Promise(resolve => setImmediate(resolve));
        mailbox.put(3);
        await new Promise(resolve => setImmediate(resolve));
        controller.abort();
        await listening;
        expect(seen).to.deep.equal([1, 2, 3]);
    });
});
