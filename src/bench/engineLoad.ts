/**
 * Bench of the choice among engines: answers on time to the shortest and the longest fifth of prompts, with engines
 * chosen by requests alone and by their loads.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { measureDecision } from "./engineLoad/decisionCost.js";
import {
    fleetMilliseconds,
    type FleetRequest,
    type FleetResult,
    type FleetRun,
    measureCapacity,
    runFleet,
} from "./engineLoad/engineFleet.js";
import type { Bench, BenchLine, BenchRun } from "./harness.js";

const loads = [0.5, 0.8, 1, 1.2];
const changedLoad = 0.8;
/** Runs of which each figure is the mean, as one run differs from the next by some hundredths. */
const runCount = 3;
/** Four times the usual part of long prompts. */
const longFraction = 0.48;
const fifths = 5;

/** The bench of engine loads. */
export const engineLoadBench: Bench = { name: "engineLoad", run: runBench };

function runBench({ seed, wallClock }: BenchRun): Promise<readonly BenchLine[]> {
    const longPrompts = { longFraction };
    return Promise.resolve([
        {
            what: "requests that the engines bear",
            unit: "1/s",
            measure: "virtualTime",
            ours: computeMean(listSeeds(seed).map(each => measureCapacity({ seed: each }))),
        },
        ...loads.flatMap(load => compare(`load ${load}`, seed, load, {})),
        ...loads.flatMap(load =>
            compare(`long prompts at four times their share, load ${load}`, seed, load, longPrompts)
        ),
        ...compare(`a third of the engines turns slow, load ${changedLoad}`, seed, changedLoad, { readSlowness }),
        ...compare(`holder replaced, load ${changedLoad}`, seed, changedLoad, { isHolderReplaced: true }),
        ...wallClock ? [measureDecision(seed)] : [],
    ]);
}

// engines with numbers that 3 divides turn slow while the others turn quick
function readSlowness(engine: number, now: Milliseconds): number {
    if (now < fleetMilliseconds / 4) {
        return 1;
    }
    return engine % 3 === 0 ? 2.5 : 0.8;
}

function compare(
    name: string,
    seed: number,
    load: number,
    settings: Omit<FleetRun, "seed" | "isByLoad" | "requestsPerSecond">,
): readonly BenchLine[] {
    const runs = listSeeds(seed).map((each): Omit<FleetRun, "isByLoad"> => {
        const run = { ...settings, seed: each };
        return { ...run, requestsPerSecond: load * measureCapacity(run) };
    });
    const before = runs.map(run => runFleet({ ...run, isByLoad: false }));
    const after = runs.map(run => runFleet({ ...run, isByLoad: true }));
    const describe = (what: string, unit: string, read: (result: FleetResult) => number): BenchLine => ({
        what: `${name}: ${what}`,
        unit,
        measure: "virtualTime",
        baseline: computeMean(before.map(read)),
        ours: computeMean(after.map(read)),
    });
    return [
        describe("on time", "part", ({ requests }) => computeOnTime(requests)),
        describe("on time, shortest fifth", "part", ({ requests }) => computeOnTime(pickFifth(requests, 0))),
        describe("on time, longest fifth", "part", ({ requests }) => computeOnTime(pickFifth(requests, fifths - 1))),
        describe(
            "answered",
            "part",
            ({ requests }) => requests.filter(request => request.isAnswered).length / requests.length,
        ),
        describe("preemptions", "requests", result => result.preemptions),
        describe("adapter loads", "loads", result => result.loads),
        describe("busiest engine against the mean", "times", result => result.imbalance),
    ];
}

function listSeeds(seed: number): readonly number[] {
    return Array.from({ length: runCount }, (unused, index) => seed + index);
}

function computeMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function computeOnTime(requests: readonly FleetRequest[]): number {
    return requests.filter(request => request.isOnTime).length / Math.max(1, requests.length);
}

function pickFifth(requests: readonly FleetRequest[], fifth: number): readonly FleetRequest[] {
    const sorted = [...requests].sort((left, right) => left.promptTokens - right.promptTokens);
    const size = sorted.length / fifths;
    return sorted.slice(Math.floor(fifth * size), Math.floor((fifth + 1) * size));
}
