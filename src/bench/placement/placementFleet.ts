/**
 * Instances with their placement decisions on a history, before engine models; it carries out what the decisions ask
 * for, with orders that may be late or lost.
 *
 * @packageDocumentation
 */
import type { ListedEngine, OrderError } from "../../backends/index.js";
import type { ResolvedSettings } from "../../config/index.js";
import { createFairQueue } from "../../fairness/index.js";
import {
    type CoreEffect,
    createPlacementCore,
    formatAdapterVersionKey,
    type LoadName,
    type Pin,
    type PlacementCore,
    type PlacementError,
    type PlacementMessage,
    type PlacementRequest,
    type PlacementTimes,
} from "../../placement/index.js";
import { type InstanceId, type Milliseconds, type Result, wrapError } from "../../shared/index.js";
import type { History } from "../../testing/index.js";
import type { EngineFleet } from "./engineFleet.js";
import type { FleetBudget } from "./fleetBudget.js";
import type { FleetPlatform } from "./fleetPlatform.js";

/** Faults of orders and reports. */
export interface OrderFaults {
    /** Part of the orders that reach the engine late. */
    readonly lateRate: number;
    readonly longestDelay: Milliseconds;
    /** Part of the answers that are lost. */
    readonly lossRate: number;
    readonly answerTimeout: Milliseconds;
}

/** Settings of the instances. */
export interface PlacementFleetOptions {
    readonly history: History<PlacementMessage>;
    readonly platform: FleetPlatform;
    readonly budget: FleetBudget;
    readonly engines: EngineFleet;
    readonly listed: readonly ListedEngine[];
    readonly readSettings: () => ResolvedSettings;
    readonly times: PlacementTimes;
    readonly faults: OrderFaults;
    readonly tickInterval: Milliseconds;
    /** How often an instance renews its leases at the platform. */
    readonly renewInterval: Milliseconds;
    /** Whether an instance can reach the platform. */
    readonly isConnected: (instance: InstanceId) => boolean;
    /** Told of each message between two instances. */
    readonly recordMessage?: (message: PlacementMessage) => void;
}

/** Answer to a request for a place. */
export type PlaceAnswer = Result<Pin, PlacementError>;

/** Running instances. */
export interface PlacementFleet {
    readonly start: (instance: InstanceId) => void;
    readonly crash: (instance: InstanceId) => void;
    readonly acquire: (instance: InstanceId, request: PlacementRequest, settle: (answer: PlaceAnswer) => void) => void;
    readonly find: (instance: InstanceId) => PlacementCore | undefined;
}

type OrderEffect = Extract<CoreEffect, { kind: "load" | "unload"; }>;

const shortestOrderDelayMilliseconds = 1;
const usualOrderDelayMilliseconds = 3;

/**
 * Creates instances; none runs yet.
 *
 * @param options - what they run on
 * @returns the instances
 */
export function createPlacementFleet(options: PlacementFleetOptions): PlacementFleet {
    const { history, platform, engines, budget, faults, times } = options;
    const cores = new Map<InstanceId, PlacementCore>();
    const orders = new Map<InstanceId, LoadName[]>();
    const settles = new Map<string, (answer: PlaceAnswer) => void>();
    let generations = 0;

    const drawDelay = (): Milliseconds =>
        history.random.chance(faults.lateRate)
            ? history.random.between(usualOrderDelayMilliseconds, faults.longestDelay)
            : history.random.between(shortestOrderDelayMilliseconds, usualOrderDelayMilliseconds);
    const runOn = (
        node: InstanceId,
        delay: Milliseconds,
        decide: (core: PlacementCore) => readonly CoreEffect[],
    ): void =>
        history.scheduleOn(node, delay, () => {
            const core = cores.get(node);
            if (core) {
                applyAll(node, decide(core));
            }
        });
    const applyAll = (node: InstanceId, effects: readonly CoreEffect[]): void =>
        effects.forEach(effect => applyEffect(node, effect));
    const sendOrder = (node: InstanceId, effect: OrderEffect): void => {
        const { engine, adapter, incarnation, fencingNumber } = effect;
        let isAnswered = false;
        orders.set(node, [...orders.get(node) ?? [], effect.name]);
        const finish = (result: Result<void, OrderError>, delay: Milliseconds): void =>
            runOn(node, delay, core => {
                const isFirst = !isAnswered;
                isAnswered = true;
                return isFirst ? core.handleOrderResult(effect, result, history.now()) : [];
            });
        if (platform.findLease(node, engine.id, history.now())?.fencingNumber !== fencingNumber) {
            finish(wrapError({ kind: "notSent", detail: "lease lapsed" }), 0);
            return;
        }
        const finishSoon = (result: Result<void, OrderError>): void => {
            if (!history.random.chance(faults.lossRate)) {
                finish(result, drawDelay());
            }
        };
        const order = { adapter, incarnation, fencingNumber };
        history.schedule(drawDelay(), () => {
            if (effect.kind === "load") {
                engines.load(engine.id, order, finishSoon);
            }
            else {
                finishSoon(engines.unload(engine.id, order));
            }
        });
        finish(wrapError({ kind: "unknownOutcome", detail: "no answer in time" }), faults.answerTimeout);
    };
    const applyEffect = (node: InstanceId, effect: CoreEffect): void => {
        switch (effect.kind) {
            case "settled":
                settles.get(effect.requestId)?.({ ok: true, value: effect.pin });
                settles.delete(effect.requestId);
                return;
            case "refused":
                settles.get(effect.requestId)?.({ ok: false, error: effect.error });
                settles.delete(effect.requestId);
                return;
            case "send":
                if (effect.to !== node) {
                    options.recordMessage?.(effect.message);
                }
                history.send(node, effect.to, effect.message);
                return;
            case "load":
                budget.use(`${node} ${effect.engine.id} ${formatAdapterVersionKey(effect.adapter)}`, effect.name);
                sendOrder(node, effect);
                return;
            case "unload":
                sendOrder(node, effect);
                return;
            case "acquirePermit": {
                const { engine, key, priority } = effect;
                const grant = (startBy: Milliseconds): void =>
                    runOn(node, 1, core => core.handlePermit(engine, key, startBy, history.now()));
                budget.acquire({ id: `${node} ${engine} ${key}`, priority, grant });
                return;
            }
            case "withdrawPermit":
                budget.release(`${node} ${effect.engine} ${effect.key}`);
                return;
            case "releasePermit":
                budget.release(effect.name);
        }
    };
    const pollReports = (node: InstanceId, core: PlacementCore): void => {
        for (const { engine } of core.listOwned()) {
            const askedAt = history.now();
            history.schedule(1, () => {
                const report = engines.readReport(engine.id);
                if (!history.random.chance(faults.lossRate)) {
                    runOn(node, 1, current => current.handleReport(report, askedAt, history.now()));
                }
            });
        }
    };
    const scheduleEach = (node: InstanceId, interval: Milliseconds, action: (core: PlacementCore) => void): void => {
        history.scheduleOn(node, interval, () => {
            const core = cores.get(node);
            if (core) {
                action(core);
                scheduleEach(node, interval, action);
            }
        });
    };
    const createCore = (node: InstanceId): PlacementCore => {
        let isAdvancing = false;
        return createPlacementCore({
            self: node,
            times,
            queue: createFairQueue({ self: node }),
            queuedTokensLimit: Number.POSITIVE_INFINITY,
            settings: { read: options.readSettings, subscribe: () => () => undefined },
            membership: {
                read: () => ({
                    revision: 0,
                    instances: platform.listLive().map(listInstance),
                    backendServers: options.listed,
                }),
                subscribe: () => () => undefined,
            },
            epochs: {
                read: platform.readEpoch,
                readValidUntil: () => platform.readValidUntil(node),
                subscribe: () => () => undefined,
            },
            ownership: {
                findOwner: shard => platform.findOwner(shard.slice("engine/".length)),
                findLease: (shard, now) => platform.findLease(node, shard.slice("engine/".length), now),
                subscribe: () => () => undefined,
            },
            createGeneration: fencingNumber => `${fencingNumber}-${++generations}`,
            readNow: history.now,
            onRelease: () => {
                if (!isAdvancing) {
                    isAdvancing = true;
                    runOn(node, 0, core => {
                        isAdvancing = false;
                        return core.advance(history.now());
                    });
                }
            },
        });
    };
    return {
        find: node => cores.get(node),
        start: node => {
            cores.set(node, createCore(node));
            history.setHandler(node, (from, message) => {
                const core = cores.get(node);
                applyAll(node, core?.handleMessage(from, message, history.now()) ?? []);
            });
            platform.renew(node);
            scheduleEach(node, options.renewInterval, () => {
                if (options.isConnected(node)) {
                    platform.renew(node);
                }
            });
            scheduleEach(node, options.tickInterval, core => applyAll(node, core.tick(history.now())));
            scheduleEach(node, times.reportInterval, core => pollReports(node, core));
        },
        crash: node => {
            cores.delete(node);
            orders.get(node)?.forEach(name => history.schedule(faults.answerTimeout, () => budget.release(name)));
            history.crash(node);
            platform.remove(node);
        },
        acquire: (node, request, settle) => {
            const core = cores.get(node);
            if (core) {
                settles.set(request.requestId, settle);
                applyAll(node, core.acquire(request, history.now()));
            }
        },
    };
}

function listInstance(
    id: InstanceId,
): { kind: "instance"; id: InstanceId; address: string; failureDomain: string; region: string; state: "live"; } {
    return { kind: "instance", id, address: "", failureDomain: "", region: "", state: "live" };
}
