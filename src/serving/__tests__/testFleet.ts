/**
 * A few whole instances on local ports, with a store in memory and servers that can end under a request or name a limit.
 */
import type { ServingConfig } from "../types.js";
import { sendRequest, type TestAnswer, type TestRequest } from "./testClient.js";
import { testConfig } from "./testCodec.js";
import { createInstanceLinks, createInstanceStore, type TestStoreCut } from "./testCuts.js";
import type { FaultPoint } from "./testFaults.js";
import { putTestConfiguration, startTestInstance, type TestInstance } from "./testInstance.js";
import {
    createServerLinks,
    findFreePorts,
    startServer,
    type TestArrival,
    type TestClose,
    type TestCut,
    type TestServer,
    type TestServerOptions,
} from "./testServers.js";
import { createMemoryStore, pause } from "./testStore.js";

export type { TestAnswer, TestRequest } from "./testClient.js";
export type { TestStoreCut } from "./testCuts.js";
export type { TestCut } from "./testServers.js";

/** Size of the fleet and behaviour of its servers. */
export interface TestFleetOptions extends TestServerOptions {
    readonly instances: number;
    readonly servers: number;
    /** Services of the configuration. @default those of `testConfig` */
    readonly services?: ServingConfig["services"];
    /** Has what is given to the first instance fail at times. @default nothing fails */
    readonly faults?: FaultPoint;
}

/** A running fleet. */
export interface TestFleet {
    /** Sends a request to an instance, counted from 0. */
    readonly send: (instance: number, request: TestRequest) => Promise<TestAnswer>;
    readonly arrivals: readonly TestArrival[];
    /** Connections that were closed before the end of the answer. */
    readonly closes: readonly TestClose[];
    /** Times at which servers ended. */
    readonly crashes: readonly number[];
    readonly servers: readonly TestServer[];
    /**
     * Cuts an instance off from all servers, or ends that: `refused` resets its connections to them, `frozen` lets them hang,
     * and `newRefused` lets them live on; new ones are refused in all of these.
     */
    readonly setCut: (instance: number, cut: TestCut) => Promise<void>;
    /** Cuts an instance off from the store, or holds it up in following the servers. */
    readonly setStoreCut: (instance: number, cut: TestStoreCut) => void;
    /** Cuts some instances off from all others, which still reach each other, or ends that. */
    readonly setPeersCut: (instances: readonly number[], isCut: boolean) => Promise<void>;
    /** Publishes a configuration with some fields changed, which has a higher version. */
    readonly changeConfiguration: (change: Partial<ServingConfig>) => void;
    /** Requests the evacuation of a failure domain, or withdraws it. */
    readonly setEvacuated: (domain: string, isEvacuated: boolean) => void;
    /** Stops an instance for good; resolves when all its connections are closed. */
    readonly stopInstance: (instance: number) => Promise<void>;
    /** Gives each shard another holder. */
    readonly moveShards: () => void;
    /** Ends all instances and starts them again; nothing of them is left but what is in the store. */
    readonly restartInstances: () => Promise<void>;
    /** Has writes and reads of what began streams fail, or ends that. */
    readonly setStoreAway: (isAway: boolean) => void;
    readonly stop: () => Promise<void>;
}

/**
 * Starts instances and servers.
 *
 * @param options - numbers and behaviour
 * @returns the fleet, ready for requests; the caller stops it
 */
export async function startTestFleet(options: TestFleetOptions): Promise<TestFleet> {
    const { services } = options;
    const store = createMemoryStore(4);
    const arrivals: TestArrival[] = [];
    const closes: TestClose[] = [];
    const crashes: number[] = [];
    const stopping = new AbortController();
    const servers = await Promise.all(
        Array.from(
            { length: options.servers },
            (unused, index) =>
                startServer(index, { options, store, arrivals, closes, crashes, stopping: stopping.signal }),
        ),
    );
    putTestConfiguration(store);
    let ports: readonly number[] = [];
    const links = await Promise.all(
        Array.from({ length: options.instances }, () => createServerLinks(servers.map(({ readPort }) => readPort))),
    );
    const formatName = (index: number): string => `front-${index}`;
    const instanceLinks = await createInstanceLinks(options.instances, formatName, index => ports[index * 4 + 2]);
    const stores = links.map((unused, index) =>
        createInstanceStore(store, record => instanceLinks.translate(index, record))
    );
    const startInstance = (index: number, isFirstStart: boolean): TestInstance => {
        const started = startTestInstance({
            name: formatName(index),
            ports: ports.slice(index * 4, index * 4 + 4),
            store: stores[index]!.store,
            isFirstStart,
            ...services && { readConfig: () => ({ ...testConfig, services }) },
            translateAddress: links[index]!.translate,
            ...options.faults && index === 0 ? { faults: options.faults } : {},
        });
        stopping.signal.addEventListener("abort", started.stop);
        return started;
    };
    const startAll = async (isFirstStart: boolean): Promise<readonly TestInstance[]> => {
        // ports of an earlier run may have been taken since
        ports = await findFreePorts(options.instances * 4);
        const started = Array.from(
            { length: options.instances },
            (unused, index) => startInstance(index, isFirstStart),
        );
        await pause(1_200);
        return started;
    };
    let running = await startAll(true);
    return {
        send: (instance, request) => sendRequest(ports[instance * 4]!, request),
        arrivals,
        closes,
        crashes,
        servers,
        changeConfiguration: change => putTestConfiguration(store, change),
        setEvacuated: (domain, isEvacuated) =>
            store.put("configuration", `evacuate/${domain}`, isEvacuated ? Buffer.from("{}") : undefined),
        moveShards: store.moveShards,
        setStoreAway: store.setAway,
        restartInstances: async () => {
            running.forEach(instance => instance.stop());
            await Promise.all(running.map(({ ended }) => ended));
            running = await startAll(false);
        },
        setCut: (instance, cut) => links[instance]!.setCut(cut),
        setStoreCut: (instance, cut) => stores[instance]!.setCut(cut),
        setPeersCut: async (instances, isCut) => {
            const others = links.map((unused, index) => index).filter(index => !instances.includes(index));
            await Promise.all(
                instances.flatMap(first => others.map(second => instanceLinks.setCut(first, second, isCut))),
            );
        },
        stopInstance: index => {
            running[index]!.stop();
            return running[index]!.ended;
        },
        stop: async () => {
            stopping.abort();
            servers.forEach(server => server.close());
            links.forEach(link => link.close());
            instanceLinks.close();
            await Promise.all(running.map(({ ended }) => ended));
        },
    };
}
