/**
 * Times that the answers of each route have taken lately, from which follows how long the next one may take.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";
import type { Milliseconds } from "../shared/index.js";

/** Times of answers by route. */
export interface AnswerTimes {
    /** Records how long a whole answer has taken, from the arrival of its request. */
    readonly record: (route: string, duration: Milliseconds) => void;
    /** Time within which nearly all answers of a route have ended; `undefined` while too few are known. */
    readonly estimate: (route: string) => Milliseconds | undefined;
}

const maximumRoutes = 1_000;
/** Newest answers of a route that count. */
const keptAnswers = 64;
const fewestAnswers = 8;
/** Ratio of the answers that must have ended within the estimate. */
const estimatedRatio = 0.95;

/**
 * Creates the times without answers.
 *
 * @returns the times, of which an instance needs one object
 */
export function createAnswerTimes(): AnswerTimes {
    const durations = new LRUCache<string, Milliseconds[]>({ max: maximumRoutes });
    return {
        record: (route, duration) => {
            const ofRoute = durations.get(route) ?? [];
            ofRoute.push(duration);
            if (ofRoute.length > keptAnswers) {
                ofRoute.shift();
            }
            durations.set(route, ofRoute);
        },
        estimate: route => {
            const sorted = [...durations.get(route) ?? []].sort((left, right) => left - right);
            return sorted.length < fewestAnswers ? undefined : sorted[Math.ceil(sorted.length * estimatedRatio) - 1];
        },
    };
}
