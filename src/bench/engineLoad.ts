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
/** Four times the usual part of long prompts. */
const longFraction = 0.48;
const fifths = 5;

/** The bench of engine loads. */
export const engineLoadBench: Bench = { name: "engineLoad", run: runBench };

function runBench({ seed, wallClock }: BenchRun): Promise<readonly BenchLine[]> {
    const bearable = measureCapacity({ seed });
    return Promise.resolve([
        { what: "requests that the engines bear", unit: "1/s", measure: "virtualTime", ours: bearable },
        ...loads.flatMap(load => compare(`load ${load}`, { seed, requestsPerSecond: load * bearable })),
        ...loads.flatMap(load =>
            compareAt(`long prompts at four times their share, load ${load}`, load, { seed, longFraction })
        ),
        ...compareAt("a third of the engines turns slow, load 0.8", changedLoad, { seed, readSlowness }),
        ...compareAt("holder replaced, load 0.8", changedLoad, { seed, isHolderReplaced: true }),
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

function compareAt(
    name: string,
    load: number,
    run: Omit<FleetRun, "isByLoad" | "requestsPerSecond">,
): readonly BenchLine[] {
    return compare(name, { ...run, requestsPerSecond: load * measureCapacity(run) });
}

function compare(name: string, run: Omit<FleetRun, "isByLoad">): readonly BenchLine[] {
    const before = runFleet({ ...run, isByLoad: false });
    const after = runFleet({ ...run, isByLoad: true });
    const describe = (what: string, unit: string, read: (result: FleetResult) => number): BenchLine => ({
        what: `${name}: ${what}`,
        unit,
        measure: "virtualTime",
        baseline: read(before),
        ours: read(after),
    });
    return [
        describe("on time", "part", ({ requests }) => computeOnTime(requests)),
        describe("on time, shortest fifth of prompts", "part", ({ requests }) => computeOnTime(pickFifth(requests, 0))),
        describe(
            "on time, longest fifth of prompts",
            "part",
            ({ requests }) => computeOnTime(pickFifth(requests, fifths - 1)),
        ),
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

function computeOnTime(requests: readonly FleetRequest[]): number {
    return requests.filter(request => request.isOnTime).length / Math.max(1, requests.length);
}

function pickFifth(requests: readonly FleetRequest[], fifth: number): readonly FleetRequest[] {
    const sorted = [...requests].sort((left, right) => left.promptTokens - right.promptTokens);
    const size = sorted.length / fifths;
    return sorted.slice(Math.floor(fifth * size), Math.floor((fifth + 1) * size));
}
