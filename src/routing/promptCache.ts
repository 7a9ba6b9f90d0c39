/**
 * Parts of prompts that one engine has read and probably still has in its cache. An engine reuses a part only for the
 * same model and adapter, and only if it has all parts before it.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";

/** Part of a prompt: identifier and tokens. */
export type PromptPart = readonly [id: string, tokens: number];

/** Record of the parts that one engine has read. */
export interface PromptCache {
    /** Counts the tokens at the beginning of a prompt that the engine doesn't read again. */
    readonly countCached: (adapter: string, parts: readonly PromptPart[]) => number;
    /** Records that the engine reads a prompt. */
    readonly add: (adapter: string, parts: readonly PromptPart[]) => void;
}

/** Parts that are remembered of one engine, whatever their size. */
const maximumParts = 2_000;
/** Part of an engine's memory that is taken to hold cached parts; running requests share it and evict them. */
const cachedMemoryFraction = 0.5;
/** Cached tokens that are assumed of an engine whose memory isn't known. */
const defaultCachedTokens = 50_000;

/**
 * Creates a record without parts.
 *
 * @param memoryTokens - memory of the engine; infinite where it isn't known
 * @returns the record, owned by the caller
 */
export function createPromptCache(memoryTokens: number): PromptCache {
    const known = Number.isFinite(memoryTokens) ? memoryTokens * cachedMemoryFraction : defaultCachedTokens;
    const maxSize = Math.max(1, Math.floor(known));
    const read = new LRUCache<string, number>({
        max: maximumParts,
        maxSize,
        // larger than the whole cache: not kept
        maxEntrySize: maxSize,
        sizeCalculation: tokens => Math.max(1, Math.ceil(tokens)),
    });
    return {
        countCached: (adapter, parts) => {
            let cached = 0;
            for (const [id, tokens] of parts) {
                const known = read.peek(formatPartKey(adapter, id));
                cached += Math.min(known ?? 0, tokens);
                if (known === undefined || known < tokens) {
                    break;
                }
            }
            return cached;
        },
        add: (adapter, parts) => {
            // an engine evicts the end of a prompt first, as it is of no use without the beginning
            for (let index = parts.length - 1; index >= 0; index--) {
                const [id, tokens] = parts[index]!;
                read.set(formatPartKey(adapter, id), tokens);
            }
        },
    };
}

function formatPartKey(adapter: string, id: string): string {
    return `${adapter}\n${id}`;
}
