/**
 * Permits of an instance: those that it gives as the holder of servers' shards, and those that it asks other holders for.
 *
 * @packageDocumentation
 */
import type { PeerNetwork } from "../peers/index.js";
import type { ColdServers } from "../serving/coldServers.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "../serving/types.js";
import type { Clock, InstanceId, Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { HolderQuestion } from "./holderQuestions.js";
import { createPermitClient, type PermitClient, type ToldLimit } from "./permitClient.js";
import type { ServerPermits } from "./serverPermits.js";
import type { ShardHolders } from "./shardHolders.js";

/** Dependencies of the permits. */
export interface InstancePermitsOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly holders: Pick<ShardHolders, "find" | "isSilent" | "refresh">;
    /** Permits of the servers whose shards this instance holds. */
    readonly serverPermits: ServerPermits;
    readonly cold: Pick<ColdServers, "needsPermit" | "measureRemaining" | "findRate">;
    readonly requestHolder: HolderQuestion;
    /** Shard of a server. */
    readonly findShard: (server: BackendServer) => number;
    /** Whether this instance holds a shard. */
    readonly isHeld: (shard: number) => boolean;
}

/** Permits of an instance. */
export interface InstancePermits {
    readonly client: PermitClient;
    /** Gives a permit, or tells the time until there is one; `undefined` when this instance doesn't hold the shard. */
    readonly decide: (
        shard: number,
        run: ServerRunId,
        requestsPerSecond: number,
        coldFor: Milliseconds | undefined,
    ) => Milliseconds | undefined;
    /** Takes back a permit that this instance gave. */
    readonly takeBack: (shard: number, run: ServerRunId) => void;
    /** Records what a response of a server named, as an instance has told. */
    readonly recordLimit: (
        run: ServerRunId,
        limit: { readonly requestsPerSecond?: number | undefined; readonly coldFor?: Milliseconds | undefined; },
    ) => void;
    /** Forgets a run of a server. */
    readonly remove: (run: ServerRunId) => void;
}

/** Time for which a server is paced that an instance holds for cold; each question for a permit tells it again. */
const askedColdMilliseconds = 2_000;
/** Wait for a permit for a run that the holder has not seen in the list of servers yet. */
const unknownRunWaitMilliseconds = 200;

/**
 * Creates the permits.
 *
 * @param options - holders and the permits that are given here
 * @returns the permits
 */
export function createInstancePermits(options: InstancePermitsOptions): InstancePermits {
    const { requestHolder, clock, findShard, holders, network, self, serverPermits } = options;
    const decide: InstancePermits["decide"] = (shard, run, requestsPerSecond, coldFor) => {
        if (!options.isHeld(shard)) {
            return undefined;
        }
        const now = clock.now();
        if (coldFor === undefined && !serverPermits.isLimited(run)) {
            serverPermits.setLimit(run, requestsPerSecond, now);
        }
        if (coldFor !== undefined && coldFor > 0) {
            // of a run whose entry this instance has not read yet it knows no rate, which would allow any number
            if (options.cold.findRate(run, false, true) === undefined) {
                return unknownRunWaitMilliseconds;
            }
            serverPermits.markAskedCold(run, now + Math.min(coldFor, askedColdMilliseconds));
        }
        // a wait of 0 would be taken for a permit
        return serverPermits.take(run, now) ? 0 : Math.max(1, serverPermits.assignTurn(run, now));
    };
    const takeBack = (shard: number, run: ServerRunId): void => {
        if (options.isHeld(shard)) {
            serverPermits.giveBack(run, clock.now());
        }
    };
    const recordLimit: InstancePermits["recordLimit"] = (run, { requestsPerSecond, coldFor }) => {
        // who tells only of coldness may not know of a limit that others were told
        if (coldFor === undefined || requestsPerSecond !== undefined) {
            serverPermits.setLimit(run, requestsPerSecond, clock.now());
        }
    };
    const sendLimit = (holder: InstanceId, server: BackendServer, limit: ToldLimit): void => {
        const run = formatServerRunId(server);
        if (holder === self) {
            recordLimit(run, limit);
            return;
        }
        network.send(holder, "adapters", { kind: "limit", run, ...limit });
    };
    const requestPermit = async (
        holder: InstanceId,
        server: BackendServer,
        requestsPerSecond: number,
        coldFor: Milliseconds | undefined,
    ) => {
        const run = formatServerRunId(server);
        const shard = findShard(server);
        if (holder === self) {
            const ownWait = decide(shard, run, requestsPerSecond, coldFor);
            return ownWait === undefined ? undefined : { wait: ownWait, isReturnable: true };
        }
        const answer = await requestHolder(holder, { kind: "askPermit", shard, run, requestsPerSecond, coldFor });
        if (answer?.kind !== "permit" || answer.wait === undefined) {
            startTask("holders of shards", holders.refresh);
            return undefined;
        }
        return { wait: answer.wait, isReturnable: answer.isReturnable === true };
    };
    const client = createPermitClient({
        clock,
        cold: options.cold,
        findHolder: server => {
            const holder = holders.find(findShard(server));
            return holder !== undefined && holder !== self && holders.isSilent(holder) ? undefined : holder;
        },
        tell: sendLimit,
        ask: requestPermit,
        giveBack: (holder, server) => {
            const run = formatServerRunId(server);
            if (holder === self) {
                takeBack(findShard(server), run);
                return;
            }
            network.send(holder, "adapters", { kind: "returnPermit", shard: findShard(server), run });
        },
    });
    return {
        client,
        decide,
        recordLimit,
        takeBack,
        remove: run => {
            serverPermits.remove(run);
            client.remove(run);
        },
    };
}
