/**
 * Load of one engine as the holder of its shard sees it: requests, prompt tokens that the engine has still to read,
 * memory that its requests take, and how long work takes there. An engine is a backend server that runs base models
 * with LoRA adapters. All functions are pure: they take the state, an event and the time, and return the new state.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** What a request asks of an engine. */
export interface EngineDemand {
    /** Tokens of the whole prompt. */
    readonly promptTokens: number;
    /** Upper bound of the output tokens. */
    readonly outputTokens: number;
    /** Tokens at the beginning of the prompt that the engine has in its cache and doesn't read again. */
    readonly cachedTokens: number;
}

/** Observed and expected time of the same work. Both decay, so that the newest observations weigh most. */
export interface WorkRatio {
    readonly observed: Milliseconds;
    readonly expected: Milliseconds;
    readonly at: Milliseconds;
}

/** Requests of which only a count is known, as of a time: they were placed by an earlier holder or by nobody. */
export interface ForeignRequests {
    readonly requests: number;
    readonly memoryTokens: number;
    readonly at: Milliseconds;
    /** Whether they were assumed, so that any stated load replaces them. */
    readonly isAssumed: boolean;
}

/** State of one engine. */
export interface EngineLoadState {
    /** Requests that the engine runs in its batch. */
    readonly slots: number;
    /** Memory for requests and cached parts of prompts; infinite where it isn't known. */
    readonly memoryTokens: number;
    /** Requests that were placed and have not ended. */
    readonly requests: number;
    /** Memory that they take, or are expected to take by their end. */
    readonly takenTokens: number;
    /** Prompt tokens placed since the state was created, without the cached ones. */
    readonly placedTokens: number;
    /** How many of `placedTokens` were read by `readAt`. */
    readonly readTokens: number;
    readonly readAt: Milliseconds;
    readonly foreign: ForeignRequests;
    /** Time that work took against what it takes on a usual engine of the service, from what answers showed. */
    readonly work: WorkRatio;
    /** Moving average of how long the engine says that work takes on its machine, where 1 is usual. */
    readonly toldSlowness: number;
    readonly toldAt: Milliseconds;
    /** Factor that decisions use while observations are new; it follows the estimate with hysteresis. */
    readonly slowness: number;
    /** Time that first events take on engines of the service against the expectation of this file. */
    readonly timeScale: number;
    /** Prompt tokens placed lately, without the cached ones; the sum decays. */
    readonly recentTokens: number;
    readonly recentAt: Milliseconds;
    /** Moving average of the time from a request's placement to its end. */
    readonly requestDuration: Milliseconds;
}

/** Usual speed of the engines of a service, learned from all of them together. */
export interface UsualSpeed {
    /** Time until first events against the expectation of this file. */
    readonly firstEvent: WorkRatio;
    /** Time between events against the expectation of this file. */
    readonly eventGap: WorkRatio;
}

/** Place that was given to a request, with what is needed to take it off the load again. */
export interface PlacedDemand {
    readonly placedAt: Milliseconds;
    /** Value of `placedTokens` at which its prompt has been read. */
    readonly readPosition: number;
    readonly memoryTokens: number;
    /** Expected time to the first event on a usual engine; `undefined` where the request first waits for a slot. */
    readonly expectedFirstEvent: Milliseconds | undefined;
}

/** What an answer showed of its engine. All fields are missing where nothing was seen. */
export interface AnswerObservation {
    /** Time from the sending of the request to the first event, or to the response. */
    readonly firstEventAfter?: Milliseconds | undefined;
    /** Mean time between events. */
    readonly eventGap?: Milliseconds | undefined;
}

/** Load that an engine stated. */
export interface ToldLoad {
    readonly running: number;
    readonly waiting: number;
    /** Time since the engine stated it. */
    readonly age: Milliseconds;
    /** How long work takes on the engine's machine now, where 1 is usual; missing where the engine doesn't say. */
    readonly slowness?: number | undefined;
    /** Memory in use; missing where the engine doesn't say. */
    readonly memoryTokens?: number | undefined;
}

interface RatioRange {
    readonly lowest: number;
    readonly highest: number;
}

/** Time that a usual engine is assumed to take until it is measured; only ratios between engines matter for choices. */
const usualWork = {
    /** Time to read one prompt token. */
    readPerToken: 0.1,
    /** Time of one step without requests. */
    stepBase: 20,
    /** Time that each request adds to a step. */
    stepPerRequest: 0.5,
} as const;
/** Time in which an observation's weight halves; a machine shared with others changes its speed within seconds. */
const workHalfLifeMilliseconds = 5_000;
/** Weight of the usual speed, as expected work: an engine needs about as much observed work to count as different. */
const usualWorkWeight: Milliseconds = 400;
/** Range of one observation's ratio, as one answer may have been held up by something else than its engine. */
const observationRange: RatioRange = { lowest: 0.25, highest: 6 };
/** Range of an observation's ratio to the expectation of this file, which is a guess until engines are measured. */
const usualRange: RatioRange = { lowest: 0.05, highest: 20 };
/** Range of one stated slowness, so that one absurd figure doesn't outweigh all others for long. */
const toldRange: RatioRange = { lowest: 0.1, highest: 10 };
/** Range of the slowness that decisions use: beyond the differences seen (0.6 to 2.5 times) it is an error of measurement. */
const slownessRange = { lowest: 0.4, highest: 4 } as const;
/** Change of the estimated slowness, as a fraction, from which on decisions use the new value. */
const slownessHysteresis = 0.1;
/** Age of the last observation from which on the slowness that decisions use decays with time. */
const newObservationMilliseconds = 2_000;
/** Weight of the newest stated slowness in its moving average; it changes many times a second. */
const toldWeight = 0.25;
/** Time in which a stated slowness loses half of its distance from usual, without a new one. */
const toldHalfLifeMilliseconds = 1_000;
/** Age from which on a stated load says nothing. */
const toldLifetimeMilliseconds = 1_000;
/** Time after which requests of which only a count is known are taken to have ended. */
const foreignLifetimeMilliseconds = 4_000;
/** Stated requests that were not placed here, in slots, from which on they are taken to be those of another holder. */
const minimumForeignLoad = 0.25;
/** Largest count of unknown requests, in slots: an engine queues only a few requests beyond its slots. */
const maximumForeignLoad = 2;
/** Part of the upper bound of output tokens that requests are expected to take: most answers end before it. */
const expectedOutputFraction = 0.5;
/** Time from placement to end that requests are assumed to take until one has ended. */
const initialRequestDurationMilliseconds = 2_000;
/** Weight of the newest request in the moving average of durations. */
const durationWeight = 0.05;
/** Time in which the tokens ahead should be read, which is a usual limit for a pause between two events. */
const readWindowMilliseconds = 300;
/** Weights of requests beyond the slots, of the wait for the tokens ahead and of others' pauses, against requests per slot. */
const weights = { queue: 4, wait: 1, pause: 1.5 } as const;
/** Time in which the sum of tokens placed lately halves; adapters are moved only for differences that last as long. */
const recentHalfLifeMilliseconds = 5_000;

/**
 * Creates the state of an engine on which nothing runs as far as is known.
 *
 * @param slots - requests that it runs in its batch
 * @param memoryTokens - its memory; infinite where it isn't known
 * @param now - current time
 * @returns the state
 */
export function createEngineLoad(slots: number, memoryTokens: number, now: Milliseconds): EngineLoadState {
    return {
        slots: Math.max(1, slots),
        memoryTokens,
        requests: 0,
        takenTokens: 0,
        placedTokens: 0,
        readTokens: 0,
        readAt: now,
        foreign: { requests: 0, memoryTokens: 0, at: now, isAssumed: false },
        work: createWorkRatio(now),
        toldSlowness: 1,
        toldAt: now,
        slowness: 1,
        timeScale: 1,
        recentTokens: 0,
        recentAt: now,
        requestDuration: initialRequestDurationMilliseconds,
    };
}

/**
 * Creates the usual speed of a service of which no answer was seen.
 *
 * @param now - current time
 * @returns the speed
 */
export function createUsualSpeed(now: Milliseconds): UsualSpeed {
    return { firstEvent: createWorkRatio(now), eventGap: createWorkRatio(now) };
}

/**
 * Counts a request that was placed on the engine.
 *
 * @param state - state of the engine
 * @param demand - what the request asks
 * @param now - current time
 * @returns the new state, and what the end of the request takes off it
 */
export function addPlaced(
    state: EngineLoadState,
    demand: EngineDemand,
    now: Milliseconds,
): { readonly state: EngineLoadState; readonly placed: PlacedDemand; } {
    const readTokens = computeReadTokens(state, now);
    const placedTokens = state.placedTokens + countUncached(demand);
    const memoryTokens = estimateMemory(demand);
    const requests = countRequests(state, now);
    return {
        state: {
            ...state,
            requests: state.requests + 1,
            takenTokens: state.takenTokens + memoryTokens,
            placedTokens,
            readTokens,
            readAt: now,
            recentTokens: computeRecentTokens(state, now) + countUncached(demand),
            recentAt: now,
        },
        placed: {
            placedAt: now,
            readPosition: placedTokens,
            memoryTokens,
            expectedFirstEvent: requests < state.slots
                ? (placedTokens - readTokens) * usualWork.readPerToken + computeUsualStep(requests + 1)
                : undefined,
        },
    };
}

/**
 * Records that the first event of a request has arrived: its prompt, and those before it, have been read.
 *
 * @param state - state of the engine
 * @param placed - the request
 * @param now - current time
 * @returns the new state
 */
export function markBegan(state: EngineLoadState, placed: PlacedDemand, now: Milliseconds): EngineLoadState {
    return { ...state, readTokens: Math.max(computeReadTokens(state, now), placed.readPosition), readAt: now };
}

/**
 * Takes a request that has ended off the load.
 *
 * @param state - state of the engine
 * @param placed - the request
 * @param isAnswered - whether it was answered, so that its duration says how long others will take
 * @param now - current time
 * @returns the new state
 */
export function removePlaced(
    state: EngineLoadState,
    placed: PlacedDemand,
    isAnswered: boolean,
    now: Milliseconds,
): EngineLoadState {
    const requests = Math.max(0, state.requests - 1);
    return {
        ...state,
        requests,
        takenTokens: requests === 0 ? 0 : Math.max(0, state.takenTokens - placed.memoryTokens),
        readTokens: requests === 0 ? state.placedTokens : computeReadTokens(state, now),
        readAt: now,
        requestDuration: isAnswered
            ? state.requestDuration * (1 - durationWeight) + (now - placed.placedAt) * durationWeight
            : state.requestDuration,
    };
}

/**
 * Records what an answer showed of the engine's speed. The usual speed learns from the same observation, so that the
 * engine is compared with the others of its service and not with a constant.
 *
 * @param state - state of the engine
 * @param usual - usual speed of the service
 * @param placed - the request
 * @param observation - what its answer showed
 * @param now - current time
 * @returns the new states
 */
export function recordObservation(
    state: EngineLoadState,
    usual: UsualSpeed,
    placed: PlacedDemand,
    observation: AnswerObservation,
    now: Milliseconds,
): { readonly state: EngineLoadState; readonly usual: UsualSpeed; } {
    const { firstEventAfter, eventGap } = observation;
    let { work } = state;
    let { firstEvent, eventGap: gap } = usual;
    // a stated slowness explains part of the time; the rest is the engine's own
    const told = computeToldSlowness(state, now);
    if (firstEventAfter !== undefined && placed.expectedFirstEvent !== undefined) {
        const expected = placed.expectedFirstEvent * told;
        work = addWork(work, firstEventAfter / computeRatio(firstEvent), expected, observationRange, now);
        firstEvent = addWork(firstEvent, firstEventAfter, expected, usualRange, now);
    }
    if (eventGap !== undefined) {
        const expected = computeUsualStep(state.requests) * told;
        work = addWork(work, eventGap / computeRatio(gap), expected, observationRange, now);
        gap = addWork(gap, eventGap, expected, usualRange, now);
    }
    const timeScale = computeRatio(firstEvent);
    const settled = { ...state, readTokens: computeReadTokens(state, now), readAt: now, work, timeScale };
    return { state: refreshSlowness(settled, now), usual: { firstEvent, eventGap: gap } };
}

/**
 * Records a load that the engine stated.
 *
 * @param state - state of the engine
 * @param told - the load
 * @param now - current time
 * @returns the new state; unchanged when the load is too old
 */
export function recordToldLoad(state: EngineLoadState, told: ToldLoad, now: Milliseconds): EngineLoadState {
    if (told.age > toldLifetimeMilliseconds) {
        return state;
    }
    const excess = told.running + told.waiting - state.requests;
    // a smaller excess are requests that have ended since the engine stated its load
    const requests = excess < state.slots * minimumForeignLoad ? 0 : Math.min(excess, state.slots * maximumForeignLoad);
    // memory in use also holds cached parts, which the engine evicts for requests
    const excessMemory = told.memoryTokens === undefined
        ? computeForeignMemory(state, now)
        : told.memoryTokens - state.takenTokens;
    const foreign = {
        requests,
        memoryTokens: requests === 0
            ? 0
            : Math.min(Math.max(0, excessMemory), requests * state.memoryTokens / state.slots),
        at: now - told.age,
        isAssumed: false,
    };
    const isForeignNewer = state.foreign.isAssumed || foreign.at >= state.foreign.at;
    const toldSlowness = told.slowness === undefined
        ? state.toldSlowness
        : computeToldSlowness(state, now) * (1 - toldWeight) + limitToldSlowness(told.slowness) * toldWeight;
    return refreshSlowness({
        ...state,
        foreign: isForeignNewer ? foreign : state.foreign,
        toldSlowness,
        toldAt: told.slowness === undefined ? state.toldAt : now,
    }, now);
}

/**
 * Assumes that an engine of which nothing is known runs requests of an earlier holder, until it states its load.
 *
 * @param state - state of the engine
 * @param fraction - part of its slots and memory that is assumed to be taken
 * @param now - current time
 * @returns the new state
 */
export function markUnknown(state: EngineLoadState, fraction: number, now: Milliseconds): EngineLoadState {
    const memoryTokens = Number.isFinite(state.memoryTokens) ? state.memoryTokens * fraction : 0;
    return { ...state, foreign: { requests: state.slots * fraction, memoryTokens, at: now, isAssumed: true } };
}

/**
 * Sets the memory that an engine states.
 *
 * @param state - state of the engine
 * @param memoryTokens - its memory
 * @returns the new state
 */
export function setMemory(state: EngineLoadState, memoryTokens: number): EngineLoadState {
    return { ...state, memoryTokens };
}

/**
 * Decides whether a request fits on an engine now: it has a free slot, and its memory holds the request without
 * preemption of others. A request that is larger than the whole memory never fits.
 *
 * @param state - state of the engine
 * @param demand - what the request asks
 * @param now - current time
 * @returns whether it fits
 */
export function fitsNow(state: EngineLoadState, demand: EngineDemand, now: Milliseconds): boolean {
    return countRequests(state, now) < state.slots &&
        countTakenMemory(state, now) + estimateMemory(demand) <= state.memoryTokens;
}

/**
 * Decides whether the memory of an engine holds a request beside those that run there. A request that is larger than the
 * whole memory is left to the engine, which refuses it.
 *
 * @param state - state of the engine
 * @param demand - what the request asks
 * @param now - current time
 * @returns `false` when the request would have others preempted
 */
export function fitsMemory(state: EngineLoadState, demand: EngineDemand, now: Milliseconds): boolean {
    const memory = estimateMemory(demand);
    return memory > state.memoryTokens || countTakenMemory(state, now) + memory <= state.memoryTokens;
}

/**
 * Estimates the time from now to the first event of a request, including the wait for room.
 *
 * @param state - state of the engine
 * @param demand - what the request asks
 * @param now - current time
 * @returns the time; infinite when the request is larger than the engine's memory
 */
export function estimateFirstEvent(state: EngineLoadState, demand: EngineDemand, now: Milliseconds): Milliseconds {
    const tokens = countUnreadTokens(state, now) + countUncached(demand);
    const step = computeUsualStep(Math.min(state.slots, countRequests(state, now) + 1));
    return estimateRoom(state, demand, now) +
        (tokens * usualWork.readPerToken + step) * state.timeScale * computeSlowness(state, now);
}

/**
 * Estimates the time until a request fits on an engine, from how long requests take there.
 *
 * @param state - state of the engine
 * @param demand - what the request asks
 * @param now - current time
 * @returns the time, 0 when it fits now; infinite when the request is larger than the engine's memory
 */
export function estimateRoom(state: EngineLoadState, demand: EngineDemand, now: Milliseconds): Milliseconds {
    const memory = estimateMemory(demand);
    if (memory > state.memoryTokens) {
        return Number.POSITIVE_INFINITY;
    }
    const requests = countRequests(state, now);
    const taken = countTakenMemory(state, now);
    const waitForSlot = Math.max(0, Math.floor(requests) - state.slots + 1) /
        Math.max(1, Math.min(requests, state.slots));
    const waitForMemory = Math.max(0, taken + memory - state.memoryTokens) / Math.max(1, taken);
    return Math.max(waitForSlot, waitForMemory) * state.requestDuration;
}

/**
 * Computes the lasting load of an engine, by which adapters are moved and engines of several holders are compared:
 * requests per slot, or the part of its time that it spends on reading prompts, whichever is higher, by its slowness.
 *
 * @param state - state of the engine
 * @param now - current time
 * @returns 0 or more, where 1 is a full engine of usual speed
 */
export function computeLastingLoad(state: EngineLoadState, now: Milliseconds): number {
    const requests = countRequests(state, now) / state.slots;
    const timePerToken = usualWork.readPerToken * state.timeScale * Math.LN2 / recentHalfLifeMilliseconds;
    // the sum without its decay is an upper bound, which spares the decay for most engines
    const reading = state.recentTokens * timePerToken <= requests ? 0 : computeRecentTokens(state, now) * timePerToken;
    return Math.max(requests, reading) * computeSlowness(state, now);
}

/**
 * Computes what a request costs on an engine: its own expected time to the first event, and the pause that reading its
 * prompt causes in the streams that run there, each against a usual limit for a pause.
 *
 * @param state - state of the engine
 * @param demand - what the request asks
 * @param now - current time
 * @returns the cost, on the scale of the load
 */
export function computePlacementCost(state: EngineLoadState, demand: EngineDemand, now: Milliseconds): number {
    const requests = countRequests(state, now);
    const batch = (requests + 1) / state.slots;
    const own = countUncached(demand);
    const readPerToken = usualWork.readPerToken * state.timeScale / readWindowMilliseconds;
    const wait = (countUnreadTokens(state, now) + own) * readPerToken;
    const pauses = Math.min(1, requests / state.slots) * own * readPerToken;
    const queued = Math.max(0, requests + 1 - state.slots) / state.slots;
    return (batch + queued * weights.queue + wait * weights.wait + pauses * weights.pause) *
        computeSlowness(state, now);
}

/**
 * Counts the prompt tokens that the engine has still to read.
 *
 * @param state - state of the engine
 * @param now - current time
 * @returns tokens of the prompts that were placed
 */
export function countUnreadTokens(state: EngineLoadState, now: Milliseconds): number {
    return state.placedTokens - computeReadTokens(state, now);
}

/**
 * Counts the requests on an engine, including those that are only known by their number.
 *
 * @param state - state of the engine
 * @param now - current time
 * @returns requests; with a fraction, as the trust in a count decays
 */
export function countRequests(state: EngineLoadState, now: Milliseconds): number {
    return state.requests + computeForeignRequests(state, now);
}

/**
 * Computes the factor by which work takes longer on an engine than on a usual one of its service. Without new
 * observations it returns to 1.
 *
 * @param state - state of the engine
 * @param now - current time
 * @returns the factor, where 1 is usual
 */
export function computeSlowness(state: EngineLoadState, now: Milliseconds): number {
    return now - Math.max(state.work.at, state.toldAt) < newObservationMilliseconds
        ? state.slowness
        : estimateSlowness(state, now);
}

function countTakenMemory(state: EngineLoadState, now: Milliseconds): number {
    return state.takenTokens + computeForeignMemory(state, now);
}

function countUncached({ promptTokens, cachedTokens }: EngineDemand): number {
    return Math.max(0, promptTokens - cachedTokens);
}

// cached parts are shared with the requests that brought them, or are evicted for this one
function estimateMemory(demand: EngineDemand): number {
    return demand.promptTokens + demand.outputTokens * expectedOutputFraction;
}

// a holder computes this for all of its engines for each request; with `**` the choice among 98 took 1.7 times as long
function computeDecay(duration: Milliseconds, halfLife: Milliseconds): number {
    return duration <= 0 ? 1 : Math.exp(-Math.LN2 * duration / halfLife);
}

function computeRecentTokens(state: EngineLoadState, now: Milliseconds): number {
    return state.recentTokens === 0
        ? 0
        : state.recentTokens * computeDecay(now - state.recentAt, recentHalfLifeMilliseconds);
}

function computeUsualStep(requests: number): Milliseconds {
    return usualWork.stepBase + requests * usualWork.stepPerRequest;
}

function computeReadTokens(state: EngineLoadState, now: Milliseconds): number {
    const read = Math.max(0, now - state.readAt) / (usualWork.readPerToken * state.timeScale * state.slowness);
    return Math.min(state.placedTokens, state.readTokens + read);
}

function computeForeignTrust({ foreign }: EngineLoadState, now: Milliseconds): number {
    return Math.max(0, 1 - Math.max(0, now - foreign.at) / foreignLifetimeMilliseconds);
}

function computeForeignRequests(state: EngineLoadState, now: Milliseconds): number {
    return state.foreign.requests === 0 ? 0 : state.foreign.requests * computeForeignTrust(state, now);
}

function computeForeignMemory(state: EngineLoadState, now: Milliseconds): number {
    return state.foreign.memoryTokens === 0 ? 0 : state.foreign.memoryTokens * computeForeignTrust(state, now);
}

function computeToldSlowness(state: EngineLoadState, now: Milliseconds): number {
    return state.toldSlowness === 1
        ? 1
        : 1 + (state.toldSlowness - 1) * computeDecay(now - state.toldAt, toldHalfLifeMilliseconds);
}

function limitToldSlowness(slowness: number): number {
    return Math.min(Math.max(slowness, toldRange.lowest), toldRange.highest);
}

function createWorkRatio(now: Milliseconds): WorkRatio {
    return { observed: 0, expected: 0, at: now };
}

function computeRatio({ observed, expected }: WorkRatio): number {
    return (observed + usualWorkWeight) / (expected + usualWorkWeight);
}

function shrinkWork(work: WorkRatio, now: Milliseconds): WorkRatio {
    const factor = computeDecay(now - work.at, workHalfLifeMilliseconds);
    return { observed: work.observed * factor, expected: work.expected * factor, at: Math.max(work.at, now) };
}

function addWork(
    work: WorkRatio,
    observed: Milliseconds,
    expected: Milliseconds,
    range: RatioRange,
    now: Milliseconds,
): WorkRatio {
    const decayed = shrinkWork(work, now);
    const bounded = Math.min(Math.max(observed, expected * range.lowest), expected * range.highest);
    return { ...decayed, observed: decayed.observed + bounded, expected: decayed.expected + expected };
}

function estimateSlowness(state: EngineLoadState, now: Milliseconds): number {
    const estimate = computeRatio(shrinkWork(state.work, now)) * computeToldSlowness(state, now);
    return Math.min(Math.max(estimate, slownessRange.lowest), slownessRange.highest);
}

function refreshSlowness(state: EngineLoadState, now: Milliseconds): EngineLoadState {
    const estimate = estimateSlowness(state, now);
    return Math.abs(estimate - state.slowness) <= state.slowness * slownessHysteresis
        ? state
        // the tokens read so far were read at the former speed
        : { ...state, readTokens: computeReadTokens(state, now), readAt: now, slowness: estimate };
}
