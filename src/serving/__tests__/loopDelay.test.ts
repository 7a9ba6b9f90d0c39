import { expect } from "chai";
import { createLoopDelay } from "../loopDelay.js";

describe("loop delay", () => {
    it("is late while a timer is overdue, and for a second after one that was", () => {
        const loop = createLoopDelay();
        expect(loop.isLate(0)).to.equal(false);
        loop.recordTimer(0, 300);
        expect([300, 350, 351, 900].map(loop.isLate)).to.deep.equal([false, false, true, true]);
        expect(loop.recordTimer(900, 1_200)).to.equal(600);
        expect(loop.recordTimer(1_200, 1_500)).to.equal(0);
        loop.recordTimer(1_500, 1_800);
        loop.recordTimer(1_800, 2_100);
        expect([1_899, 1_900, 2_150].map(loop.isLate)).to.deep.equal([true, false, false]);
    });

    it("is on time for a timer that is handled when it is due", () => {
        const loop = createLoopDelay();
        loop.recordTimer(0, 300);
        expect(loop.recordTimer(320, 620)).to.equal(20);
        expect(loop.isLate(330)).to.equal(false);
    });
});
