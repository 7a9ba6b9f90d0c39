/**
 * One whole instance on local ports, with the store in memory.
 */
import type { EngineControl } from "../../adapters/types.js";
import { decodeOperatorDeletion, decodeOperatorRecord } from "../../platform/operatorRecords.js";
import { createSystemClock, wrapError, wrapValue } from "../../shared/index.js";
import { createServingInstance } from "../servingInstance.js";
import type { BackendServer, HeaderCodec, RecordCodec, ServingConfig } from "../types.js";
import { testCodec, testConfig } from "./testCodec.js";
import { createFaultPoint, type FaultPoint } from "./testFaults.js";
import { testHost } from "./testHost.js";
import type { MemoryStore } from "./testStore.js";

/** Settings of an instance. */
export interface TestInstanceOptions {
    readonly name: string;
    /** Ports for clients, the readiness probe, other instances and metrics. */
    readonly ports: readonly number[];
    readonly store: MemoryStore;
    /** Whether no server has served before. @default true */
    readonly isFirstStart?: boolean;
    /** Returns the address at which this instance reaches a server that is listed with another one. */
    readonly translateAddress: (address: string) => string;
    /** Has what is given to the instance fail at times. @default nothing fails */
    readonly faults?: FaultPoint;
    /** @default "127.0.0.1" */
    readonly host?: string;
    /** Time from the signal to stop until the process ends, in milliseconds. @default 1000 */
    readonly grace?: number;
    /** Returns the configuration that the record in the store stands for. @default `testConfig` */
    readonly readConfig?: () => ServingConfig;
    /** @default `testCodec` */
    readonly headers?: HeaderCodec;
}

/** A running instance. */
export interface TestInstance {
    readonly stop: () => void;
    /** Resolves when all its connections are closed. */
    readonly ended: Promise<void>;
}

/**
 * Writes the configuration of the tests to the store.
 *
 * @param store - the store
 * @param change - fields that differ, with a higher version
 */
export function putTestConfiguration(store: MemoryStore, change: Partial<ServingConfig> = {}): void {
    store.put("configuration", "config", Buffer.from(JSON.stringify(change)));
}

/**
 * Starts an instance.
 *
 * @param options - name, ports and store
 * @returns the instance
 */
export function startTestInstance(options: TestInstanceOptions): TestInstance {
    const { name, ports, store, translateAddress, isFirstStart = true, faults = createFaultPoint(1) } = options;
    const [clientPort, readyPort, peerPort, metricsPort] = ports;
    const instance = createServingInstance({
        instanceName: name,
        host: options.host ?? testHost,
        failureDomain: "a",
        region: "eu",
        regionsByDomain: new Map([["a", "eu"], ["b", "us"]]),
        cores: 1,
        clientPort: clientPort!,
        readyPort: readyPort!,
        peerPort: peerPort!,
        metricsPort: metricsPort!,
        shardCount: 4,
        shardTtl: 1_500,
        orderLease: 3_000,
        areOrdersFenced: true,
        revocationBound: 5_000,
        versionBound: 5_000,
        serverHeartbeat: 1_200,
        grace: options.grace ?? 1_000,
        isFirstStart,
        quota: { window: 8_000, excessRatio: 0.1, excessUnits: 17_000 },
        cold: { over: 1.5, slack: 5 },
        retry: { window: 10_000, ratio: 0.2, slack: 50 },
        clock: faults.wrap("clock", createSystemClock()),
    }, {
        log: faults.wrap("log", store),
        shards: faults.wrap("shards", store.group),
        streams: faults.wrap("streams", store.streams),
        control: faults.wrap<EngineControl>("control", {
            order: async () => ({ kind: "unreachable" }),
            report: async () => wrapError({ kind: "unanswered", detail: "no engine" }),
        }),
        headers: faults.wrap("headers", options.headers ?? testCodec),
        records: faults.wrap<RecordCodec>("records", {
            decodeOperatorDeletion,
            decodeOperatorRecord: (key, value) => {
                if (key !== "config") {
                    return decodeOperatorRecord(key, value);
                }
                const change = JSON.parse(Buffer.from(value).toString()) as Partial<ServingConfig>;
                const config = options.readConfig?.() ?? { ...testConfig, ...change };
                return wrapValue({ kind: "configuration", config });
            },
            decodeServerEntry: (id, value) => {
                const entry = JSON.parse(Buffer.from(value).toString()) as BackendServer;
                return wrapValue({ ...entry, address: translateAddress(entry.address) });
            },
        }),
    });
    const leaving = new AbortController();
    return { stop: () => leaving.abort(), ended: instance.run(leaving.signal) };
}
