import { expect } from "chai";
import { createSystemClock } from "../time.js";

describe("system clock", () => {
    // guards against a timer of more than 31 bits, which Node runs out at once
    it("doesn't end a sleep at once that is longer than the longest timer", async () => {
        const clock = createSystemClock();
        for (const duration of [2 ** 31, Number.MAX_SAFE_INTEGER, Infinity]) {
            const cancel = new AbortController();
            const ended = clock.sleep(duration, cancel.signal).then(() => "ended");
            const other = clock.sleep(20).then(() => "goes on");
            expect(await Promise.race([ended, other]), String(duration)).to.equal("goes on");
            cancel.abort();
            await ended;
        }
    });
});
