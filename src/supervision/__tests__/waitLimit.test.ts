import { expect } from "chai";
import type { Clock } from "../../shared/index.js";
import { createHistory } from "../../testing/index.js";
import { createWaitLimit } from "../waitLimit.js";

describe("limit of a wait", () => {
    // guards against a wait that ends before its time, so that its request isn't allowed to end by its deadline
    it("ends at its time and not before, also where timers are early", async () => {
        const history = createHistory({ seed: 1 });
        const clock: Clock = {
            now: history.now,
            sleep: (duration, signal) => history.clock.sleep(duration > 1 ? duration - 0.4 : duration, signal),
        };
        const { signal } = createWaitLimit(clock, 50, new AbortController().signal);
        let abortedAt: number | undefined;
        signal.addEventListener("abort", () => abortedAt = history.now());
        await history.runAsync(100);
        expect(abortedAt).to.be.closeTo(50, 0.001).and.to.be.at.least(50);
    });

    // guards against a wait that begins when nobody can end it any more
    it("is over at once when its time has passed, or the other signal was aborted before", () => {
        const { clock } = createHistory({ seed: 1 });
        expect(createWaitLimit(clock, 0, new AbortController().signal).signal.aborted).to.equal(true);
        expect(createWaitLimit(clock, 50, AbortSignal.abort()).signal.aborted).to.equal(true);
    });

    it("leaves a wait alone that is over", async () => {
        const history = createHistory({ seed: 1 });
        const client = new AbortController();
        const limit = createWaitLimit(history.clock, 50, client.signal);
        limit.finish();
        client.abort();
        await history.runAsync(100);
        expect(limit.signal.aborted).to.equal(false);
    });
});
