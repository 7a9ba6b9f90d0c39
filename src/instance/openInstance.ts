/**
 * Opens an instance: its ports, its parts, and the supervisor tree that runs them.
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

/** An instance whose ports are open. */
export interface Instance {
    readonly id: InstanceId;
    /** IP and port for callers, health checks and metrics. */
    readonly callerAddress: string;
    /** IP and port for other instances. */
    readonly peerAddress: string;
    /** Serves until the signal is aborted; then drains and resolves. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    readonly readStatus: () => InstanceStatus;
}

/** What a test replaces. */
export interface InstanceDependencies {
    /** @default the system's clock */
    readonly clock?: Clock;
    /** Seed of jitter. @default drawn at random */
    readonly seed?: number;
}

const seedLimit = 2 ** 31;
const debug = createLogger("instance");

/**
 * Opens an instance.
 *
 * @param settings - its settings
 * @param dependencies - what a test replaces
 * @returns the instance, listening but not yet serving
 */
export async function openInstance(
    settings: ResolvedInstanceOptions,
    dependencies: InstanceDependencies = {},
): Promise<Instance> {
    const clock = dependencies.clock ?? createSystemClock();
    const { host, port } = splitAddress(settings.peerAddress);
    // peers are found through membership, which is made once this instance's own address is known
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
        run: signal => runInstance({ settings, self, parts, clock, announcer: announcer }, signal),
        readStatus: parts.readStatus,
    };
}

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
    // the tree ends before the signal only when a part fails too often
    await Promise.race([waitForAbort(signal), running]);
    await drainInstance(instance);
    taskController.abort();
    await running;
    debug.info("stopped", { instance: self.id });
}

async function drainInstance(instance: InstanceContext): Promise<void> {
    const { parts, clock, settings, self, announcer: announcer } = instance;
    debug.info("draining", { instance: self.id });
    parts.beginDrain();
    await announcer?.publish({ ...self, state: "leaving" });
    // callers still arrive until the balancer has noticed
    await clock.sleep(settings.drainMilliseconds);
    await Promise.all([parts.requests.service.drain(), parts.http.stop()]);
    await parts.membership.leave();
    await parts.requests.moveRecords();
    await announcer?.withdraw(self);
}

function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
