/**
 * Environment of a trial: the local platform, the daemons, the published settings and the client keys.
 *
 * @packageDocumentation
 */
import { request } from "undici";
import { createLogHttpClient } from "../backends/index.js";
import {
    createChangeId,
    createNodesChange,
    createPublisher,
    grantKey,
    type Publisher,
    type SettingsNode,
    withdrawKey,
} from "../config/index.js";
import { createSystemClock, type Milliseconds, type SeededRandom } from "../shared/index.js";
import { createStandins, standinsConfigSchema } from "../standins/index.js";
import type { CallersOptions, TrialKey } from "./callers.js";
import type { TrialEvidence } from "./checks.js";
import { createDaemons, type TrialDaemons } from "./daemons.js";
import type { FaultContext } from "./faults.js";

/** The newest configuration change that an instance has applied, as an offset in the log. */
export interface SettingsStatus {
    readonly instance: string;
    readonly appliedOffset: number;
}

/** A running environment of a trial. */
export interface TrialEnvironment {
    readonly daemons: TrialDaemons;
    readonly faults: FaultContext;
    readonly callers: Omit<CallersOptions, "random" | "callers">;
    readonly evidence: () => Omit<TrialEvidence, "calls">;
    readonly readSettingsStatuses: () => Promise<readonly SettingsStatus[]>;
    /** Stops the daemons and the platform. */
    readonly stop: () => Promise<void>;
}

const adapters = ["adapter-0", "adapter-1", "adapter-2", "adapter-3", "adapter-4", "adapter-5"];
const limits = new Map([
    ["springs", { rate: 600, burst: 3_000 }],
    ["wires", { rate: 60, burst: 240 }],
]);
const maximumPublishAttempts = 20;
const publishPauseMilliseconds = 500;
const author = "trial";

/**
 * Starts the platform and the daemons, and publishes the settings and keys.
 *
 * @param instances - number of daemons to start
 * @param random - source of random choices of adapters and keys
 * @returns the environment; its owner must call `stop`
 */
export async function createTrialEnvironment(instances: number, random: SeededRandom): Promise<TrialEnvironment> {
    const clock = createSystemClock();
    const standins = createStandins(createPlatformConfig(), clock);
    const addresses = await standins.start();
    const log = createLogHttpClient({ address: addresses.log });
    const publisher = createPublisher({ log, clock });
    await publishNodes(publisher, createInitialNodes());
    const keys: TrialKey[] = [];
    for (const account of [...limits.keys(), ...limits.keys()]) {
        keys.push(await publishKey(publisher, account, `${account}-key-${keys.length}`));
    }
    const daemons = await createDaemons(standins, addresses);
    await Promise.all(
        Array.from({ length: instances }, (unused, index) => daemons.start(`domain-${index % 3}`)),
    );
    const versions = new Map(adapters.map(adapter => [adapter, ["v0"]]));
    const withdrawnAt = new Map<string, Milliseconds>();
    const leavingPeriods: { engine: string; from: Milliseconds; to: Milliseconds; }[] = [];
    const listOutages: { from: Milliseconds; to: Milliseconds; }[] = [];
    const grantedKeys = [...keys];

    const setVersion = async (adapter: string): Promise<void> => {
        const known = versions.get(adapter)!;
        const version = `v${known.length}`;
        known.push(version);
        await publishNodes(publisher, new Map([[adapter, createAdapterNode(version)]]));
    };
    return {
        daemons,
        faults: {
            standins,
            daemons,
            random,
            changeVersion: () => setVersion(random.choose(adapters)),
            racePublishes: async () => {
                const adapter = random.choose(adapters);
                await Promise.all([setVersion(adapter), setVersion(adapter)]);
            },
            withdrawKey: async () => {
                const index = random.between(0, keys.length - 1);
                const { name, account } = keys[index]!;
                keys[index] = await publishKey(publisher, account, `${account}-key-${grantedKeys.length}`);
                grantedKeys.push(keys[index]!);
                await publishWithdrawal(publisher, name);
                withdrawnAt.set(name, clock.now());
            },
            recordLeaving: (engine, from, to) => void leavingPeriods.push({ engine, from, to }),
            recordListOutage: (from, to) => void listOutages.push({ from, to }),
        },
        callers: {
            listAddresses: () => daemons.listServing().map(daemon => daemon.callerAddress),
            // withdrawn keys are included, so that callers try them after the withdrawal
            listKeys: () => grantedKeys,
            adapters,
        },
        evidence: () => ({
            standins,
            keys: grantedKeys,
            versions,
            withdrawnAt,
            leavingPeriods: leavingPeriods,
            listOutages,
            limits,
        }),
        readSettingsStatuses: () => Promise.all(daemons.list().map(daemon => readSettingsStatus(daemon.callerAddress))),
        stop: async () => {
            await daemons.stopAll();
            await log.close();
            await standins.stop();
        },
    };
}

function createPlatformConfig(): ReturnType<typeof standinsConfigSchema.parse> {
    const engine = { baseModel: "base", pool: "models", adapterSlots: 3, answerTokens: 24, stepMilliseconds: 10 };
    return standinsConfigSchema.parse({
        weightStore: { loadsPerSecond: 10, loadBurst: 2, loadsInFlight: 8 },
        engines: ["checked", "ignored", "checked"].map((fencing, index) => ({
            id: `engine-${index}`,
            ...engine,
            fencing,
        })),
        services: [0, 1].map(index => ({ id: `orders-${index}`, pool: "orders" })),
    });
}

function createAdapterNode(version: string): SettingsNode {
    return { kind: "adapter", baseModel: "base", version };
}

function createInitialNodes(): ReadonlyMap<string, SettingsNode> {
    const shared = {
        access: "keyed",
        requestClass: "interactive",
        deadlineMilliseconds: 20_000,
        retryBudget: 0.2,
    } as const;
    return new Map<string, SettingsNode>([
        ...[...limits].map(([account, tokens]) =>
            [account, { kind: "clientAccount", limits: tokens, weight: 1 }] as [string, SettingsNode]
        ),
        ...adapters.map(adapter => [adapter, createAdapterNode("v0")] as [string, SettingsNode]),
        ...adapters.map(adapter =>
            [`route-${adapter}`, {
                kind: "route",
                serves: "model",
                baseModel: "base",
                pool: "models",
                adapter,
                maximumOutputTokens: 24,
                ...shared,
            }] as [string, SettingsNode]
        ),
        ["orders", { kind: "route", serves: "service", pool: "orders", repeat: "once", costTokens: 1, ...shared }],
        ["stock", { kind: "route", serves: "service", pool: "orders", repeat: "idempotent", costTokens: 1, ...shared }],
        ["weights", { kind: "weightStore", loadsPerSecond: 10, loadBurst: 2, loadsInFlight: 8 }],
    ]);
}

async function publishNodes(publisher: Publisher, nodes: ReadonlyMap<string, SettingsNode | undefined>): Promise<void> {
    await retryUntilDone(async () => {
        const state = await publisher.readState();
        return state.ok
            && (await publisher.publish(createNodesChange(state.value, createOrigin(), nodes))).kind === "accepted";
    });
}

async function publishKey(publisher: Publisher, account: string, name: string): Promise<TrialKey> {
    let key = "";
    await retryUntilDone(async () => {
        const state = await publisher.readState();
        const grant = state.ok ? grantKey(state.value, createOrigin(), account, name) : undefined;
        if (!grant?.ok) {
            // the name is taken if an earlier attempt took effect but its response was lost; its key is then valid
            return grant?.error.kind === "nameTaken";
        }
        key = grant.value.key;
        return (await publisher.publish(grant.value.change)).kind === "accepted";
    });
    return { name, account, key };
}

async function publishWithdrawal(publisher: Publisher, name: string): Promise<void> {
    await retryUntilDone(async () => {
        const state = await publisher.readState();
        const change = state.ok ? withdrawKey(state.value, createOrigin(), name) : undefined;
        return change?.ok
            ? (await publisher.publish(change.value)).kind === "accepted"
            : change?.error.kind === "unknownKey";
    });
}

async function retryUntilDone(attempt: () => Promise<boolean>): Promise<void> {
    for (let tries = 0; tries < maximumPublishAttempts; tries++) {
        if (await attempt()) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, publishPauseMilliseconds));
    }
    throw new Error(`the change was not published in ${maximumPublishAttempts} attempts; check the log stand-in`);
}

function createOrigin(): { readonly changeId: string; readonly author: string; } {
    return { changeId: createChangeId(), author };
}

async function readSettingsStatus(address: string): Promise<SettingsStatus> {
    const answer = await request(`http://${address}/status`);
    const { instance, appliedOffset } = await answer.body.json() as SettingsStatus;
    return { instance, appliedOffset };
}
