/**
 * Questions to the holders of shards. One that doesn't answer in time, or can't be reached, isn't asked for a while.
 *
 * @packageDocumentation
 */
import type { PeerNetwork } from "../peers/index.js";
import type { InstanceId, Milliseconds } from "../shared/index.js";
import { type AdapterMessage, adapterMessageSchema } from "./messages.js";
import type { ShardHolders } from "./shardHolders.js";

/** Time after which a holder that hasn't responded counts as silent; it responds sooner even if it can't decide yet. */
export const holderTimeoutMilliseconds: Milliseconds = 350;

/** Asks a holder; resolves with `undefined` without an answer that can be read. */
export type HolderQuestion = (holder: InstanceId, message: AdapterMessage) => Promise<AdapterMessage | undefined>;

/**
 * Creates the function that asks.
 *
 * @param network - connections to other instances
 * @param holders - holders that are known, and which of them are silent
 * @returns the function
 */
export function createHolderQuestion(
    network: PeerNetwork,
    holders: Pick<ShardHolders, "markResponsive" | "markSilent">,
): HolderQuestion {
    return async (holder, message) => {
        const response = await network.request(holder, "adapters", message, holderTimeoutMilliseconds);
        if (!response.ok) {
            holders.markSilent(holder, response.error.kind === "unreachable" ? "unreachable" : "timeout");
            return undefined;
        }
        holders.markResponsive(holder);
        return decodeAnswer(response.value);
    };
}

/**
 * Decodes an answer.
 *
 * @param answer - what an instance has sent
 * @returns the answer; `undefined` when it can't be read, as that of an instance of another version
 */
export function decodeAnswer(answer: unknown): AdapterMessage | undefined {
    return adapterMessageSchema.safeParse(answer).data;
}
