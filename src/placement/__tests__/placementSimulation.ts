import type { ListedEngine } from "../../backends/index.js";
import { createEngineFleet } from "../../bench/placement/engineFleet.js";
import { createFleetBudget } from "../../bench/placement/fleetBudget.js";
import { createFleetPlatform } from "../../bench/placement/fleetPlatform.js";
import { createPlacementFleet, type PlaceAnswer } from "../../bench/placement/placementFleet.js";
import type { ResolvedSettings } from "../../config/index.js";
import { createWeightStoreModel } from "../../standins/index.js";
import { createHistory } from "../../testing/index.js";
import type { Pin, PlacementMessage, PlacementTimes } from "../index.js";

// short times, so that leases expire and requests end many times in one simulation
export const shortTimes: PlacementTimes = {
    leaseDuration: 400,
    renewInterval: 100,
    leaseIdleTimeout: 300,
    maximumRequestDuration: 800,
    tableInterval: 150,
    fullTableInterval: 1_000,
    tableTimeout: 600,
    reportInterval: 120,
    maximumReportLag: 150,
    retryInterval: 60,
    collectTimeout: 80,
    quorumTimeout: 300,
    maximumOrderDelay: 60_000,
    demandInterval: 60,
    demandTimeout: 500,
};

export interface SimulationOptions {
    readonly seed: number;
    readonly duration: number;
    /** Fraction of the orders that reach their engine late. */
    readonly lateOrderRate: number;
    /** Probability that a message is lost, that it is duplicated, and that the result of an order is lost. */
    readonly lossRate: number;
    /** Mean time between two faults. */
    readonly meanFaultInterval: number;
}

const storeLimits = { loadsPerSecond: 12, loadBurst: 1, loadsInFlight: 3 };
const platformTimes = { leaseDuration: 300, renewInterval: 80 };
const loadDuration = 300;

/**
 * Runs several instances and engines in virtual time, with random requests and faults.
 *
 * @param options - seed, duration and fault rates
 * @returns counts of what happened, and every violation that the engines recorded
 */
export function runPlacementSimulation(options: SimulationOptions) {
    const history = createHistory<PlacementMessage>({
        seed: options.seed,
        lossRate: options.lossRate,
        duplicateRate: options.lossRate,
    });
    const { random } = history;
    const instances = Array.from({ length: random.between(2, 8) }, (unused, index) => `i${index + 1}`);
    const engineIds = Array.from({ length: random.between(2, 4) }, (unused, index) => `e${index + 1}`);
    const adapters = Array.from({ length: random.between(6, 12) }, (unused, index) => `a${index + 1}`);
    const slots = random.between(2, 3);
    const listed = engineIds.map((id): ListedEngine => ({
        kind: "engine",
        id,
        address: id,
        failureDomain: "d1",
        region: "r1",
        state: "live",
        baseModel: "base",
        pool: "p",
        adapterSlots: slots,
        batchLimit: 4,
        fencing: random.chance(0.5) ? "checked" : "ignored",
    }));
    const store = createWeightStoreModel({ ...storeLimits, loadDuration });
    const engines = createEngineFleet(
        history,
        store,
        listed.map(({ id, adapterSlots, batchLimit, fencing }) => ({
            id,
            adapterSlots,
            batchLimit,
            fencing,
            naturalTokens: random.between(2, 20),
            writeText: true,
            reportLag: 100,
        })),
    );
    const versions = new Map(adapters.map(adapter => [adapter, "1"]));
    const createSettings = (): ResolvedSettings => ({
        appliedOffset: 0,
        accounts: new Map(),
        keys: new Map(),
        routes: new Map(),
        adapters: new Map([...versions].map(([id, version]) => [id, { id, version, baseModel: "base" }])),
        weightStore: storeLimits,
    });
    let settings = createSettings();
    const platform = createFleetPlatform(history, engineIds, platformTimes);
    const fleet = createPlacementFleet({
        history,
        platform,
        budget: createFleetBudget(history, storeLimits),
        engines,
        listed,
        readSettings: () => settings,
        times: shortTimes,
        faults: {
            lateRate: options.lateOrderRate,
            longestDelay: 3_000,
            lossRate: options.lossRate,
            answerTimeout: 500,
        },
        tickInterval: 20,
        renewInterval: platformTimes.renewInterval,
        isConnected: () => true,
    });
    const counts = { completed: 0, refused: 0, mismatched: 0 };
    let requests = 0;
    let restarts = 0;

    // the pin is checked some time before the request is sent, since an instance may be paused in between
    const startRequest = (node: string, requestId: string, adapter: string, pin: Pin): void =>
        history.scheduleOn(node, random.between(0, 3), () => {
            if (!pin.isValid(history.now())) {
                pin.release("notUsed");
                return;
            }
            counts.mismatched += pin.adapter?.adapter === adapter ? 0 : 1;
            const checkedAt = history.now();
            const release = (outcome: "completed" | "cancelled"): void =>
                history.scheduleOn(node, random.between(1, 3), () => pin.release(outcome));
            const delay = random.chance(options.lateOrderRate) ? random.between(1, 400) : random.between(1, 3);
            history.schedule(delay, () => {
                const result = engines.submit(pin.engine, {
                    requestId,
                    adapter: pin.adapter,
                    incarnation: pin.incarnation,
                    prompt: { kind: "text", text: requestId },
                    maximumOutputTokens: 100,
                    priority: 0,
                    resumeAfterTokens: 0,
                }, event => {
                    if (event.kind !== "token") {
                        counts.completed += event.kind === "end" ? 1 : 0;
                        release("completed");
                    }
                });
                if (!result.ok) {
                    release("cancelled");
                }
                history.schedule(checkedAt + shortTimes.maximumRequestDuration - history.now(), () => {
                    engines.cancel(pin.engine, requestId);
                    release("cancelled");
                });
            });
        });
    const sendRequest = (): void => {
        const requestId = `r${++requests}`;
        const node = random.choose(instances);
        const adapter = adapters[Math.floor(random.next() ** 2 * adapters.length)]!;
        fleet.acquire(node, {
            requestId,
            account: "a",
            requestClass: random.chance(0.7) ? "interactive" : "overnight",
            pool: "p",
            baseModel: "base",
            adapter: { adapter, version: versions.get(adapter)! },
            tokens: 10,
            prefixHash: adapter,
            excludedEngines: [],
            deadline: history.now() + 2_000,
        }, (answer: PlaceAnswer) => {
            if (answer.ok) {
                startRequest(node, requestId, adapter, answer.value);
            }
            else {
                counts.refused++;
            }
        });
        history.schedule(random.between(1, 60), sendRequest);
    };
    const restartInstance = (): void => {
        const index = random.between(0, instances.length - 1);
        fleet.crash(instances[index]!);
        const replacement = `${instances[index]!.split("-")[0]}-${++restarts}`;
        instances[index] = replacement;
        history.schedule(random.between(1, 500), () => fleet.start(replacement));
    };
    const updateVersion = (): void => {
        const adapter = random.choose(adapters);
        versions.set(adapter, String(Number(versions.get(adapter)) + 1));
        settings = createSettings();
    };
    const faults: readonly (() => void)[] = [
        () => history.pause(random.choose(instances), random.between(10, 1_500)),
        () => history.pause(random.choose(instances), random.between(200, 700)),
        () => platform.move(random.choose(engineIds)),
        () => engines.restart(random.choose(engineIds)),
        restartInstance,
        updateVersion,
        () => {
            const left = instances.slice(0, random.between(1, instances.length - 1));
            history.cut(left, instances.filter(name => !left.includes(name)), random.between(50, 1_000));
        },
        () =>
            engines.find(random.choose(engineIds))
                .setFault({ kind: "failLoads", adapter: random.choose(adapters), times: random.between(1, 3) }),
    ];
    const applyRandomFault = (): void => {
        random.choose(faults)();
        history.schedule(random.between(1, 2 * options.meanFaultInterval), applyRandomFault);
    };
    const advancePlatform = (): void => {
        platform.advance();
        history.schedule(20, advancePlatform);
    };
    instances.forEach(fleet.start);
    advancePlatform();
    history.schedule(100, sendRequest);
    history.schedule(500, applyRandomFault);
    history.run(options.duration);

    const records = engines.list().map(engine => engine.record);
    const { loads } = store.read();
    return {
        ...counts,
        requests,
        evictions: records.reduce((sum, record) => sum + record.evictions.length, 0),
        evictedInUse: records.flatMap(record => record.evictions.filter(eviction => eviction.uses > 0)),
        lost: records.flatMap(record => record.lost),
        wrong: records.flatMap(record => [
            ...record.wrongTokens,
            ...record.starts.filter(start => start.asked !== start.ranOn),
        ]),
        loads: loads.length,
        peakLoadsPerSecond: countPeakPerSecond(loads.map(load => load.askedAt)),
        allowedLoadsPerSecond: storeLimits.loadsPerSecond + storeLimits.loadBurst,
        peakLoadsInFlight: store.read().peakInFlight,
        allowedLoadsInFlight: storeLimits.loadsInFlight,
    };
}

function countPeakPerSecond(times: readonly number[]): number {
    return Math.max(0, ...times.map(from => times.filter(time => time >= from && time < from + 1_000).length));
}
