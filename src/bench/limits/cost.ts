/**
 * Processor time and memory of one instance's limits.
 *
 * @packageDocumentation
 */
import { createLimiterCore, defaultLimitTimes, type ResourceLimits } from "../../limits/index.js";

/** Cost of one instance. */
export interface LimitsCost {
    readonly kilobytesForAccount: number;
    /** A draw from the own slice with its settlement. */
    readonly microsecondsForDraw: number;
    /** A loan to the pooling instance with its return, as a lender. */
    readonly microsecondsForLoan: number;
}

const accountCount = 5_000;
const drawCount = 50_000;
const bytesInKilobyte = 1_024;

/**
 * Measures one instance of an epoch of 208 members with 5,000 accounts, by the wall clock.
 *
 * @returns the cost
 */
export function measureCost(): LimitsCost {
    const limits = new Map<string, ResourceLimits>();
    for (let index = 0; index < accountCount; index++) {
        limits.set(`account/a${index}`, { kind: "settled", rate: 1e6, burst: 1e8 });
    }
    const members = Array.from({ length: 208 }, (unused, index) => `i${index}`);
    const epoch = { number: 1, members, gainsAllowedAt: 0 };
    const before = process.memoryUsage().heapUsed;
    const core = createLimiterCore({ self: "i0", times: defaultLimitTimes, firstExchangeNumber: 0 });
    core.setLimits(limits, 0);
    core.updateMembership(epoch, 1e9, 0);
    const after = process.memoryUsage().heapUsed;
    const resource = "account/a7";
    let now = 10_000;
    const measure = (run: (index: number) => void): number => {
        const startedAt = performance.now();
        for (let index = 0; index < drawCount; index++) {
            now += 1;
            core.updateMembership(epoch, 1e9, now);
            run(index);
            core.takeEffects();
        }
        return (performance.now() - startedAt) / drawCount * 1_000;
    };
    const forDraw = measure(() => {
        const draw = core.draw({ resource, amount: 1, mayReturn: 1, priority: 0, waitUntil: now }, now);
        core.confirmUse(resource, draw, 1, now);
        core.release(resource, draw, 1, now);
    });
    const forLoan = measure(loan => {
        core.handleMessage("i1", { kind: "borrow", loan, resource, amount: 1, mayReturn: 1 }, now);
        core.handleMessage("i1", { kind: "returned", loan, resource, amount: 1 }, now);
    });
    return {
        kilobytesForAccount: (after - before) / accountCount / bytesInKilobyte,
        microsecondsForDraw: forDraw,
        microsecondsForLoan: forLoan,
    };
}
