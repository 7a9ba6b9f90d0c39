/**
 * Task that reports admitted usage and requests in flight to the other instances, and applies their reports.
 *
 * @packageDocumentation
 */
import type { PeerNetwork } from "../peers/index.js";
import type { Clock, InstanceId, Milliseconds } from "../shared/index.js";
import type { Task } from "../supervision/index.js";
import type { AccountLimits } from "./accountLimits.js";
import type { InstanceDirectory } from "./instanceDirectory.js";
import type { UsageMessage } from "./messages.js";
import type { RetryBudget } from "./retryBudget.js";
import type { ServerRecords } from "./serverRecords.js";
import type { ServerRunId } from "./types.js";

/** State that the task reports and updates, and callbacks. */
export interface UsageTaskOptions {
    readonly clock: Clock;
    readonly directory: InstanceDirectory;
    readonly limits: AccountLimits;
    readonly records: ServerRecords;
    readonly retryBudget: RetryBudget;
    readonly network: PeerNetwork;
    /** Time from the start of the process until this instance could admit anything. */
    readonly startDuration: Milliseconds;
    /** Called every 100 milliseconds, after changes have been reported. */
    readonly onTick: () => void;
    /** Called when an instance becomes reachable. */
    readonly onReachable: (instance: InstanceId) => void;
}

/** The task and its message handler. */
export interface UsageTask extends Task {
    /** Applies the report of another instance; there is no reply. */
    readonly handleMessage: (from: InstanceId, message: UsageMessage) => undefined;
}

const tickMilliseconds: Milliseconds = 100;
/** Time after which a message is sent even if nothing has changed. */
const heartbeatMilliseconds = 400;

/**
 * Creates the task.
 *
 * @param options - state to report and update, and callbacks
 * @returns the task, which the caller runs and whose handler it registers
 */
export function createUsageTask(options: UsageTaskOptions): UsageTask {
    const { clock, directory, limits, records } = options;
    const inFlightByInstance = new Map<InstanceId, Map<ServerRunId, number>>();
    const sentInFlight = new Map<ServerRunId, number>();
    let sentAt = Number.NEGATIVE_INFINITY;

    const drainInFlight = (): UsageMessage["inFlight"] => {
        const changed: (readonly [ServerRunId, number])[] = [];
        for (const [run, record] of records.list()) {
            if ((sentInFlight.get(run) ?? 0) !== record.inFlight) {
                sentInFlight.set(run, record.inFlight);
                changed.push([run, record.inFlight]);
            }
        }
        return changed;
    };
    const listInFlight = (): UsageMessage["inFlight"] =>
        [...records.list()].filter(([, record]) => record.inFlight > 0).map(([run, record]) => [run, record.inFlight]);
    const forgetUnreachable = (reachable: ReadonlySet<InstanceId>): void => {
        for (const [instance, counts] of inFlightByInstance) {
            if (!reachable.has(instance)) {
                counts.forEach((count, run) => records.getRecord(run).othersInFlight -= count);
                inFlightByInstance.delete(instance);
            }
        }
    };
    const sendChanges = (now: Milliseconds): void => {
        const message: UsageMessage = {
            kind: "usage",
            isWhole: false,
            admitted: limits.drainAdmitted(),
            inFlight: drainInFlight(),
        };
        const hasChanges = message.admitted.length + message.inFlight.length > 0;
        if (hasChanges || now - sentAt >= heartbeatMilliseconds) {
            sentAt = now;
            directory.listOthers().forEach(peer => options.network.send(peer, "usage", message));
        }
    };
    return {
        name: "usage",
        run: async signal => {
            while (!signal.aborted) {
                await clock.sleep(tickMilliseconds, signal);
                const now = clock.now();
                forgetUnreachable(new Set(directory.listReachable(now)));
                limits.setReachableShare(directory.computeReachableShare(now), now);
                if (directory.isLoaded()) {
                    limits.grantStartAllowance(options.startDuration, directory.countInstances());
                }
                options.retryBudget.setInstanceCount(directory.countInstances());
                sendChanges(now);
                options.onTick();
            }
        },
        handleMessage: (from, message) => {
            const now = clock.now();
            limits.handleUsage(from, message, now);
            const counts = inFlightByInstance.get(from) ?? new Map<ServerRunId, number>();
            inFlightByInstance.set(from, counts);
            for (const [run, count] of message.inFlight) {
                const record = records.getRecord(run);
                record.othersInFlight = Math.max(0, record.othersInFlight + count - (counts.get(run) ?? 0));
                counts.set(run, count);
            }
            if (directory.markReachable(from, now)) {
                const whole: UsageMessage = {
                    kind: "usage",
                    isWhole: true,
                    admitted: limits.listAdmitted(),
                    inFlight: listInFlight(),
                };
                options.network.send(from, "usage", whole);
                options.onReachable(from);
            }
            return undefined;
        },
    };
}
