/**
 * Estimates of the output tokens that requests need, learned for each client account and request class.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { RequestClass } from "../config/index.js";
import type { ClientAccountId } from "../shared/index.js";

/** Statistics of the output tokens that requests of one client account and class needed. */
export interface OutputStatistics {
    readonly samples: number;
    readonly mean: number;
    /** Moving average of the absolute difference from the mean. */
    readonly deviation: number;
}

/** Estimates output tokens for all client accounts and classes. */
export interface OutputEstimator {
    /** Estimates the output tokens of a request; `maximumOutputTokens` until enough samples are known. */
    readonly estimate: (account: ClientAccountId, requestClass: RequestClass, maximumOutputTokens: number) => number;
    readonly record: (account: ClientAccountId, requestClass: RequestClass, outputTokens: number) => void;
}

const minimumSampleCount = 16;
/** Weight of the newest sample once there are 20; before that, all samples weigh the same. */
const minimumSampleWeight = 0.05;
const deviationsAboveMean = 2;
const maximumEntryCount = 10_000;

/**
 * Adds a sample. The mean and deviation are exponential moving averages once there are enough samples.
 *
 * @param statistics - statistics so far; `undefined` before the first sample
 * @param outputTokens - output tokens that a request needed
 * @returns new statistics; `statistics` is not changed
 */
export function addSample(statistics: OutputStatistics | undefined, outputTokens: number): OutputStatistics {
    if (!statistics) {
        return { samples: 1, mean: outputTokens, deviation: 0 };
    }
    const samples = statistics.samples + 1;
    const weight = Math.max(minimumSampleWeight, 1 / samples);
    const distance = Math.abs(outputTokens - statistics.mean);
    return {
        samples,
        mean: statistics.mean + weight * (outputTokens - statistics.mean),
        deviation: statistics.deviation + weight * (distance - statistics.deviation),
    };
}

/**
 * Estimates the output tokens of a request as the mean plus two deviations.
 *
 * @param statistics - statistics so far; `undefined` before the first sample
 * @param maximumOutputTokens - largest number of output tokens that the request may generate
 * @returns tokens, at most `maximumOutputTokens`, and exactly that until there are 16 samples
 */
export function estimateOutput(statistics: OutputStatistics | undefined, maximumOutputTokens: number): number {
    if (!statistics || statistics.samples < minimumSampleCount) {
        return maximumOutputTokens;
    }
    return Math.min(maximumOutputTokens, Math.ceil(statistics.mean + deviationsAboveMean * statistics.deviation));
}

/**
 * Creates an estimator without samples. It keeps statistics of a limited number of accounts and classes and evicts the
 * least recently used ones first.
 *
 * @returns the estimator
 */
export function createOutputEstimator(): OutputEstimator {
    const statisticsByKey = new LRUCache<string, OutputStatistics>({ max: maximumEntryCount });
    const buildKey = (account: ClientAccountId, requestClass: RequestClass): string => `${requestClass}/${account}`;
    return {
        estimate: (account, requestClass, maximumOutputTokens) =>
            estimateOutput(statisticsByKey.get(buildKey(account, requestClass)), maximumOutputTokens),
        record: (account, requestClass, outputTokens) => {
            const key = buildKey(account, requestClass);
            statisticsByKey.set(key, addSample(statisticsByKey.get(key), outputTokens));
        },
    };
}
