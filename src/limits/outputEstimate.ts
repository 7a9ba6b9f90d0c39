/**
 * How many output tokens requests of an account and class turn out to need.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { RequestClass } from "../config/index.js";
import type { ClientAccountId } from "../shared/index.js";

/** What was learned of one account and class. */
export interface OutputStatistics {
    readonly samples: number;
    readonly mean: number;
    /** Mean distance from the mean. */
    readonly deviation: number;
}

/** Estimates of all accounts. */
export interface OutputEstimator {
    /** Estimates the output of a request; the hard stop until enough is known. */
    readonly estimate: (account: ClientAccountId, requestClass: RequestClass, maximumOutputTokens: number) => number;
    readonly record: (account: ClientAccountId, requestClass: RequestClass, outputTokens: number) => void;
}

const minimumSampleCount = 16;
const minimumSampleWeight = 0.05;
const deviationsAboveMean = 2;
const maximumEntryCount = 10_000;

/**
 * Adds a sample.
 *
 * @param statistics - what was known, if anything
 * @param outputTokens - tokens that a request needed
 * @returns what is known now
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
 * Estimates the output of a request.
 *
 * @param statistics - what is known, if anything
 * @param maximumOutputTokens - most tokens that it may need
 * @returns tokens, at most the hard stop
 */
export function estimateOutput(statistics: OutputStatistics | undefined, maximumOutputTokens: number): number {
    if (!statistics || statistics.samples < minimumSampleCount) {
        return maximumOutputTokens;
    }
    return Math.min(maximumOutputTokens, Math.ceil(statistics.mean + deviationsAboveMean * statistics.deviation));
}

/**
 * Creates an estimator that knows nothing; the accounts not seen for longest are forgotten first.
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
