/**
 * Today's skew: five client accounts, a few large, whose requests reach the instances unevenly.
 *
 * @packageDocumentation
 */
import type { ResourceLimits } from "../../limits/index.js";
import { createSeededRandom, type Milliseconds, millisecondsPerSecond } from "../../shared/index.js";
import { createOracle } from "./oracle.js";

/** One request of a workload. */
export interface WorkloadRequest {
    readonly account: string;
    readonly at: Milliseconds;
    /** Place of the instance that it reaches. */
    readonly place: number;
    readonly promptTokens: number;
    readonly hardStop: number;
    /** Output tokens that it turns out to need. */
    readonly outputTokens: number;
    readonly duration: Milliseconds;
    /** Whether one ideal bucket over all instances had its tokens. */
    readonly isWithinRate: boolean;
}

/** Settings of a workload. */
export interface WorkloadOptions {
    readonly seed: number;
    readonly instances: number;
    readonly from: Milliseconds;
    readonly until: Milliseconds;
    /** Tokens asked for, as a part of the rate, by account; the default holds for the others. */
    readonly load: number;
    readonly loads?: ReadonlyMap<string, number>;
    /** @default "uneven" */
    readonly spread?: "uneven" | "even";
}

const rates = [8_000, 6_000, 1_500, 800, 400];
const burstSeconds = 40;
const promptTokens = { low: 50, high: 700 };
const hardStop = 512;
const outputTokens = { low: 20, high: 300 };
const longOutputChance = 0.05;
const millisecondsPerToken = 20;
const meanTokens = 375 + 160 * (1 - longOutputChance) + hardStop * longOutputChance;

/** Names of the accounts, largest first. */
export const accounts: readonly string[] = rates.map((rate, index) => `account${index}`);

/** Limits of the accounts. */
export const accountLimits: ReadonlyMap<string, ResourceLimits> = new Map(
    rates.map((rate, index) => [accounts[index]!, { kind: "settled", rate, burst: rate * burstSeconds }]),
);

/**
 * Draws a workload. Arrivals are random; an ideal bucket over all instances, filled at the start, tells which of them are
 * within the rate.
 *
 * @param options - seed, span and load
 * @returns requests by time
 */
export function createWorkload(options: WorkloadOptions): readonly WorkloadRequest[] {
    const requests = accounts.flatMap((account, index) => createAccountWorkload(account, index, options));
    return requests.sort((left, right) => left.at - right.at);
}

function createAccountWorkload(account: string, index: number, options: WorkloadOptions): WorkloadRequest[] {
    const random = createSeededRandom(options.seed * accounts.length + index);
    const limits = accountLimits.get(account)!;
    const oracle = createOracle(limits.rate, limits.burst);
    const load = options.loads?.get(account) ?? options.load;
    const meanGap = meanTokens / (limits.rate * load) * millisecondsPerSecond;
    const firstPlace = random.between(0, options.instances - 1);
    const requests: WorkloadRequest[] = [];
    let at = load > 0 ? options.from : options.until;
    while (true) {
        at += -Math.log(1 - random.next()) * meanGap;
        if (at >= options.until) {
            return requests;
        }
        const prompt = random.between(promptTokens.low, promptTokens.high);
        const output = random.chance(longOutputChance) ? hardStop : random.between(outputTokens.low, outputTokens.high);
        // half of the requests reach one instance, a quarter the next, and so on
        const steps = options.spread === "even"
            ? random.between(0, options.instances - 1)
            : Math.floor(-Math.log2(1 - random.next()));
        requests.push({
            account,
            at,
            place: (firstPlace + steps) % options.instances,
            promptTokens: prompt,
            hardStop,
            outputTokens: output,
            duration: output * millisecondsPerToken,
            isWithinRate: oracle.tryTake(prompt + output, at),
        });
    }
}
