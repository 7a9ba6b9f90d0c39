/**
 * Opens the ports of an instance, creates its parts, runs them under a supervisor and drains them at shutdown.
 *
 * @packageDocumentation
 */
import { randomInt } from "node:crypto";
import type { ListedInstance } from "../backends/index.js";
import type { InstanceStatus } from "../http/index.js";
import { createPeerTask } from "../peers/index.js";
import { type Clock, createLogger, createSystemClock, type InstanceId } from "../shared/index.js";
import { createSupervisor, waitForAbort } from "../supervision/index.js";
import { createInstanceAnnouncer, type InstanceAnnouncer } from "./announcement.js";
import type { ResolvedInstanceOptions } from "./options.js";
import { createParts, type InstanceParts } from "./parts.js";

/** An instance whose ports are open; it serves once `run` is called. */
export interface Instance {
    readonly id: InstanceId;
    /** IP and port for callers, health checks and metrics. */
    readonly callerAddress: string;
    /** IP and port for other instances. */
    readonly peerAddress: string;
    /**
     * Runs the tasks of the instance until the signal is aborted, then drains: open requests complete, and records move
     * to other instances. Resolves when all tasks have ended. Rejects when a task fails more often than the supervisor
     * restarts it; when that happens before the signal is aborted, the instance doesn't drain.
     */
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Reads the status that `/status` returns. */
    readonly readStatus: () => InstanceStatus;
}

/** Dependencies of an instance; tests replace them to control time and randomness. */
export interface InstanceDependencies {
    /** Clock of all parts. @default the system's clock */
    readonly clock?: Clock;
    /** Seed of the random numbers, such as retry jitter. @default a random number */
    readonly seed?: number;
}

const seedLimit = 2 ** 31;
const debug = createLogger("instance");

/**
 * Opens the ports of an instance and, where `platform.announce` is set, registers it in the instance list.
 *
 * @param settings - settings with every default filled in
 * @param dependencies - replacements for tests
 * @returns the instance; its ports are open, but its tasks start only with `run`
 */
export async function openInstance(
    settings: ResolvedInstanceOptions,
    dependencies: InstanceDependencies = {},
): Promise<Instance> {
    const clock = dependencies.clock ?? createSystemClock();
    const { host, port } = splitAddress(settings.peerAddress);
    // the peer task needs membership to look up addresses, and membership needs the port that the peer task listens on
    let findAddress: (instance: InstanceId) => string | undefined = () => undefined;
    const peers = createPeerTask({
        self: settings.id,
        host,
        port,
        findAddress: instance => findAddress(instance),
        clock,
    });
    const peerAddress = await peers.listen();
    const self: ListedInstance = {
        kind: "instance",
        id: settings.id,
        address: peerAddress,
        failureDomain: settings.failureDomain,
        region: settings.region,
        state: "live",
    };
    const parts = createParts({ settings, self, peers, clock, seed: dependencies.seed ?? randomInt(seedLimit) });
    findAddress = name => parts.membership.membership.read().instances.find(({ id }) => id === name)?.address;
    const callerAddress = await parts.http.start();
    const announcer = settings.platform.announce
        ? createInstanceAnnouncer(settings.platform.instanceList)
        : undefined;
    await announcer?.publish(self);
    debug.info("listening", { instance: self.id, callerAddress, peerAddress });
    return {
        id: self.id,
        callerAddress,
        peerAddress,
        run: signal => runInstance({ settings, self, parts, clock, announcer }, signal),
        readStatus: parts.readStatus,
    };
}

/** Settings and parts that running and draining an instance need. */
interface InstanceContext {
    readonly settings: ResolvedInstanceOptions;
    readonly self: ListedInstance;
    readonly parts: InstanceParts;
    readonly clock: Clock;
    readonly announcer: InstanceAnnouncer | undefined;
}

async function runInstance(instance: InstanceContext, signal: AbortSignal): Promise<void> {
    const { parts, clock, self } = instance;
    const taskController = new AbortController();
    const supervisor = createSupervisor({ name: `instance ${self.id}`, children: parts.tasks, clock });
    const running = supervisor.run(taskController.signal);
    // rejects when a task fails more often than the supervisor restarts it; the instance then ends without draining
    await Promise.race([waitForAbort(signal), running]);
    await drainInstance(instance);
    taskController.abort();
    await running;
    debug.info("stopped", { instance: self.id });
}

async function drainInstance(instance: InstanceContext): Promise<void> {
    const { parts, clock, settings, self, announcer } = instance;
    debug.info("draining", { instance: self.id });
    parts.beginDrain();
    await announcer?.publish({ ...self, state: "leaving" });
    // the load balancer sends new requests until its next health check sees that the instance is not ready
    await clock.sleep(settings.drainMilliseconds);
    await Promise.all([parts.requests.service.drain(), parts.http.stop()]);
    // only a leave determines which instances hold the records next, so the handover comes after it
    await parts.membership.leave();
    await parts.requests.waitForHandover();
    await announcer?.withdraw(self);
}

function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
