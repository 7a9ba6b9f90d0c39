/**
 * Permits of an instance: those that it gives as the holder of servers' shards, and those that it asks other holders for.
 *
 * @packageDocumentation
 */
import type { PeerNetwork } from "../peers/index.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "../serving/types.js";
import type { Clock, InstanceId, Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import type { HolderQuestion } from "./holderQuestions.js";
import { createPermitClient, type PermitClient } from "./permitClient.js";
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
    readonly decide: (shard: number, run: ServerRunId, requestsPerSecond: number) => Milliseconds | undefined;
    /** Forgets a run of a server. */
    readonly remove: (run: ServerRunId) => void;
}

/**
 * Creates the permits.
 *
 * @param options - holders and the permits that are given here
 * @returns the permits
 */
export function createInstancePermits(options: InstancePermitsOptions): InstancePermits {
    const { requestHolder, clock, findShard, holders, network, self, serverPermits } = options;
    const decide = (shard: number, run: ServerRunId, requestsPerSecond: number): Milliseconds | undefined => {
        if (!options.isHeld(shard)) {
            return undefined;
        }
        const now = clock.now();
        if (!serverPermits.isLimited(run)) {
            serverPermits.setLimit(run, requestsPerSecond, now);
        }
        return serverPermits.take(run, now) ? 0 : serverPermits.measureWait(run, now);
    };
    const sendLimit = (holder: InstanceId, server: BackendServer, requestsPerSecond: number | undefined): void => {
        const run = formatServerRunId(server);
        if (holder === self) {
            serverPermits.setLimit(run, requestsPerSecond, clock.now());
            return;
        }
        network.send(holder, "adapters", { kind: "limit", run, requestsPerSecond });
    };
    const requestPermit = async (holder: InstanceId, server: BackendServer, requestsPerSecond: number) => {
        const run = formatServerRunId(server);
        const shard = findShard(server);
        if (holder === self) {
            return decide(shard, run, requestsPerSecond);
        }
        const answer = await requestHolder(holder, { kind: "askPermit", shard, run, requestsPerSecond });
        const wait = answer?.kind === "permit" ? answer.wait : undefined;
        if (wait === undefined) {
            startTask("holders of shards", holders.refresh);
        }
        return wait;
    };
    const client = createPermitClient({
        clock,
        findHolder: server => {
            const holder = holders.find(findShard(server));
            return holder !== undefined && holder !== self && holders.isSilent(holder) ? undefined : holder;
        },
        tell: sendLimit,
        ask: requestPermit,
    });
    return {
        client,
        decide,
        remove: run => {
            serverPermits.remove(run);
            client.remove(run);
        },
    };
}
