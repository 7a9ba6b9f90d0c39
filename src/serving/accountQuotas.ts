/**
 * Joins what an instance needs to keep the quotas of client accounts: its part as a holder, the call to other holders, and
 * the limits that its requests pass.
 *
 * @packageDocumentation
 */
import type { ShardHolders } from "../adapters/shardHolders.js";
import type { ShardTask } from "../adapters/shardTask.js";
import type { PeerNetwork } from "../peers/index.js";
import {
    type Clock,
    createLogger,
    type InstanceId,
    millisecondsPerSecond,
    type SeededRandom,
} from "../shared/index.js";
import { type AccountLimits, type AloneStatus, createAccountLimits } from "./accountLimits.js";
import type { InstanceDirectory } from "./instanceDirectory.js";
import { createAccountShards, createQuotaClient, type QuotaClient } from "./quotaClient.js";
import { createQuotaHolder, type QuotaHolder } from "./quotaHolder.js";
import type { QuotaBounds } from "./startAllowance.js";

/** Dependencies of the quotas. */
export interface AccountQuotasOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    readonly random: SeededRandom;
    readonly directory: Pick<
        InstanceDirectory,
        "isLoaded" | "countInstances" | "countKnown" | "isListed" | "findAddress" | "wasListed"
    >;
    readonly shardCount: number;
    readonly holders: ShardHolders;
    /** Finds a shard that this instance holds. */
    readonly findHeld: ShardTask["find"];
    readonly network: PeerNetwork;
    /** Whether the whole system starts for the first time. */
    readonly isFirstStart: boolean;
    /** By how much all instances together may exceed a quota. */
    readonly bounds: QuotaBounds;
}

/** Quotas of an instance. */
export interface AccountQuotas {
    readonly holder: Pick<QuotaHolder, "update">;
    readonly client: QuotaClient;
    readonly limits: AccountLimits;
    readonly readStatus: () => QuotaStatus;
}

/** What this instance decides without a holder now, and holders that it can't connect to. */
export interface QuotaStatus extends AloneStatus {
    readonly withoutAddress: number;
}

const log = createLogger("serving");

/**
 * Creates the quotas of an instance that knows no account.
 *
 * @param options - the other instances and the bounds
 * @returns the quotas, of which an instance needs one object
 */
export function createAccountQuotas(options: AccountQuotasOptions): AccountQuotas {
    const { clock, directory, self } = options;
    const findShard = createAccountShards(options.shardCount);
    const countInstances = (): number | undefined => directory.isLoaded() ? directory.countInstances() : undefined;
    // knowing nobody isn't being alone: holders may run that aren't in the list
    const countKnown = (): number | undefined => {
        const listed = countInstances();
        const holders = new Set(options.holders.list().map(([, instance]) => instance)).add(self);
        return listed && Math.max(listed, directory.countKnown(), holders.size);
    };
    const holder = createQuotaHolder({
        countInstances,
        isCounted: instance => instance === self || directory.isListed(instance),
        findShard,
        onRush: ({ state, ...rush }) =>
            log.info(state === "begun" ? "account over its quota" : "account within its quota", { ...rush }),
    });
    const client = createQuotaClient({
        self,
        clock,
        findShard,
        holders: options.holders,
        isHeld: shard => options.findHeld(shard) !== undefined,
        quotaHolder: holder,
        network: options.network,
    });
    const limits = createAccountLimits({
        now: clock.now,
        random: options.random,
        bounds: options.bounds,
        startDuration: process.uptime() * millisecondsPerSecond,
        countInstances: countKnown,
        wasKilled: () => options.isFirstStart || directory.wasListed(),
        ask: client.ask,
        giveBack: client.giveBack,
        onAlone: ({ account, state, ...figures }) => {
            const decider = options.holders.find(findShard(account));
            log.info(state === "begun" ? "quota without its holder" : "quota with its holder", {
                account,
                holder: decider,
                address: decider === undefined || decider === self ? undefined : directory.findAddress(decider),
                ...figures,
            });
        },
    });
    const countWithoutAddress = (): number =>
        new Set(
            options.holders.list().map(([, instance]) => instance)
                .filter(instance => instance !== self && directory.findAddress(instance) === undefined),
        ).size;
    return {
        holder,
        client,
        limits,
        readStatus: () => ({ ...limits.readAlone(), withoutAddress: countWithoutAddress() }),
    };
}
