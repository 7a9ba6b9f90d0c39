/**
 * A fixed number of batch places behind several fair queues, one at each instance, which take turns.
 *
 * @packageDocumentation
 */
import type { RequestClass } from "../../config/index.js";
import { createFairQueue, type FairQueue, isBatchSlotAllowed } from "../../fairness/index.js";
import type { Milliseconds } from "../../shared/index.js";
import { createHistory } from "../../testing/index.js";

/** A request to the servers. */
export interface ServerRequest {
    readonly account: string;
    readonly requestClass: RequestClass;
    readonly queue: number;
    readonly tokens: number;
    readonly weight: number;
    readonly at: Milliseconds;
    readonly duration: Milliseconds;
}

/** What became of a request. */
export interface ServedRequest {
    readonly request: ServerRequest;
    readonly startedAt: Milliseconds;
}

/** Settings of the model. */
export interface ServerModelOptions {
    readonly queues: number;
    readonly places: number;
    readonly until: Milliseconds;
    /** Time between two exchanges of counters; `undefined` shares none. */
    readonly shareInterval: Milliseconds | undefined;
    /** Whether an account beyond its share leaves the last places to the others. */
    readonly keepsReserve: boolean;
}

/**
 * Serves requests.
 *
 * @param requests - by time
 * @param options - size of the model
 * @returns requests that started, in their order
 */
export function serveRequests(
    requests: readonly ServerRequest[],
    options: ServerModelOptions,
): readonly ServedRequest[] {
    const history = createHistory<never>({ seed: 1 });
    const queues: FairQueue<ServerRequest>[] = Array.from(
        { length: options.queues },
        (unused, index) => createFairQueue({ self: `i${index}` }),
    );
    const served: ServedRequest[] = [];
    let free = options.places;
    const running = new Map<string, number>();
    const weights = new Map(requests.map(request => [request.account, request.weight]));
    const totalWeight = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
    const checkRequest = (request: ServerRequest): boolean =>
        !options.keepsReserve || isBatchSlotAllowed({
            batchSlots: options.places,
            freeBatchSlots: free,
            running: running.get(request.account) ?? 0,
            weight: request.weight,
            totalWeight,
        });
    // the owner of the places takes from the queue whose next account is furthest behind
    const takeNext = (): ServerRequest | undefined => {
        const isEligible = (entry: unknown, request: ServerRequest): boolean => checkRequest(request);
        const ranked = queues
            .map(queue => ({ queue, rank: queue.rankNext(history.now(), isEligible) }))
            .filter(candidate => candidate.rank !== undefined)
            .sort((left, right) => left.rank!.servedTokens - right.rank!.servedTokens);
        return ranked[0]?.queue.take(history.now(), isEligible);
    };
    const countRunning = (account: string, change: number): void => {
        running.set(account, (running.get(account) ?? 0) + change);
    };
    const fillPlaces = (): void => {
        while (free > 0) {
            const request = takeNext();
            if (!request) {
                return;
            }
            free--;
            countRunning(request.account, 1);
            served.push({ request, startedAt: history.now() });
            history.schedule(request.duration, () => {
                free++;
                countRunning(request.account, -1);
                fillPlaces();
            });
        }
    };
    const sendCounters = (interval: Milliseconds): void => {
        for (const queue of queues) {
            const counters = queue.readCounters();
            queues.filter(other => other !== queue).forEach(other => other.mergeCounters(counters, history.now()));
        }
        history.schedule(interval, () => sendCounters(interval));
    };
    requests.forEach((request, index) =>
        history.schedule(request.at, () => {
            const { account, requestClass, tokens, weight, at } = request;
            const entry = {
                requestId: `r${index}`,
                account,
                requestClass,
                weight,
                tokens,
                arrivedAt: at,
                deadline: Infinity,
            };
            queues[request.queue]!.push(entry, request, history.now());
            fillPlaces();
        })
    );
    if (options.shareInterval !== undefined) {
        sendCounters(options.shareInterval);
    }
    history.run(options.until);
    return served;
}

/**
 * Finds a percentile.
 *
 * @param values - any numbers
 * @param part - such as 0.99
 * @returns the value, or 0 for none
 */
export function findPercentile(values: readonly number[], part: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}
