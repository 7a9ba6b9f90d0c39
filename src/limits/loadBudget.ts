/**
 * Permits for adapter loads at the weight store. A permit needs a unit of the load rate first, then an in-flight slot.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { ExchangeNumber, ResourceId } from "./messages.js";
import { loadRateResource, loadsInFlightResource } from "./resources.js";
import type { LoadBudget, LoadPermit } from "./types.js";

/** Result of drawing one unit of a load resource. */
export type LoadDrawResult =
    | { readonly kind: "granted"; readonly draw: ExchangeNumber; readonly validUntil: Milliseconds; }
    | { readonly kind: "refused"; readonly retryAfter: Milliseconds; }
    | { readonly kind: "aborted"; };

/** Functions and durations that the limits task passes to the load budget. */
export interface LoadBudgetOptions {
    readonly now: () => Milliseconds;
    /** Time within which a granted unit of the load rate, or a permit, must be used. */
    readonly permitStartTimeout: Milliseconds;
    readonly sleep: (duration: Milliseconds, signal: AbortSignal) => Promise<void>;
    readonly draw: (resource: ResourceId, priority: number, signal: AbortSignal) => Promise<LoadDrawResult>;
    readonly release: (resource: ResourceId, draw: ExchangeNumber) => void;
}

const longestRetryDelayMilliseconds = 1_000;

/**
 * Creates the load budget. It retries refused draws until they are granted or the caller's signal is aborted.
 *
 * @param options - functions that draw and release units, and durations
 * @returns the load budget
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
            // a unit of the load rate that gets no in-flight slot in time is discarded; otherwise such units would
            // accumulate and start many loads at once when slots become free
            const slotTimeout = new AbortController();
            const waitForSlot = async (): Promise<void> => {
                await options.sleep(options.permitStartTimeout, slotTimeout.signal);
                slotTimeout.abort();
            };
            startTask("time limit of a load slot", waitForSlot, () => slotTimeout.abort());
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
