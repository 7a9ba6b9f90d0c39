import { expect } from "chai";
import { readFileSync } from "node:fs";
import {
    type AgeHop,
    computeOwnAgeLimit,
    computeReaderInterval,
    listDirectHops,
    listRelayedHops,
    promiseBoundMilliseconds,
    readerAgeLimitMilliseconds,
    readerWaitMilliseconds,
    relayWaitMilliseconds,
    secondReaderMilliseconds,
    storeCallMilliseconds,
} from "../readTiming.js";

const page = readFileSync("docs/design/freshness.md", "utf8");
const sumHops = (hops: readonly AgeHop[]): number => hops.reduce((sum, { duration }) => sum + duration, 0);
const formatMilliseconds = (duration: number): string => duration.toLocaleString("en-US");

for (const topic of ["servers", "configuration"] as const) {
    describe(`ages of ${topic} that add up`, () => {
        // guards against times of single hops that together exceed drain_ms or config_ms: 1.7 s and 1 s made 2.7 s
        it("stay within the bound through a reader and without one", () => {
            expect(sumHops(listRelayedHops())).to.be.at.most(promiseBoundMilliseconds[topic]);
            expect(sumHops(listDirectHops(topic))).to.be.at.most(promiseBoundMilliseconds[topic]);
        });

        // guards against a reader that is still used when there is no time left for another one
        it("leave time for the second reader", () => {
            expect(computeOwnAgeLimit(topic)).to.be.at.least(readerAgeLimitMilliseconds + secondReaderMilliseconds);
        });

        // guards against limits that a sound reader exceeds in calm times, so that all instances read the store
        it("don't reach the limit of a sound reader in calm times", () => {
            const longestReaderAge = readerWaitMilliseconds[topic] + computeReaderInterval(topic);
            expect(longestReaderAge + storeCallMilliseconds).to.be.at.most(readerAgeLimitMilliseconds);
            expect(relayWaitMilliseconds[topic]).to.be.above(computeReaderInterval(topic));
        });

        // guards against a page that shows other figures than the program uses
        it("are those of the page", () => {
            const hops = [...listRelayedHops(), ...listDirectHops(topic)].filter(({ duration }) => duration > 0);
            hops.forEach(({ what, duration }) =>
                expect(page).to.include(`| ${what} | ${formatMilliseconds(duration)} |`)
            );
            const bound = formatMilliseconds(promiseBoundMilliseconds[topic]);
            expect(page).to.include(
                `| sum through readers, ${topic} | ${formatMilliseconds(sumHops(listRelayedHops()))} of ${bound} |`,
            );
            expect(page).to.include(
                `| sum without a reader, ${topic} | ${
                    formatMilliseconds(sumHops(listDirectHops(topic)))
                } of ${bound} |`,
            );
        });
    });
}
