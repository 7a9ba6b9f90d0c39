/**
 * Simulation of requests with short and long prompts on engines of one holder, which differ in speed. The engines are
 * chosen by `selectEngine`, with or without the loads of `engineLoads`.
 *
 * @packageDocumentation
 */
import { createEngineLoads } from "../../adapters/engineLoads.js";
import { createEnginePlaces } from "../../adapters/enginePlaces.js";
import { type EngineSelection, selectEngine, sumEngineLoad } from "../../adapters/engineSelection.js";
import { formatAdapterKey } from "../../adapters/messages.js";
import { createResidencyIndex } from "../../adapters/residencyIndex.js";
import type { PromptPart } from "../../routing/index.js";
import { createServerRecords } from "../../serving/serverRecords.js";
import { type BackendServer, formatServerRunId } from "../../serving/types.js";
import { type Clock, createSeededRandom, type Milliseconds, type SeededRandom } from "../../shared/index.js";
import { batchMemoryTokens, batchSlots, createBatchEngine } from "./batchEngine.js";

/** Settings of one run. */
export interface FleetRun {
    readonly seed: number;
    readonly requestsPerSecond: number;
    /** Whether engines are chosen by their loads, and not by requests alone. */
    readonly isByLoad: boolean;
    /** Part of the prompts that is long. @default 0.12 */
    readonly longFraction?: number;
    /** Whether the holder's counts are lost in the middle of the run. @default false */
    readonly isHolderReplaced?: boolean;
    /** Slowness of an engine at a time; drawn from the seed where it is missing. */
    readonly readSlowness?: (engine: number, now: Milliseconds) => number;
}

/** One request and how it went. */
export interface FleetRequest {
    readonly arrivedAt: Milliseconds;
    readonly promptTokens: number;
    readonly engines: readonly number[];
    readonly isOnTime: boolean;
    readonly isAnswered: boolean;
}

/** Result of one run. */
export interface FleetResult {
    readonly requests: readonly FleetRequest[];
    readonly preemptions: number;
    readonly loads: number;
    /** Most requests on one engine, against the mean, averaged over the run. */
    readonly imbalance: number;
}

interface Request {
    readonly id: string;
    readonly adapter: string;
    readonly parts: readonly PromptPart[];
    readonly arrivedAt: Milliseconds;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly outputLimit: number;
    readonly excluded: Set<string>;
    readonly engines: number[];
    sentAt: Milliseconds;
    firstAt: Milliseconds | undefined;
    lastAt: Milliseconds;
    longestGap: Milliseconds;
    events: number;
    isAnswered: boolean;
}

/** Number of engines. */
export const fleetEngineCount = 13;
/** Duration of one run. */
export const fleetMilliseconds = 40_000;
/** Time to the first event, and between events, within which an answer is on time. */
export const fleetObjective = { firstEvent: 1_000, eventGap: 300 } as const;
const deadlineMilliseconds = 8_000;
const retryMilliseconds = 40;
const loadMilliseconds = 60;
const adapterCount = 80;
const adapterSlots = 24;
/** Shortest time between two adapter loads, as the weight store serves few at a time. */
const loadIntervalMilliseconds = 300;
const maximumAttempts = 5;
const sampleMilliseconds = 200;
const shortPrompt = [60, 700] as const;
const longPrompt = [2_000, 6_870] as const;
const output = [30, 180] as const;

/**
 * Runs the simulation.
 *
 * @param run - settings
 * @returns how the requests went
 */
export function runFleet(run: FleetRun): FleetResult {
    const random = createSeededRandom(run.seed);
    let now = 0;
    const clock: Clock = { now: () => now, sleep: () => Promise.resolve() };
    const servers = Array.from({ length: fleetEngineCount }, (unused, index) => createServer(index));
    const records = createServerRecords();
    const residency = createResidencyIndex();
    let loads = createEngineLoads(clock, records);
    let places = createEnginePlaces(records, loads, { onTaken: () => undefined, onFreed: () => undefined });
    const open = (isNew: boolean): void =>
        servers.forEach(server => run.isByLoad && loads.open(server, batchMemoryTokens, isNew));
    open(true);
    servers.forEach(server =>
        residency.replace({ run: formatServerRunId(server), models: [{ name: "base", adapters: [] }] })
    );
    const readSlowness = run.readSlowness ?? createSlowness(random);
    const engines = servers.map((server, index) => createBatchEngine(at => readSlowness(index, at)));
    const usedAdapters = servers.map(() => new Map<string, Milliseconds>());
    const requests: Request[] = createRequests(run, random);
    const delayed: { at: Milliseconds; act: () => void; }[] = [];
    const schedule = (duration: Milliseconds, act: () => void): void => void delayed.push({ at: now + duration, act });
    let loadCount = 0;
    let lastLoadAt = Number.NEGATIVE_INFINITY;
    let isReplaced = false;
    const imbalances: number[] = [];
    const choose = (request: Request, isLoadIgnored: boolean): EngineSelection => {
        const { requests: sum, slots } = sumEngineLoad(servers, records, now);
        return selectEngine({
            servers,
            records,
            failureDomain: "a",
            excluded: request.excluded,
            now,
            choice: { model: "base", adapter: request.adapter },
            demand: { tokens: { prompt: request.promptTokens, output: request.outputLimit }, parts: request.parts },
            residency,
            oldestVersion: undefined,
            isOrderAllowed: () => true,
            isUnavailableForLoad: () => now - lastLoadAt < loadIntervalMilliseconds,
            meanLoad: sum / slots,
            isLoadIgnored,
            isDiverted: false,
        });
    };
    const describeLoad = (index: number) => ({
        ...engines[index]!.countRunning(),
        age: 0,
        slowness: readSlowness(index, now),
    });
    const loadAdapter = (index: number, adapter: string): void => {
        const used = usedAdapters[index]!;
        const engineRun = formatServerRunId(servers[index]!);
        if (used.size >= adapterSlots) {
            const [oldest] = [...used].reduce((left, right) => left[1] <= right[1] ? left : right);
            used.delete(oldest);
            residency.apply({ run: engineRun, model: "base", adapter: oldest, version: undefined });
        }
        used.set(adapter, now);
        loadCount++;
        lastLoadAt = now;
        residency.apply({ run: engineRun, model: "base", adapter, version: 1 });
    };
    const send = (request: Request, index: number): void => {
        const engineRun = formatServerRunId(servers[index]!);
        const placeId = `${request.id} ${request.engines.length}`;
        request.engines.push(index);
        request.sentAt = now;
        usedAdapters[index]!.set(request.adapter, now);
        const isFirstEventWanted = places.take(placeId, {
            run: engineRun,
            choice: { model: "base", adapter: request.adapter },
            expiresAt: Number.POSITIVE_INFINITY,
            isPaced: false,
        }, { tokens: { prompt: request.promptTokens, output: request.outputLimit }, parts: request.parts });
        const handleEvent = (at: Milliseconds, isLast: boolean): void => {
            request.events++;
            if (request.firstAt === undefined) {
                request.firstAt = at;
                isFirstEventWanted &&
                    places.begin(placeId, { firstEventAfter: at - request.sentAt, load: describeLoad(index) });
            }
            else {
                request.longestGap = Math.max(request.longestGap, at - request.lastAt);
            }
            request.lastAt = at;
            if (isLast) {
                request.isAnswered = true;
                places.free(placeId, "answered", {
                    firstEventAfter: isFirstEventWanted ? undefined : request.firstAt - request.sentAt,
                    eventGap: request.events > 1 ? (at - request.firstAt) / (request.events - 1) : undefined,
                    load: describeLoad(index),
                });
            }
        };
        if (!engines[index]!.submit({ ...request, id: placeId, onEvent: handleEvent }, now)) {
            places.free(placeId, "unknown", { load: describeLoad(index) });
            request.excluded.add(engineRun);
            request.engines.length < maximumAttempts && sendToPlace(request);
            return;
        }
        schedule(request.arrivedAt + deadlineMilliseconds - now, () => {
            if (!request.isAnswered) {
                engines[index]!.cancel(placeId);
                places.free(placeId);
            }
        });
    };
    const sendToPlace = (request: Request): void => {
        if (now - request.arrivedAt >= deadlineMilliseconds) {
            return;
        }
        const first = choose(request, false);
        const selection = first.kind === "busy" ? choose(request, true) : first;
        if (selection.kind !== "resident" && selection.kind !== "load") {
            schedule(retryMilliseconds, () => sendToPlace(request));
            return;
        }
        const index = servers.indexOf(selection.server);
        if (selection.kind === "load") {
            loadAdapter(index, request.adapter);
            schedule(loadMilliseconds, () => send(request, index));
            return;
        }
        send(request, index);
    };
    // what is placed under an old holder ends without its counts
    const replaceHolder = (): void => {
        isReplaced = true;
        loads = createEngineLoads(clock, records);
        places = createEnginePlaces(records, loads, { onTaken: () => undefined, onFreed: () => undefined });
        servers.forEach(server => records.getRecord(formatServerRunId(server)).inFlight = 0);
        open(false);
        servers.forEach((server, index) => {
            const { running, waiting } = engines[index]!.countRunning();
            const report = { running, queued: waiting, usedTokens: 0, totalTokens: batchMemoryTokens };
            run.isByLoad && loads.handleReport(formatServerRunId(server), report);
        });
    };
    listInitialAdapters().forEach(([index, adapter]) => loadAdapter(index, adapter));
    loadCount = 0;
    let next = 0;
    let sampledAt = 0;
    while (now < fleetMilliseconds + deadlineMilliseconds) {
        const step = engines.reduce((best, engine) => engine.readStepEnd() < best.readStepEnd() ? engine : best);
        const due = delayed.reduce<(typeof delayed)[number] | undefined>(
            (best, entry) => !best || entry.at < best.at ? entry : best,
            undefined,
        );
        const arrivesAt = requests[next]?.arrivedAt ?? Number.POSITIVE_INFINITY;
        const at = Math.min(step.readStepEnd(), due?.at ?? Number.POSITIVE_INFINITY, arrivesAt);
        if (!Number.isFinite(at)) {
            break;
        }
        now = at;
        if (now - sampledAt >= sampleMilliseconds && now < fleetMilliseconds) {
            sampledAt = now;
            const counts = engines.map(engine => engine.countRunning()).map(count => count.running + count.waiting);
            const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
            mean > 0 && imbalances.push(Math.max(...counts) / mean);
        }
        if (run.isHolderReplaced && !isReplaced && now > fleetMilliseconds / 2) {
            replaceHolder();
        }
        if (arrivesAt === at) {
            sendToPlace(requests[next++]!);
        }
        else if (due?.at === at) {
            delayed.splice(delayed.indexOf(due), 1);
            due.act();
        }
        else {
            step.endStep();
        }
    }
    return {
        requests: requests.map(describeRequest),
        preemptions: engines.reduce((sum, engine) => sum + engine.countPreemptions(), 0),
        loads: loadCount,
        imbalance: imbalances.reduce((sum, value) => sum + value, 0) / Math.max(1, imbalances.length),
    };
}

function describeRequest(request: Request): FleetRequest {
    const { arrivedAt, promptTokens, engines, isAnswered, firstAt, longestGap } = request;
    return {
        arrivedAt,
        promptTokens,
        engines,
        isAnswered,
        isOnTime: isAnswered && firstAt! - arrivedAt <= fleetObjective.firstEvent &&
            longestGap <= fleetObjective.eventGap,
    };
}

function createServer(index: number): BackendServer {
    return {
        id: `e-${index}`,
        startedAt: 1,
        service: "llm",
        address: `10.0.0.${index}:1`,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: batchSlots,
        models: [],
    };
}

function createRequests(run: FleetRun, random: SeededRandom): Request[] {
    const { longFraction = 0.12 } = run;
    const requests: Request[] = [];
    let at = 0;
    for (;;) {
        at -= Math.log(1 - random.next()) * 1_000 / run.requestsPerSecond;
        if (at >= fleetMilliseconds) {
            return requests;
        }
        const rank = Math.floor(adapterCount ** random.next());
        const adapter = formatAdapterKey("base", `a${rank}`).split("/")[1]!;
        const [low, high] = random.chance(longFraction) ? longPrompt : shortPrompt;
        const own = random.between(low, high);
        const shared = 100 + rank * 37 % 300;
        const outputTokens = random.between(...output);
        requests.push({
            id: `r${requests.length}`,
            adapter,
            parts: [[`s${rank}`, shared], [`r${requests.length}`, own]],
            arrivedAt: at,
            promptTokens: own + shared,
            outputTokens,
            outputLimit: outputTokens * 2,
            excluded: new Set(),
            engines: [],
            sentAt: 0,
            firstAt: undefined,
            lastAt: 0,
            longestGap: 0,
            events: 0,
            isAnswered: false,
        });
    }
}

// the more popular an adapter is, the more engines have it at the start
function listInitialAdapters(): readonly (readonly [engine: number, adapter: string])[] {
    const mostReplicas = 8;
    const leastReplicas = 2;
    return Array.from({ length: adapterCount - 1 }, (unused, index) => index + 1).flatMap(rank => {
        const replicas = Math.max(leastReplicas, Math.round(mostReplicas / Math.sqrt(rank)));
        return Array.from(
            { length: replicas },
            (unused, replica) => [(rank * 5 + replica * 3) % fleetEngineCount, `a${rank}`] as const,
        );
    });
}

/**
 * Measures how many requests a second the engines of a run answer while all their slots are in use.
 *
 * @param run - settings; its rate is ignored
 * @returns requests a second of all engines together
 */
export function measureCapacity(run: Omit<FleetRun, "requestsPerSecond" | "isByLoad">): number {
    const random = createSeededRandom(run.seed);
    const readSlowness = run.readSlowness ?? createSlowness(random);
    const manyRequestsPerSecond = 1_000;
    const requests = createRequests({ ...run, requestsPerSecond: manyRequestsPerSecond, isByLoad: false }, random);
    let answered = 0;
    for (let index = 0; index < fleetEngineCount; index++) {
        const engine = createBatchEngine(at => readSlowness(index, at));
        const countAnswer = (at: Milliseconds, isLast: boolean): void => {
            answered += isLast ? 1 : 0;
        };
        const fill = (now: Milliseconds): void => {
            while (engine.submit({ ...requests.at(-1)!, onEvent: countAnswer }, now)) {
                requests.pop();
            }
        };
        fill(0);
        while (engine.readStepEnd() < fleetMilliseconds) {
            fill(engine.readStepEnd());
            engine.endStep();
        }
    }
    return answered * 1_000 / fleetMilliseconds;
}

// each engine has a speed of its own, and shares its machine with others for seconds at a time
function createSlowness(random: SeededRandom): (engine: number, now: Milliseconds) => number {
    const periodMilliseconds = 4_000;
    const own = Array.from({ length: fleetEngineCount }, () => 0.7 + random.next());
    const shared = Array.from(
        { length: fleetEngineCount },
        () => Array.from({ length: 32 }, () => random.chance(0.15) ? 1.8 : 1),
    );
    return (engine, now) =>
        own[engine]! * shared[engine]![Math.floor(now / periodMilliseconds) % shared[engine]!.length]!;
}
