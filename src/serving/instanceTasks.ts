/**
 * Small tasks of an instance: regular maintenance, reads, and its end.
 *
 * @packageDocumentation
 */
import type { ShardHolder } from "../adapters/shardHolders.js";
import type { ShardTask } from "../adapters/shardTask.js";
import type { ShardGroup } from "../adapters/types.js";
import { type Clock, createLogger, type Milliseconds } from "../shared/index.js";
import { callGuarded, LastingFailure, runTask, type Task } from "../supervision/index.js";
import type { InstanceEntry } from "./instanceDirectory.js";
import type { LoopDelay } from "./loopDelay.js";
import type { Registration } from "./registration.js";
import type { ServerListChange } from "./serverList.js";
import type { ServingOptions } from "./servingOptions.js";
import { formatServerRunId, type ServingConfig } from "./types.js";

const log = createLogger("serving");

/**
 * Creates the task that calls `maintain` again and again.
 *
 * @param clock - source of the pauses
 * @param loop - learns from the pauses whether the event loop is late
 * @param maintain - does what is due, gets the lateness of its call, and returns the time until the next one
 * @returns the task, which the caller runs
 */
export function createMaintenanceTask(
    clock: Clock,
    loop: LoopDelay,
    maintain: (delay: Milliseconds) => Milliseconds,
): Task {
    return {
        name: "maintenance",
        run: async signal => {
            let delay = 0;
            while (!signal.aborted) {
                const pause = maintain(delay);
                loop.recordTimer(clock.now(), clock.now() + pause);
                await clock.sleep(pause, signal);
                delay = loop.recordTimer(clock.now(), Number.POSITIVE_INFINITY);
            }
        },
    };
}

/**
 * Joins parts of the regular maintenance so that one that throws doesn't keep the others from running.
 *
 * @param parts - constant name of each part, and what it does
 * @param failureLimit - time for which a part may fail without a success between
 * @returns runs all parts; throws when one of them has failed for too long
 */
export function createGuardedParts(
    parts: Readonly<Record<string, () => void>>,
    failureLimit: Milliseconds,
): (now: Milliseconds) => void {
    const failingSince = new Map<string, Milliseconds>();
    return now => {
        for (const [name, run] of Object.entries(parts)) {
            let hasFailed = false;
            callGuarded(name, run, () => hasFailed = true);
            if (hasFailed) {
                failingSince.set(name, failingSince.get(name) ?? now);
            }
            else {
                failingSince.delete(name);
            }
        }
        const lasting = [...failingSince].find(([, since]) => now - since >= failureLimit);
        if (lasting) {
            throw new LastingFailure(`${lasting[0]} fails since ${Math.round(now - lasting[1])} ms`);
        }
    };
}

/** A failure that ends an instance. */
export interface InstanceFailure {
    /** Throws what ended the instance. */
    readonly rethrow: () => never;
}

/**
 * Waits until an instance is to be stopped, or ends by itself.
 *
 * @param signal - aborted when the instance is to be stopped
 * @param running - its tasks, which reject when one of them can't go on
 * @returns the failure; `undefined` when it is stopped
 */
export function waitForEnd(signal: AbortSignal, running: Promise<void>): Promise<InstanceFailure | undefined> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve(undefined);
        }
        signal.addEventListener("abort", () => resolve(undefined), { once: true });
        running.then(() => resolve(undefined), (error: unknown) => {
            log.error("instance ends by itself", { reason: String(error) });
            resolve({
                rethrow: () => {
                    throw error;
                },
            });
        });
    });
}

/**
 * Reads the holders of all shards from the store.
 *
 * @param group - group of instances among which the store distributes the shards
 * @returns the holders; `undefined` when the read fails
 */
export async function readShardHolders(
    group: Pick<ShardGroup, "listOwners">,
): Promise<readonly ShardHolder[] | undefined> {
    const owners = await group.listOwners();
    if (!owners.ok) {
        log.warn("shard holders unknown", { ...owners.error });
        return undefined;
    }
    return owners.value.map(({ shard, member }): ShardHolder => [shard, member]);
}

/**
 * Ends what the store knows of an instance that stops: its membership in the shard group, and its entry.
 *
 * @param shards - its membership
 * @param registration - its entry
 */
export async function removeInstance(
    shards: Pick<ShardTask, "leave">,
    registration: Pick<Registration, "remove">,
): Promise<void> {
    await Promise.all([
        runTask("leave shards", shards.leave),
        runTask("remove instance", registration.remove),
    ]);
}

/**
 * Describes a configuration for the log.
 *
 * @param config - the configuration
 * @returns fields of the line
 */
export function describeConfiguration(config: ServingConfig): Readonly<Record<string, unknown>> {
    return {
        version: config.version,
        routes: config.routes.length,
        quotas: config.accounts?.map(account => [account.name, account.quota?.ratePerSecond]),
    };
}

/**
 * Writes a change of the list of servers to the log.
 *
 * @param change - the change; nothing is written where it is empty
 */
export function writeServerChange({ added, removed }: ServerListChange): void {
    if (added.length + removed.length > 0) {
        log.info("servers", { added: added.map(formatServerRunId), removed: removed.map(formatServerRunId) });
    }
}

/**
 * Describes an instance as others see it.
 *
 * @param options - its settings
 * @returns its entry in the list of instances
 */
export function describeInstance(
    options: Pick<ServingOptions, "instanceName" | "host" | "peerPort" | "failureDomain" | "cores">,
): InstanceEntry {
    return {
        id: options.instanceName,
        address: `${options.host}:${options.peerPort}`,
        failureDomain: options.failureDomain,
        cores: options.cores,
    };
}
