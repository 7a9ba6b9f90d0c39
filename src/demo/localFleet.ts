/**
 * Runs several instances, with local stand-ins for the platform and the backend servers, in one process on loopback
 * addresses.
 *
 * @packageDocumentation
 */
import { createLogHttpClient } from "../backends/index.js";
import {
    type ChangeOrigin,
    createChangeId,
    createPublisher,
    diffSettings,
    grantKey,
    type Publisher,
    type PublishOutcome,
    type SettingsDocument,
    type SettingsState,
    withdrawKey,
} from "../config/index.js";
import { type Instance, openInstance, resolveInstanceOptions } from "../instance/index.js";
import { type Clock, createSystemClock, type Milliseconds } from "../shared/index.js";
import { createStandins, type StandinAddresses, type Standins, type StandinsConfig } from "../standins/index.js";

/** Settings of a local fleet. */
export interface LocalFleetOptions {
    /** Settings of the stand-ins for the platform and the backend servers. */
    readonly platform: StandinsConfig;
    /** Names of the instances; each gets a failure domain of its own. */
    readonly instances: readonly string[];
    /** Time between reporting "not ready" and closing the port, in milliseconds. @default 200 */
    readonly drainMilliseconds?: Milliseconds;
}

/** A running local platform and its instances. */
export interface LocalFleet {
    readonly standins: Standins;
    readonly publisher: Publisher;
    /** Finds a running instance; throws when none has that name. */
    readonly findInstance: (name: string) => Instance;
    /** Publishes the settings that `edit` returns; the outcome is `notPublished` when they equal the current ones. */
    readonly publish: (edit: (current: SettingsState) => SettingsDocument) => Promise<PublishOutcome>;
    /** Grants a key to a client account and returns the key; rejects when the change isn't known to be accepted. */
    readonly grantKey: (account: string, name: string) => Promise<string>;
    /** Withdraws a key by the name of its node; rejects when there is no such key. */
    readonly withdrawKey: (name: string) => Promise<PublishOutcome>;
    /** Starts an instance; it becomes ready some time after the call resolves. */
    readonly startInstance: (name: string) => Promise<Instance>;
    /** Drains an instance and resolves once it has ended; does nothing when it isn't running. */
    readonly stopInstance: (name: string) => Promise<void>;
    /** Resolves once every instance is ready and has applied the log up to the offset; rejects after 20 s. */
    readonly waitUntilApplied: (offset: number) => Promise<void>;
    /** Drains all instances, then stops the platform. */
    readonly stop: () => Promise<void>;
}

interface RunningInstance {
    readonly instance: Instance;
    readonly shutdownController: AbortController;
    readonly ended: Promise<void>;
}

const author = "operator";
const pollIntervalMilliseconds = 20;
const readyTimeoutMilliseconds = 20_000;
const defaultDrainMilliseconds = 200;

/**
 * Starts a local platform and its instances.
 *
 * @param options - settings of the platform and names of the instances
 * @returns the fleet; its instances become ready only after settings are published
 */
export async function startLocalFleet(options: LocalFleetOptions): Promise<LocalFleet> {
    const clock = createSystemClock();
    const standins = createStandins(options.platform, clock);
    const addresses = await standins.start();
    const log = createLogHttpClient({ address: addresses.log });
    const publisher = createPublisher({ log, clock });
    const running = new Map<string, RunningInstance>();
    const drainMilliseconds = options.drainMilliseconds ?? defaultDrainMilliseconds;

    const startInstance = async (name: string): Promise<Instance> => {
        const started = await runLocalInstance(name, addresses, drainMilliseconds);
        running.set(name, started);
        return started.instance;
    };
    const stopInstance = async (name: string): Promise<void> => {
        const stopped = running.get(name);
        stopped?.shutdownController.abort();
        await stopped?.ended;
        running.delete(name);
    };
    const findInstance = (name: string): Instance => {
        const found = running.get(name);
        if (!found) {
            throw new Error(
                `no instance named ${name} is running; running instances: ${[...running.keys()].join(", ")}`,
            );
        }
        return found.instance;
    };
    for (const name of options.instances) {
        await startInstance(name);
    }
    return {
        standins,
        publisher,
        findInstance,
        publish: edit => publishDocument(publisher, edit),
        grantKey: (account, name) => publishKey(publisher, account, name),
        withdrawKey: name => publishWithdrawal(publisher, name),
        startInstance,
        stopInstance,
        waitUntilApplied: offset => waitForOffset([...running.values()].map(({ instance }) => instance), offset, clock),
        stop: async () => {
            await Promise.all([...running.keys()].map(stopInstance));
            await log.close();
            await standins.stop();
        },
    };
}

async function runLocalInstance(
    name: string,
    addresses: StandinAddresses,
    drainMilliseconds: Milliseconds,
): Promise<RunningInstance> {
    const settings = resolveInstanceOptions({
        id: name,
        address: "127.0.0.1:0",
        peerAddress: "127.0.0.1:0",
        failureDomain: `domain-of-${name}`,
        region: "local",
        platform: { log: addresses.log, instanceList: addresses.instanceList, announce: true },
        drainMilliseconds,
    }, () => name);
    const instance = await openInstance(settings);
    const shutdownController = new AbortController();
    return { instance, shutdownController: shutdownController, ended: instance.run(shutdownController.signal) };
}

function createOrigin(): ChangeOrigin {
    return { changeId: createChangeId(), author };
}

async function readState(publisher: Publisher): Promise<SettingsState> {
    const state = await publisher.readState();
    if (!state.ok) {
        throw new Error(`can't read the settings tree (${state.error.kind}); check that the log stand-in is running`);
    }
    return state.value;
}

async function publishDocument(
    publisher: Publisher,
    edit: (current: SettingsState) => SettingsDocument,
): Promise<PublishOutcome> {
    const current = await readState(publisher);
    const change = diffSettings(current, edit(current), createOrigin());
    return change ? publisher.publish(change) : { kind: "notPublished", detail: "the settings tree is unchanged" };
}

async function publishKey(publisher: Publisher, account: string, name: string): Promise<string> {
    const grant = grantKey(await readState(publisher), createOrigin(), account, name);
    if (!grant.ok) {
        throw new Error(
            `can't grant a key to ${account} (${grant.error.kind}); check the account and the key's name`,
        );
    }
    const outcome = await publisher.publish(grant.value.change);
    if (outcome.kind !== "accepted") {
        throw new Error(`the key of ${account} is not known to be accepted: its change is ${outcome.kind}`);
    }
    return grant.value.key;
}

async function publishWithdrawal(publisher: Publisher, name: string): Promise<PublishOutcome> {
    const change = withdrawKey(await readState(publisher), createOrigin(), name);
    if (!change.ok) {
        throw new Error(`can't withdraw the key ${name} (${change.error.kind}); check the name of its node`);
    }
    return publisher.publish(change.value);
}

async function waitForOffset(instances: readonly Instance[], offset: number, clock: Clock): Promise<void> {
    const deadline = clock.now() + readyTimeoutMilliseconds;
    const listLagging = (): readonly string[] =>
        instances
            .map(instance => instance.readStatus())
            .filter(status => !status.ready || status.appliedOffset < offset)
            .map(status => `${status.instance} (${status.reasons.join("; ") || `at ${status.appliedOffset}`})`);
    while (listLagging().length > 0) {
        if (clock.now() > deadline) {
            throw new Error(`instances not ready, or behind offset ${offset} of the log: ${listLagging().join(", ")}`);
        }
        await clock.sleep(pollIntervalMilliseconds);
    }
}
