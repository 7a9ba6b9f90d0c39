/**
 * One run of a site's traffic under one way of placing, and its figures.
 *
 * @packageDocumentation
 */
import type { AdapterReference, EngineIncarnation } from "../../backends/index.js";
import type { PlacementMessage } from "../../placement/index.js";
import { type Milliseconds, millisecondsPerSecond } from "../../shared/index.js";
import { createWeightStoreModel, type EngineRecord } from "../../standins/index.js";
import { createHistory, type History } from "../../testing/index.js";
import { createEngineFleet, type EngineFleet } from "./engineFleet.js";
import { type Arrival, course, drawArrivals, engineSize, type Site } from "./workload.js";

/** A place that a policy has found. */
export interface FoundPlace {
    readonly engine: string;
    readonly adapter: AdapterReference;
    readonly incarnation: EngineIncarnation;
    /** How long the request waited for its adapter to be loaded. */
    readonly stall: Milliseconds;
    /** Called once when the request has left the engine. */
    readonly release: (outcome: "completed" | "engineRestarted") => void;
}

/** A way of placing requests. */
export interface PlacementPolicy {
    /** Calls back with a place as soon as there is one. */
    readonly place: (arrival: Arrival, found: (place: FoundPlace) => void) => void;
    /** Told that an engine has begun anew. */
    readonly handleRestart: (engine: string) => void;
    /** Bytes that an instance has received of the others so far, in the mean. */
    readonly readControlBytes?: () => number;
}

/** What a policy is created on. */
export interface PolicyContext {
    readonly history: History<PlacementMessage>;
    readonly engines: EngineFleet;
    readonly site: Site;
    readonly seed: number;
}

/** Figures of one run. */
export interface ScenarioFigures {
    /** Seconds that interactive requests waited for loads. */
    readonly stallSeconds: number;
    /** 95th percentile of the first token in seconds, outside the time after the shift. */
    readonly firstToken95: number;
    readonly meanBatch: number;
    readonly loadsPerThousand: number;
    readonly interactive: number;
    /** Interactive requests that waited for a load. */
    readonly stalled: number;
    readonly unanswered: number;
    readonly overnightDone: number;
    /** Loads that the store had to hold back, since they came faster than its rate. */
    readonly overRate: number;
    readonly mostInSecond: number;
    readonly peakInFlight: number;
    readonly evictedInUse: number;
    readonly wrongTokens: number;
    /** Bytes a second that an instance received of the others, in the mean of the whole run. */
    readonly controlBytes: number;
}

interface Outcome {
    stall: Milliseconds;
    firstToken: Milliseconds | undefined;
}

const restartedEngine = "e1";
const sendDelayMilliseconds = 1;
const retryDelayMilliseconds = 5;
const percentile = 0.95;

/**
 * Runs a site's traffic.
 *
 * @param site - the site
 * @param seed - draws the traffic
 * @param hasBacklog - whether an overnight backlog comes on top
 * @param createPolicy - the way of placing
 * @returns the figures
 */
export function runScenario(
    site: Site,
    seed: number,
    hasBacklog: boolean,
    createPolicy: (context: PolicyContext) => PlacementPolicy,
): ScenarioFigures {
    const history = createHistory<PlacementMessage>({
        seed,
        minimumDelay: Math.ceil(site.messageDelay.minimum),
        maximumDelay: Math.ceil(site.messageDelay.maximum),
    });
    const store = createWeightStoreModel(site.store);
    const ids = Array.from({ length: site.engines }, (unused, index) => `e${index + 1}`);
    const engines = createEngineFleet(
        history,
        store,
        ids.map(id => ({ id, ...engineSize, fencing: "ignored", naturalTokens: Infinity, writeText: false })),
    );
    const policy = createPolicy({ history, engines, site, seed });
    const outcomes = new Map<Arrival, Outcome>();
    let overnightDone = 0;
    let stepsBefore = sumSteps(engines);
    let loadsBefore = 0;

    const runArrival = (arrival: Arrival): void => {
        const outcome = outcomes.get(arrival) ?? { stall: 0, firstToken: undefined };
        outcomes.set(arrival, outcome);
        policy.place(arrival, place => {
            outcome.stall += place.stall;
            history.schedule(sendDelayMilliseconds, () => sendArrival(arrival, place, outcome));
        });
    };
    const sendArrival = (arrival: Arrival, place: FoundPlace, outcome: Outcome): void => {
        const retry = (): void => {
            place.release("engineRestarted");
            history.schedule(retryDelayMilliseconds, () => runArrival(arrival));
        };
        const result = engines.submit(place.engine, {
            requestId: arrival.requestId,
            adapter: place.adapter,
            incarnation: place.incarnation,
            prompt: { kind: "text", text: arrival.promptText },
            maximumOutputTokens: arrival.outputTokens,
            priority: arrival.requestClass === "interactive" ? 0 : 1,
            resumeAfterTokens: 0,
        }, event => {
            if (event.kind === "token") {
                outcome.firstToken ??= history.now() - arrival.at;
            }
            else if (event.kind === "failed") {
                retry();
            }
            else {
                overnightDone += arrival.requestClass === "overnight" ? 1 : 0;
                place.release("completed");
            }
        });
        if (!result.ok) {
            retry();
        }
    };
    for (const arrival of drawArrivals(site, seed, hasBacklog)) {
        history.schedule(arrival.at, () => runArrival(arrival));
    }
    history.schedule(course.measureFrom, () => {
        stepsBefore = sumSteps(engines);
        loadsBefore = store.read().loads.length;
    });
    history.schedule(course.restartAt, () => {
        engines.restart(restartedEngine);
        policy.handleRestart(restartedEngine);
    });
    history.run(course.until);

    const measured = [...outcomes].filter(([arrival]) =>
        arrival.requestClass === "interactive" && arrival.at >= course.measureFrom
    );
    // whoever still waits for a load has stalled until now
    const readStall = ([arrival, outcome]: [Arrival, Outcome]): Milliseconds =>
        outcome.firstToken === undefined ? Math.max(outcome.stall, course.until - arrival.at) : outcome.stall;
    const calm = measured.filter(([{ at }]) => at < course.shiftAt || at >= course.shiftAt + course.shiftGrace);
    const steps = sumSteps(engines);
    const { loads, overRate, peakInFlight } = store.read();
    return {
        stallSeconds: measured.reduce((sum, entry) => sum + readStall(entry), 0) / 1_000,
        firstToken95: readPercentile(calm.map(([{ at }, { firstToken }]) => firstToken ?? course.until - at)) / 1_000,
        meanBatch: (steps.sequences - stepsBefore.sequences) / (steps.steps - stepsBefore.steps),
        loadsPerThousand: (loads.length - loadsBefore) / measured.length * 1_000,
        interactive: measured.length,
        stalled: measured.filter(([, { stall }]) => stall > 0).length,
        unanswered: measured.filter(([, { firstToken }]) => firstToken === undefined).length,
        overnightDone,
        overRate,
        mostInSecond: countMostInSecond(loads.map(load => load.askedAt)),
        peakInFlight,
        evictedInUse: sumRecords(engines, record => record.evictions.filter(({ uses }) => uses > 0).length),
        wrongTokens: sumRecords(engines, record => record.wrongTokens.length),
        controlBytes: (policy.readControlBytes?.() ?? 0) / (history.now() / millisecondsPerSecond),
    };
}

function countMostInSecond(times: readonly Milliseconds[]): number {
    let first = 0;
    let most = 0;
    times.forEach((time, index) => {
        while (time - times[first]! >= millisecondsPerSecond) {
            first++;
        }
        most = Math.max(most, index - first + 1);
    });
    return most;
}

function sumRecords(engines: EngineFleet, count: (record: EngineRecord) => number): number {
    return engines.list().reduce((sum, engine) => sum + count(engine.record), 0);
}

function sumSteps(engines: EngineFleet): { readonly steps: number; readonly sequences: number; } {
    let steps = 0;
    let sequences = 0;
    for (const engine of engines.list()) {
        for (const [batch, count] of engine.record.stepsByBatch) {
            steps += count;
            sequences += batch * count;
        }
    }
    return { steps, sequences };
}

function readPercentile(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile))] ?? 0;
}
