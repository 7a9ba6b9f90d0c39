import { expect } from "chai";
import { type CrashHistoryOptions, type CrashHistoryResult, runCrashHistory } from "./crashHistory.js";

/** Histories of each kind; a larger number is set by hand, as in `HISTORIES=250 npx mocha`. */
const historyCount = Number(process.env["HISTORIES"] ?? 10);
/** Late tries that may reach servers. */
const allowedLateTries = 3;
/** Time for which a common request may be refused by mistake until an answer to it has become known everywhere. */
const soonMilliseconds = 1_000;
const timeLimitMilliseconds = 600_000;

async function runHistories(options: Omit<CrashHistoryOptions, "seed">): Promise<readonly CrashHistoryResult[]> {
    const results: CrashHistoryResult[] = [];
    for (let seed = 1; seed <= historyCount; seed++) {
        results.push(await runCrashHistory({ ...options, seed }));
    }
    const sum = (read: (result: CrashHistoryResult) => number): number =>
        results.reduce((total, result) => total + read(result), 0);
    if (process.env["HISTORIES"] !== undefined) {
        console.log(JSON.stringify({
            ...options,
            histories: historyCount,
            mostLateTries: Math.max(...results.map(({ lateTries }) => lateTries)),
            refusedCommon: sum(({ refusedCommon }) => refusedCommon),
            longestRefusal: Math.max(...results.map(({ longestRefusal }) => longestRefusal)),
            refusedSingle: sum(({ refusedSingle }) => refusedSingle),
            requests: sum(({ requests }) => requests),
        }));
    }
    return results;
}

describe("histories of servers that end", () => {
    for (const shape of ["lookup", "stream"] as const) {
        for (const outsideEndsPerSecond of [0, 0.5, 1.5]) {
            // guards against one request that goes on ending servers, also while others end from outside
            it(`under one ${shape}, with ${outsideEndsPerSecond} ended from outside a second: few tries reach servers later`, async () => {
                const results = await runHistories({ shape, outsideEndsPerSecond, hasCrashingRequest: true });
                expect(Math.max(...results.map(({ lateTries }) => lateTries))).to.be.at.most(allowedLateTries);
                expect(Math.max(...results.map(({ longestRefusal }) => longestRefusal))).to.be.at.most(
                    soonMilliseconds,
                );
            }).timeout(timeLimitMilliseconds);
        }
        for (const outsideEndsPerSecond of [0.5, 1.5]) {
            // guards against blame for a request of many that was running while servers were killed or released in turn
            it(`from outside, ${outsideEndsPerSecond} a second: no common ${shape} is refused for long`, async () => {
                const results = await runHistories({ shape, outsideEndsPerSecond, hasCrashingRequest: false });
                expect(Math.max(...results.map(({ longestRefusal }) => longestRefusal))).to.be.at.most(
                    soonMilliseconds,
                );
            }).timeout(timeLimitMilliseconds);
        }
    }

    for (const seed of [35, 140, 199]) {
        // guards against a request that stays refused for ends of servers that another one explains, or that end from outside
        it(`under one stream, with 1.5 ended from outside a second, seed ${seed}: no common request is refused for long`, async () => {
            const result = await runCrashHistory({
                seed,
                shape: "stream",
                outsideEndsPerSecond: 1.5,
                hasCrashingRequest: true,
            });
            expect(result.longestRefusal).to.be.at.most(soonMilliseconds);
        });
    }
});
