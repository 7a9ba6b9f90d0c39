/**
 * Model of an engine that reads prompts in pieces between the steps of its batch, and preempts requests when its memory
 * runs out. Times are those of a usual engine, multiplied by the slowness of this one.
 *
 * @packageDocumentation
 */
import { createPromptCache, type PromptPart } from "../../routing/index.js";
import type { Milliseconds } from "../../shared/index.js";

/** Request as the engine sees it. */
export interface BatchRequest {
    readonly id: string;
    readonly adapter: string;
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Called with each event; the last one ends the answer. */
    readonly onEvent: (now: Milliseconds, isLast: boolean) => void;
}

/** A simulated engine. */
export interface BatchEngine {
    /** Adds a request; `false` when the engine's queue is full or the request is larger than its memory. */
    readonly submit: (request: BatchRequest, now: Milliseconds) => boolean;
    readonly cancel: (id: string) => void;
    /** End of the present step; infinite for an idle engine. */
    readonly readStepEnd: () => Milliseconds;
    readonly endStep: () => void;
    readonly countRunning: () => { readonly running: number; readonly waiting: number; };
    readonly countPreemptions: () => number;
}

interface Sequence {
    readonly request: BatchRequest;
    /** Prompt tokens still to read. */
    unread: number;
    generated: number;
    delivered: number;
}

/** Requests that an engine runs in its batch. */
export const batchSlots = 16;
/** Tokens of memory of one engine. */
export const batchMemoryTokens = 45_000;
const queueLimit = 4;
const pieceTokens = 2_048;
const readPerToken = 0.03;
const stepBase = 14;
const stepPerRequest = 0.5;
const tokensPerEvent = 6;

/**
 * Creates an idle engine.
 *
 * @param readSlowness - factor by which work takes longer than on a usual engine at a time
 * @returns the engine
 */
export function createBatchEngine(readSlowness: (now: Milliseconds) => number): BatchEngine {
    const cache = createPromptCache(batchMemoryTokens);
    let waiting: Sequence[] = [];
    let running: Sequence[] = [];
    let stepEndsAt = Number.POSITIVE_INFINITY;
    let preemptions = 0;
    const sumMemory = (): number =>
        running.reduce((sum, { request, generated }) => sum + request.promptTokens + generated, 0);
    const startWaiting = (): void => {
        while (running.length < batchSlots && waiting.length > 0) {
            const next = waiting[0]!;
            if (running.length > 0 && sumMemory() + next.request.promptTokens > batchMemoryTokens) {
                return;
            }
            waiting.shift();
            const { adapter, parts, promptTokens } = next.request;
            next.unread = Math.max(1, promptTokens - cache.countCached(adapter, parts)) + next.generated;
            cache.add(adapter, parts);
            running.push(next);
        }
    };
    const evictNewest = (): void => {
        while (running.length > 1 && sumMemory() > batchMemoryTokens) {
            waiting.unshift(running.pop()!);
            preemptions++;
        }
    };
    const beginStep = (now: Milliseconds): void => {
        evictNewest();
        startWaiting();
        if (running.length === 0) {
            stepEndsAt = Number.POSITIVE_INFINITY;
            return;
        }
        let piece = pieceTokens;
        for (const sequence of running) {
            const read = Math.min(piece, sequence.unread);
            sequence.unread -= read;
            piece -= read;
        }
        const work = stepBase + running.length * stepPerRequest + (pieceTokens - piece) * readPerToken;
        stepEndsAt = now + work * readSlowness(now);
    };
    return {
        submit: (request, now) => {
            if (waiting.length >= queueLimit || request.promptTokens + request.outputTokens > batchMemoryTokens) {
                return false;
            }
            waiting.push({ request, unread: 0, generated: 0, delivered: 0 });
            if (!Number.isFinite(stepEndsAt)) {
                beginStep(now);
            }
            return true;
        },
        cancel: id => {
            waiting = waiting.filter(({ request }) => request.id !== id);
            running = running.filter(({ request }) => request.id !== id);
        },
        readStepEnd: () => stepEndsAt,
        endStep: () => {
            const now = stepEndsAt;
            for (const sequence of running.filter(({ unread }) => unread === 0)) {
                const { request } = sequence;
                sequence.generated++;
                const isLast = sequence.generated >= request.outputTokens;
                if (isLast) {
                    running = running.filter(entry => entry !== sequence);
                }
                if (isLast || sequence.generated === 1 || sequence.generated - sequence.delivered >= tokensPerEvent) {
                    sequence.delivered = sequence.generated;
                    request.onEvent(now, isLast);
                }
            }
            beginStep(now);
        },
        countRunning: () => ({ running: running.length, waiting: waiting.length }),
        countPreemptions: () => preemptions,
    };
}
