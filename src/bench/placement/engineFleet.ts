/**
 * Engines and their weight store on a history: it wakes each engine at its next event and hands events to whoever sent
 * the request or the order.
 *
 * @packageDocumentation
 */
import type { AdapterOrder, BackendError, EngineReport, GenerationRequest, OrderError } from "../../backends/index.js";
import { formatAdapterName } from "../../backends/index.js";
import { type Milliseconds, type Result, wrapValue } from "../../shared/index.js";
import {
    createEngineModel,
    type EngineModel,
    type EngineModelEvent,
    type EngineModelOptions,
    type WeightStoreModel,
} from "../../standins/index.js";
import type { History } from "../../testing/index.js";

/** An event of a request. */
export type RequestEvent = Exclude<EngineModelEvent, { kind: "loadEnded"; }>;

/** Engines under test. */
export interface EngineFleet {
    readonly submit: (
        engine: string,
        request: GenerationRequest,
        handle: (event: RequestEvent) => void,
    ) => Result<void, BackendError>;
    readonly cancel: (engine: string, requestId: string) => void;
    readonly load: (engine: string, order: AdapterOrder, handle: (result: Result<void, OrderError>) => void) => void;
    readonly unload: (engine: string, order: AdapterOrder) => Result<void, OrderError>;
    readonly restart: (engine: string) => void;
    readonly readReport: (engine: string) => EngineReport;
    readonly find: (engine: string) => EngineModel;
    readonly list: () => readonly EngineModel[];
}

interface FleetEngine {
    readonly model: EngineModel;
    readonly requests: Map<string, (event: RequestEvent) => void>;
    readonly loads: Map<string, ((result: Result<void, OrderError>) => void)[]>;
    wakeAt: Milliseconds;
}

/**
 * Creates engines.
 *
 * @param history - virtual time
 * @param store - the weight store they share
 * @param engines - settings of each engine, but for the store
 * @returns the engines
 */
export function createEngineFleet(
    history: Pick<History<unknown>, "now" | "schedule">,
    store: WeightStoreModel,
    engines: readonly Omit<EngineModelOptions, "store">[],
): EngineFleet {
    const fleet = new Map<string, FleetEngine>();
    for (const options of engines) {
        const model = createEngineModel({ ...options, store });
        fleet.set(options.id, { model, requests: new Map(), loads: new Map(), wakeAt: Number.POSITIVE_INFINITY });
    }
    const handleEvent = (engine: FleetEngine, event: EngineModelEvent): void => {
        if (event.kind === "loadEnded") {
            const name = formatAdapterName(event.adapter);
            const waiting = engine.loads.get(name) ?? [];
            engine.loads.delete(name);
            waiting.forEach(handle => handle(event.result));
            // a load that ends speeds up the others
            fleet.forEach(other => other.loads.size > 0 && scheduleWake(other));
            return;
        }
        const handle = engine.requests.get(event.requestId);
        if (event.kind !== "token") {
            engine.requests.delete(event.requestId);
        }
        handle?.(event);
    };
    const wakeEngine = (engine: FleetEngine): void => {
        engine.model.advance(history.now()).forEach(event => handleEvent(engine, event));
        scheduleWake(engine);
    };
    const scheduleWake = (engine: FleetEngine): void => {
        const next = engine.model.nextEventAt();
        if (next === undefined || (engine.wakeAt > history.now() && engine.wakeAt <= next)) {
            return;
        }
        engine.wakeAt = Math.max(next, history.now());
        history.schedule(engine.wakeAt - history.now(), () => wakeEngine(engine));
    };
    const findEngine = (id: string): FleetEngine => fleet.get(id)!;
    return {
        submit: (id, request, handle) => {
            const engine = findEngine(id);
            const result = engine.model.submit(request, history.now());
            if (result.ok) {
                engine.requests.set(request.requestId, handle);
            }
            wakeEngine(engine);
            return result;
        },
        cancel: (id, requestId) => {
            findEngine(id).model.cancel(requestId, history.now());
            findEngine(id).requests.delete(requestId);
        },
        load: (id, order, handle) => {
            const engine = findEngine(id);
            const result = engine.model.load(order, history.now());
            if (!result.ok || result.value) {
                handle(result.ok ? wrapValue(undefined) : result);
                return;
            }
            const name = formatAdapterName(order.adapter);
            engine.loads.set(name, [...engine.loads.get(name) ?? [], handle]);
            fleet.forEach(other => other.loads.size > 0 && scheduleWake(other));
        },
        unload: (id, order) => {
            const result = findEngine(id).model.unload(order, history.now());
            wakeEngine(findEngine(id));
            return result;
        },
        restart: id => {
            const engine = findEngine(id);
            const requests = [...engine.requests.entries()];
            engine.model.restart(history.now());
            engine.requests.clear();
            engine.loads.clear();
            requests.forEach(([requestId, handle]) => handle({ kind: "failed", requestId, detail: "restarted" }));
        },
        readReport: id => findEngine(id).model.readReport(history.now()),
        find: id => findEngine(id).model,
        list: () => [...fleet.values()].map(engine => engine.model),
    };
}
