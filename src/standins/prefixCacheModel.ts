/**
 * Model of the prefix cache of an engine: an LRU cache of fixed-size blocks of prompt text.
 *
 * @packageDocumentation
 */
import { LRUCache } from "lru-cache";

/** A prefix cache. */
export interface PrefixCache {
    /**
     * Looks up a prompt, stores its blocks, and returns how many leading tokens were cached before. Prompts share
     * blocks only within one `scope`, which is a prefix of the cache keys.
     */
    readonly use: (scope: string, promptText: string, promptTokens: number) => number;
}

const blockCharacters = 256;
const blockTokens = 64;

/**
 * Creates a prefix cache.
 *
 * @param capacityTokens - capacity in tokens, rounded down to whole blocks of 64 tokens but at least one block
 * @returns the cache, without entries
 */
export function createPrefixCache(capacityTokens: number): PrefixCache {
    const blocks = new LRUCache<string, true>({ max: Math.max(1, Math.floor(capacityTokens / blockTokens)) });
    return {
        use: (scope, promptText, promptTokens) => {
            let cached = 0;
            let unbroken = true;
            for (let end = blockCharacters; end <= promptText.length; end += blockCharacters) {
                const key = scope + promptText.slice(0, end);
                unbroken &&= blocks.has(key);
                cached += unbroken ? blockTokens : 0;
                blocks.set(key, true);
            }
            return Math.min(cached, promptTokens);
        },
    };
}
