/**
 * Permits for loads at the weight store: a load of the rate first, then a place in flight.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { ExchangeNumber, ResourceId } from "./messages.js";
import { loadRateResource, loadsInFlightResource } from "./resources.js";
import type { LoadBudget, LoadPermit } from "./types.js";

/** How a draw ended. */
export type LoadDrawResult =
    | { readonly kind: "granted"; readonly draw: ExchangeNumber; readonly validUntil: Milliseconds; }
    | { readonly kind: "refused"; readonly retryAfter: Milliseconds; }
    | { readonly kind: "aborted"; };

/** What the budget needs of the limits task. */
export interface LoadBudgetOptions {
    readonly now: () => Milliseconds;
    /** Time in which a load of the rate or a permit has to be used. */
    readonly permitStartTimeout: Milliseconds;
    readonly sleep: (duration: Milliseconds, signal: AbortSignal) => Promise<void>;
    readonly draw: (resource: ResourceId, priority: number, signal: AbortSignal) => Promise<LoadDrawResult>;
    readonly release: (resource: ResourceId, draw: ExchangeNumber) => void;
}

const longestRetryDelayMilliseconds = 1_000;

/**
 * Creates the load budget.
 *
 * @param options - how units are drawn and given back
 * @returns the budget
 */
export function createLoadBudget(options: LoadBudgetOptions): LoadBudget {
    const drawUntilGranted = async (
        resource: ResourceId,
        priority: number,
        signal: AbortSignal,
    ): Promise<Extract<LoadDrawResult, { kind: "granted"; }> | undefined> => {
        while (!signal.aborted) {
            const outcome = await options.draw(resource, priority, signal);
            if (outcome.kind === "granted") {
                return outcome;
            }
            if (outcome.kind === "refused") {
                await options.sleep(Math.min(outcome.retryAfter, longestRetryDelayMilliseconds), signal);
            }
        }
        return undefined;
    };
    const acquire = async (priority: number, signal: AbortSignal): Promise<LoadPermit | undefined> => {
        while (!signal.aborted) {
            const load = await drawUntilGranted(loadRateResource, priority, signal);
            if (!load) {
                return undefined;
            }
            // a load of the rate that finds no place soon is let go, so that none pile up and start in a swarm
            const slotTimeout = new AbortController();
            void options.sleep(options.permitStartTimeout, slotTimeout.signal).then(() => slotTimeout.abort());
            const slotGrant = await drawUntilGranted(
                loadsInFlightResource,
                priority,
                AbortSignal.any([signal, slotTimeout.signal]),
            );
            slotTimeout.abort();
            if (slotGrant) {
                return createPermit(options, slotGrant.draw, slotGrant.validUntil);
            }
        }
        return undefined;
    };
    return { acquire };
}

function createPermit(options: LoadBudgetOptions, slotDraw: ExchangeNumber, startBy: Milliseconds): LoadPermit {
    let isReleased = false;
    return {
        startBy,
        release: () => {
            if (!isReleased) {
                isReleased = true;
                options.release(loadsInFlightResource, slotDraw);
            }
        },
    };
}
