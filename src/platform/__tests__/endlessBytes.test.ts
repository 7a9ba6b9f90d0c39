import { expect } from "chai";
import { createSeededRandom } from "../../shared/index.js";
import { endlessBytes } from "./delivered/endlessBytes.js";
import { runEndlessByteTraffic } from "./delivered/endlessByteTraffic.js";

/** The rule: half a second after its route's `timeout_ms`, a request has its answer. */
const latestMilliseconds = 1_300;
/** Memory of a machine. */
const machineBytes = 350 * 1_048_576;
const clientCount = 24;
/** Time for each kind; longer ones by hand. */
const kindMilliseconds = Number(process.env["ENDLESS_MS"] ?? 300);
const kinds = process.env["ENDLESS_KINDS"]?.split(",") ?? Object.keys(endlessBytes);
/** Seed of the order of the kinds, as each is met by what the others have left. */
const seed = Number(process.env["ENDLESS_SEED"] ?? 1);

function orderKinds(): readonly string[] {
    const random = createSeededRandom(seed);
    return kinds
        .map(kind => ({ kind, place: random.next() }))
        .sort((left, right) => left.place - right.place)
        .map(({ kind }) => kind);
}

describe("delivered program beside servers that send bytes without end", function() {
    this.timeout(60_000 + kinds.length * (kindMilliseconds + 5_000));

    // guards against a faulty server whose bytes end the process, or keep it from the requests to other servers
    it("goes on within its memory, and answers the requests to other servers in time", async () => {
        const parts = await runEndlessByteTraffic(orderKinds(), clientCount, kindMilliseconds);
        const described = parts.map(({ kind, answered, largestMemory, longest, longestWork, statuses, ends }) => {
            const late = answered.filter(({ status, took }) => status !== 200 || took > latestMilliseconds);
            const lateStatuses = late.map(({ status = "none", took }) => `${status} ${Math.round(took)}`).slice(0, 5);
            return {
                isSound: ends === 0 && late.length === 0 && largestMemory < machineBytes,
                text: `${kind}: ${ends} ends, ${late.length} of ${answered.length} late (${lateStatuses.join()}), ${
                    Math.round(largestMemory / 1_048_576)
                } MiB, still ${Math.round(longest)} ms (work ${Math.round(longestWork)} ms), ${
                    JSON.stringify(statuses)
                }`,
            };
        });
        if (process.env["ENDLESS_PRINT"]) {
            process.stdout.write(`${described.map(({ text }) => text).join("\n")}\n`);
        }
        expect(described.filter(({ isSound }) => !isSound).map(({ text }) => text)).to.deep.equal([]);
        expect(parts).to.have.length(kinds.length);
    });
});
