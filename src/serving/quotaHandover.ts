/**
 * Moves the quotas of a shard's accounts from one holder to the next. Between the release of a shard and the next
 * holder's first question nobody holds it: its previous holder decides meanwhile, and hands what its buckets have to the
 * next one when that asks. Units move and are never copied, so that a lost message loses units and makes none.
 *
 * @packageDocumentation
 */
import type { PeerNetwork } from "../peers/index.js";
import type { Clock, InstanceId, Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { QuotaDeciders } from "./quotaDeciders.js";
import type { QuotaHolder } from "./quotaHolder.js";
import { type HandedQuotas, type QuotaMessage, quotaMessageSchema } from "./quotaMessages.js";

/** Dependencies of the hand-over. */
export interface QuotaHandoverOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    readonly deciders: Pick<QuotaDeciders, "listLikely" | "markNamed">;
    /** Whether this instance holds a shard. */
    readonly isHeld: (shard: number) => boolean;
    readonly quotaHolder: Pick<QuotaHolder, "handOver" | "listPresent" | "pause" | "resume" | "takeOver">;
    readonly network: PeerNetwork;
}

/** Hand-over of quotas to and from other instances. */
export interface QuotaHandover {
    /** Whether this instance decides for the accounts of a shard: as its holder, or until the next one has asked. */
    readonly mayDecide: (shard: number) => boolean;
    /** Whether this instance decides for a shard that it doesn't hold any more. */
    readonly isInterim: (shard: number) => boolean;
    /** What must be waited for before the first decision as a new holder; `undefined` when nothing is on its way. */
    readonly findPending: (shard: number) => Promise<void> | undefined;
    readonly handleGained: (shard: number) => void;
    readonly handleLost: (shard: number) => void;
    /** Tells who holds a shard that isn't held here. */
    readonly describeHolder: (shard: number) => QuotaMessage;
    /** Answers the next holder of a shard. */
    readonly handOver: (to: InstanceId, shard: number) => QuotaMessage;
}

/** Time for which the previous holder decides at most; the next one joins within a third of its membership's lifetime. */
const interimMilliseconds: Milliseconds = 2_000;
/** Time for which a new holder waits for what the previous one has; those that ask it wait twice as long for an answer. */
const handoverTimeoutMilliseconds: Milliseconds = 100;

/**
 * Creates the hand-over.
 *
 * @param options - holders of the shards and the quotas held here
 * @returns the hand-over, to be told of each change of the shards held here
 */
export function createQuotaHandover(options: QuotaHandoverOptions): QuotaHandover {
    const { clock, deciders, network, quotaHolder, self } = options;
    const releasedAt = new Map<number, Milliseconds>();
    const pending = new Map<number, Promise<void>>();
    const isInterim = (shard: number): boolean =>
        clock.now() - (releasedAt.get(shard) ?? Number.NEGATIVE_INFINITY) < interimMilliseconds;
    const describeHolder = (shard: number): QuotaMessage => {
        const [holder] = deciders.listLikely(shard);
        return holder === undefined ? { kind: "notHolder" } : { kind: "notHolder", holder };
    };
    const requestHandover = async (previous: InstanceId, shard: number, until: Milliseconds) => {
        const message = { kind: "askHandover", shard } as const;
        const response = await network.request(previous, "quotas", message, Math.max(1, until - clock.now()));
        return response.ok ? quotaMessageSchema.safeParse(response.value).data : undefined;
    };
    // what this instance knows of the holders may be older than the last move
    const fetchFrom = async (first: InstanceId, shard: number): Promise<void> => {
        const until = clock.now() + handoverTimeoutMilliseconds;
        const asked = new Set<InstanceId>([self]);
        let previous: InstanceId | undefined = first;
        while (previous !== undefined && !asked.has(previous) && clock.now() < until) {
            asked.add(previous);
            const answer = await requestHandover(previous, shard, until);
            if (answer?.kind === "handover" && options.isHeld(shard)) {
                quotaHolder.takeOver(shard, answer, clock.now());
            }
            previous = answer?.kind === "notHolder" ? answer.holder : undefined;
        }
    };
    return {
        mayDecide: shard => options.isHeld(shard) || isInterim(shard),
        isInterim: shard => !options.isHeld(shard) && isInterim(shard),
        findPending: shard => pending.get(shard),
        handleGained: shard => {
            releasedAt.delete(shard);
            quotaHolder.resume(shard, clock.now());
            const likely = deciders.listLikely(shard);
            if (likely.length > 0) {
                // one of them may be silent
                const fetches = likely.map(previous => fetchFrom(previous, shard));
                const fetched = Promise.all(fetches).then(() => void pending.delete(shard));
                pending.set(shard, fetched);
                startTask("quotas of a gained shard", () => fetched);
            }
        },
        handleLost: shard => {
            releasedAt.set(shard, clock.now());
            quotaHolder.pause(shard, clock.now());
        },
        describeHolder,
        handOver: (to, shard) => {
            // a shard that is held here isn't given away, whatever another instance believes
            if (options.isHeld(shard)) {
                return { kind: "notHolder" };
            }
            if (!isInterim(shard)) {
                return describeHolder(shard);
            }
            const now = clock.now();
            const told = quotaHolder.listPresent(shard, now).filter(instance => instance !== self && instance !== to);
            const handed: HandedQuotas = quotaHolder.handOver(shard, now);
            releasedAt.delete(shard);
            deciders.markNamed(shard, to);
            told.forEach(instance => network.send(instance, "quotas", { kind: "moved", shard, holder: to }));
            return {
                kind: "handover",
                share: handed.share,
                levels: handed.levels.map(([name, units]) => [name, units]),
            };
        },
    };
}
