/**
 * Local platform in one process: a log service, an instance list, a weight store, engines and plain services.
 *
 * @packageDocumentation
 */
import type { ListedEngine, ListedService } from "../backends/index.js";
import type { Clock } from "../shared/index.js";
import { createEngineModel } from "./engineModel.js";
import { createEngineStandin, type EngineStandin } from "./engineStandin.js";
import { createInstanceListStandin, type InstanceListStandin } from "./instanceListStandin.js";
import { createLogStandin, type LogStandin } from "./logStandin.js";
import { createServiceStandin, type ServiceStandin } from "./serviceStandin.js";
import type { StandinsConfig } from "./standinsConfig.js";
import type { StandinServer } from "./standinServer.js";
import { createWeightStoreModel, type WeightStoreModel } from "./weightStoreModel.js";

/** Addresses of a running local platform, each as `HOST:PORT`. */
export interface StandinAddresses {
    readonly log: string;
    readonly instanceList: string;
    /** Address of each engine and service by its id. */
    readonly backendServers: Readonly<Record<string, string>>;
}

/** A local platform. */
export interface Standins {
    readonly log: LogStandin;
    readonly instanceList: InstanceListStandin;
    readonly weightStore: WeightStoreModel;
    readonly engines: ReadonlyMap<string, EngineStandin>;
    readonly services: ReadonlyMap<string, ServiceStandin>;
    /** Starts all servers and adds the backend servers to the instance list. */
    readonly start: () => Promise<StandinAddresses>;
    readonly stop: () => Promise<void>;
}

/**
 * Creates a local platform.
 *
 * @param config - settings of each service and backend server
 * @param clock - clock that all of them share
 * @returns the platform, not yet listening
 */
export function createStandins(config: StandinsConfig, clock: Clock): Standins {
    const log = createLogStandin({
        clock,
        appendsPerSecond: config.log.appendsPerSecond,
        retention: config.log.retentionMilliseconds,
        readWallClock: Date.now,
    });
    const instanceList = createInstanceListStandin({ clock, lag: config.instanceList.lagMilliseconds });
    const weightStore = createWeightStoreModel({
        loadsPerSecond: config.weightStore.loadsPerSecond,
        loadBurst: config.weightStore.loadBurst,
        loadsInFlight: config.weightStore.loadsInFlight,
        loadDuration: config.weightStore.loadDurationMilliseconds,
    });
    const engines = new Map(
        config.engines.map(engine => [engine.id, createConfiguredEngine(engine, weightStore, clock)]),
    );
    const services = new Map(config.services.map(({ id }) => [id, createServiceStandin({ id, clock })]));
    const servers: readonly StandinServer[] = [log, instanceList, ...engines.values(), ...services.values()];

    const start = async (): Promise<StandinAddresses> => {
        const addresses: Record<string, string> = {};
        for (const engine of config.engines) {
            const address = await engines.get(engine.id)!.start(engine.address);
            addresses[engine.id] = address;
            instanceList.putEntry(buildEngineEntry(engine, address));
        }
        for (const service of config.services) {
            const address = await services.get(service.id)!.start(service.address);
            addresses[service.id] = address;
            instanceList.putEntry({ ...buildCommonEntry(service, address), kind: "service", pool: service.pool });
        }
        return {
            log: await log.start(config.log.address),
            instanceList: await instanceList.start(config.instanceList.address),
            backendServers: addresses,
        };
    };
    const stop = async (): Promise<void> => {
        await Promise.all(servers.map(server => server.stop()));
    };
    return { log, instanceList, weightStore, engines, services, start, stop };
}

type EngineConfig = StandinsConfig["engines"][number];
type CommonServerConfig = Pick<EngineConfig, "id" | "failureDomain" | "region" | "state">;

function createConfiguredEngine(engine: EngineConfig, store: WeightStoreModel, clock: Clock): EngineStandin {
    const model = createEngineModel({
        id: engine.id,
        adapterSlots: engine.adapterSlots,
        batchLimit: engine.batchLimit,
        fencing: engine.fencing,
        store,
        stepBase: engine.stepMilliseconds,
        reportLag: engine.reportLagMilliseconds,
        naturalTokens: engine.answerTokens,
    });
    return createEngineStandin({ model, baseModel: engine.baseModel, clock });
}

function buildCommonEntry(entry: CommonServerConfig, address: string): Omit<ListedService, "kind" | "pool"> {
    const { id, failureDomain, region, state } = entry;
    return { id, address, failureDomain, region, state };
}

function buildEngineEntry(engine: EngineConfig, address: string): ListedEngine {
    const { baseModel, pool, adapterSlots, batchLimit, fencing } = engine;
    return { ...buildCommonEntry(engine, address), kind: "engine", baseModel, pool, adapterSlots, batchLimit, fencing };
}
