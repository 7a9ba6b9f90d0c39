import { expect } from "chai";
import fc from "fast-check";
import { createReadProgress } from "../readProgress.js";

const createReading = (time: number) => ({ monotonic: time, timeOfDay: time });

describe("progress of a reader through a topic", () => {
    // guards against a part of a topic that counts as all there was when the read was sent (CONFIG)
    it("confirms a time only when all that was written before it has been read, whatever is written meanwhile", () => {
        // each step: records written since the last one, and the most that the next read returns
        const steps = fc.array(fc.tuple(fc.nat(30), fc.integer({ min: 1, max: 12 })), { minLength: 1, maxLength: 200 });
        fc.assert(fc.property(steps, drawn => {
            const progress = createReadProgress();
            // end of the topic at the time of each step
            const ends: number[] = [];
            let topicEnd = 0;
            let read = 0;
            drawn.forEach(([written, most], time) => {
                topicEnd += written;
                ends.push(topicEnd);
                read = Math.min(topicEnd, read + most);
                const confirmed = progress.takeAnswer({ endOffset: read, topicEnd }, createReading(time));
                expect(confirmed === undefined || ends[confirmed.monotonic]! <= read).to.equal(true);
                expect(read < topicEnd || confirmed?.monotonic === time).to.equal(true);
            });
        }));
    });

    // guards against a reader that never confirms while versions come steadily, so that all keys are refused
    it("confirms again and again while the topic grows as fast as it is read", () => {
        const progress = createReadProgress();
        const confirmed: number[] = [];
        for (let time = 0; time < 1_000; time++) {
            const answer = { endOffset: 4 * (time + 1), topicEnd: 12 + 4 * (time + 1) };
            const reading = progress.takeAnswer(answer, createReading(time));
            confirmed.push(...reading ? [reading.monotonic] : []);
        }
        expect(confirmed).to.deep.equal(Array.from({ length: 997 }, (unused, time) => time));
    });

    it("confirms nothing by ends that were named before the reader began anew", () => {
        const progress = createReadProgress();
        progress.takeAnswer({ endOffset: 4, topicEnd: 12 }, createReading(0));
        progress.reset();
        expect(progress.takeAnswer({ endOffset: 16, topicEnd: 20 }, createReading(1))).to.equal(undefined);
    });
});
