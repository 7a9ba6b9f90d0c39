import { expect } from "chai";
import { type ClientTry, listFaults, type PlayedStream } from "./orderClients.js";
import { type Play, runPlay } from "./orderPlay.js";

/** Time in which a configuration is in force at all instances. */
const configurationMilliseconds = 1_500;
/** Seeds of the play; more of them by hand. */
const seeds = (process.env["ORDER_SEEDS"] ?? "1").split(",").map(Number);
const seedCount = Number(process.env["ORDER_SEED_COUNT"] ?? 0);
/** A play with fewer returns that go on shows nothing; how many there are depends on the streams that a busy machine begins. */
const leastReturnRatio = 0.01;
const isByHand = (process.env["ORDER_SEEDS"] ?? process.env["ORDER_SEED_COUNT"]) !== undefined;

// joined in a route that surely couldn't be resumed, by its client or by an instance
function listFlipFaults({ streams, flips }: Play): readonly string[] {
    const isNever = (sentAt: number): boolean =>
        flips.filter(({ at }, index) =>
            (flips[index + 1]?.at ?? Number.POSITIVE_INFINITY) >= sentAt - configurationMilliseconds &&
            at <= sentAt + 200
        ).every(({ canResume }) => !canResume);
    return streams.filter(({ path }) => path === "/f/").flatMap(({ key, tries }) =>
        tries.filter(({ sentAt, after, events }) =>
            isNever(sentAt) && events.length > 0 && (after > 0 || new Set(events.map(({ run }) => run)).size > 1)
        ).map(({ after }) => `${key}: went on after ${after} on a route that can't be resumed`)
    );
}

function isWhole({ count, tries }: PlayedStream): boolean {
    const last = tries.at(-1)!;
    return last.isComplete && last.events.at(-1)?.id === count;
}

function describePlay({ streams }: Play, wholeCount: number, tries: readonly ClientTry[]): string {
    const counts = new Map<string, number>();
    for (const { status, after, isComplete } of tries) {
        const name = [status ?? "closed", ...after > 0 ? ["return"] : [], ...isComplete ? [] : ["cut"]].join(" ");
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    const text = [...counts].map(([name, count]) => `${name} ${count}`).sort().join(", ");
    return `    ${streams.length} streams, ${wholeCount} whole, ${tries.length} tries: ${text}`;
}

describe("streams while instances stop in turn, servers fall silent and configurations change", () => {
    for (const seed of seedCount > 0 ? Array.from({ length: seedCount }, (unused, index) => index + 1) : seeds) {
        // guards against a piece that is missing or comes twice, pieces of two runs, and an end before the last piece (ORDER)
        it(`bring each event once and in order, seed ${seed}`, async () => {
            const played = await runPlay(seed);
            const faults = [
                ...played.streams.flatMap(stream => listFaults(stream, stream.path !== "/p/")),
                ...listFlipFaults(played),
            ];
            const tries = played.streams.flatMap(stream => stream.tries);
            const returned = tries.filter(({ after, events }) => after > 0 && events.length > 0);
            const whole = played.streams.filter(isWhole);
            if (isByHand) {
                console.log(
                    [describePlay(played, whole.length, tries), `${returned.length} returns with events`, ...faults]
                        .join("\n        "),
                );
            }
            expect(faults, `${faults.length} faults in ${played.streams.length} streams`).to.deep.equal([]);
            expect(returned.length, "returns with events").to.be.at.least(played.streams.length * leastReturnRatio);
            expect(whole.length, "whole streams").to.be.greaterThan(played.streams.length / 3);
        });
    }
});
