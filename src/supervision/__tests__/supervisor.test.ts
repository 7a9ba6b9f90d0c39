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

    // guards against a task that fails again and again and takes up the process with its restarts
    it("pauses longer and longer before the restarts of a child, up to a bound", async () => {
        const history = createHistory<never>({ seed: 1 });
        const starts: number[] = [];
        const failing = {
            name: "failing",
            run: (): Promise<void> => {
                starts.push(history.clock.now());
                return Promise.reject(new Error("always"));
            },
        };
        const options = { clock: history.clock, maximumRestarts: Number.POSITIVE_INFINITY, maximumRestartDelay: 1_000 };
        const tree = createSupervisor({ name: "root", children: [failing], ...options });
        const controller = new AbortController();
        const running = tree.run(controller.signal);
        await history.runAsync(4_600);
        controller.abort();
        await running;
        const pauses = starts.slice(1).map((start, index) => start - starts[index]!);
        expect(pauses).to.deep.equal([100, 200, 400, 800, 1_000, 1_000, 1_000]);
    });

    // guards against a task that fails for good while its instance goes on with what it kept before
    it("fails when a child fails again and again for too long, and not when it runs between", async () => {
        const history = createHistory<never>({ seed: 1 });
        const run = (childName: string, lifetime: number): Promise<string> => {
            const child = {
                name: childName,
                run: async (): Promise<void> => {
                    await history.clock.sleep(lifetime);
                    throw new Error("ends");
                },
            };
            const limits = { maximumRestarts: Number.POSITIVE_INFINITY, restartWindow: 5_000, failureLimit: 60_000 };
            return createSupervisor({ name: "root", children: [child], clock: history.clock, ...limits })
                .run(new AbortController().signal).then(() => "ended", (error: unknown) => String(error));
        };
        let recovering: string | undefined;
        const failing = run("failing", 10);
        run("recovering", 6_000).then(end => recovering = end, () => undefined);
        await history.runAsync(120_000);
        expect(await failing).to.match(/task failing fails since 6\d{4} ms: Error: ends/);
        expect(recovering).to.equal(undefined);
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
