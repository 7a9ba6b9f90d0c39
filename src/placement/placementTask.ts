/**
 * The placement task: holds the state of placement, communicates with engines and other instances, and carries out the
 * effects of the placement decisions.
 *
 * @packageDocumentation
 */
import type { EngineClient, EngineReport, ListedEngine, OrderError } from "../backends/index.js";
import type { SettingsView } from "../config/index.js";
import { createFairQueue, type FairQueue } from "../fairness/index.js";
import type { LoadBudget } from "../limits/index.js";
import type { EpochView, MembershipView, OwnershipView } from "../membership/index.js";
import type { PeerNetwork } from "../peers/index.js";
import {
    type Clock,
    createLogger,
    type InstanceId,
    type Milliseconds,
    type RequestId,
    type Result,
    wrapError,
    wrapValue,
} from "../shared/index.js";
import { createMailbox, startTask, type Task } from "../supervision/index.js";
import { createLoadPermits } from "./loadPermits.js";
import type { AdapterVersionKey, PlacementMessage } from "./messages.js";
import { type CoreEffect, createPlacementCore, type PlacementStatus } from "./placementCore.js";
import { defaultPlacementTimes, type PlacementTimes } from "./placementTimes.js";
import type { WaitingRequest } from "./requestScheduler.js";
import type { Pin, Placement, PlacementError, PlacementRequest } from "./types.js";

/** Options of the placement task. */
export interface PlacementTaskOptions {
    readonly self: InstanceId;
    readonly settings: SettingsView;
    readonly membership: MembershipView;
    readonly epochs: EpochView;
    readonly ownership: OwnershipView;
    readonly peers: PeerNetwork;
    readonly loadBudget: LoadBudget;
    readonly createEngineClient: (engine: ListedEngine) => EngineClient;
    /**
     * Creates the queue that orders waiting requests; a caller that passes it can share the queue's counters with other
     * instances. @default a fair queue of its own
     */
    readonly createQueue?: () => FairQueue<WaitingRequest>;
    readonly clock: Clock;
    /** @default `defaultPlacementTimes` */
    readonly times?: Partial<PlacementTimes>;
    /** Limit of the waiting tokens, above which requests are refused. @default 4_000_000 */
    readonly queuedTokensLimit?: number;
}

/** The placement task, with its interface for the request path. */
export interface PlacementTask extends Task {
    readonly placement: Placement;
    readonly readStatus: (now: Milliseconds) => PlacementStatus;
}

type OrderEffect = Extract<CoreEffect, { kind: "load" | "unload"; }>;

type PlacementEvent =
    | { readonly kind: "acquire"; readonly request: PlacementRequest; }
    | { readonly kind: "advance"; }
    | { readonly kind: "message"; readonly from: InstanceId; readonly message: PlacementMessage; }
    | { readonly kind: "report"; readonly report: EngineReport; readonly askedAt: Milliseconds; }
    | { readonly kind: "orderEnd"; readonly order: OrderEffect; readonly result: Result<void, OrderError>; }
    | {
        readonly kind: "permit";
        readonly engine: string;
        readonly key: AdapterVersionKey;
        readonly startBy: Milliseconds;
    }
    | { readonly kind: "tick"; };

interface ConnectedEngine {
    readonly address: string;
    readonly client: EngineClient;
    polledAt: Milliseconds;
    isPolling: boolean;
}

const tickMilliseconds = 25;
const orderTimeoutMilliseconds = 15_000;
const reportTimeoutMilliseconds = 2_000;
const defaultQueuedTokensLimit = 4_000_000;
const debug = createLogger("placement");

/**
 * Creates the placement task of an instance.
 *
 * @param options - dependencies and limits of the task
 * @returns the task, which is not running yet
 */
export function createPlacementTask(options: PlacementTaskOptions): PlacementTask {
    const { clock, ownership, peers, self } = options;
    const times = { ...defaultPlacementTimes, ...options.times };
    const mailbox = createMailbox<PlacementEvent>();
    const settle = new Map<RequestId, (result: Result<Pin, PlacementError>) => void>();
    const engines = new Map<string, ConnectedEngine>();
    const permits = createLoadPermits(options.loadBudget);
    let generationCount = 0;
    let isAdvanceQueued = false;
    let isStopped = false;

    const core = createPlacementCore({
        self,
        times,
        settings: options.settings,
        membership: options.membership,
        epochs: options.epochs,
        ownership,
        queue: options.createQueue?.() ?? createFairQueue({ self }),
        queuedTokensLimit: options.queuedTokensLimit ?? defaultQueuedTokensLimit,
        createGeneration: fencingNumber => `${fencingNumber}-${++generationCount}`,
        readNow: clock.now,
        onRelease: () => {
            if (!isAdvanceQueued) {
                isAdvanceQueued = true;
                mailbox.put({ kind: "advance" });
            }
        },
    });

    const connectEngine = (engine: ListedEngine): ConnectedEngine => {
        const known = engines.get(engine.id);
        if (known?.address === engine.address) {
            return known;
        }
        const client = options.createEngineClient(engine);
        const connected = { address: engine.address, client, polledAt: Number.NEGATIVE_INFINITY, isPolling: false };
        engines.set(engine.id, connected);
        return connected;
    };
    const hasLease = (engine: ListedEngine, fencingNumber: number): boolean =>
        ownership.findLease(`engine/${engine.id}`, clock.now())?.fencingNumber === fencingNumber;
    const sendOrder = async (effect: OrderEffect): Promise<void> => {
        const { engine, adapter, incarnation, fencingNumber } = effect;
        const { client } = connectEngine(engine);
        const order = { adapter, incarnation, fencingNumber };
        const signal = AbortSignal.timeout(orderTimeoutMilliseconds);
        const mayStart = effect.kind === "unload" || permits.mayStart(effect.name, clock.now());
        // the lease is checked immediately before the order is sent. An order that is delayed after the check is
        // harmless: an owner evicts a load that it did not order, and a load that is to be evicted is not used again
        const result = mayStart && hasLease(engine, fencingNumber)
            ? await (effect.kind === "load" ? client.load(order, signal) : client.unload(order, signal))
            : wrapError<OrderError>({
                kind: "notSent",
                detail: "the ownership lease or the load permit expired before the order was sent",
            });
        debug.debug("order ended", { order: effect.kind, engine: engine.id, name: effect.name, result });
        mailbox.put({ kind: "orderEnd", order: effect, result });
    };
    const pollEngine = async (engine: ListedEngine, connected: ConnectedEngine): Promise<void> => {
        const askedAt = clock.now();
        connected.isPolling = true;
        connected.polledAt = askedAt;
        try {
            const report = await connected.client.readReport(AbortSignal.timeout(reportTimeoutMilliseconds));
            if (report.ok) {
                mailbox.put({ kind: "report", report: report.value, askedAt });
            }
        }
        finally {
            connected.isPolling = false;
        }
    };
    const pollReports = (now: Milliseconds): void => {
        for (const { engine } of core.listOwned()) {
            const connected = connectEngine(engine);
            if (!connected.isPolling && now - connected.polledAt >= times.reportInterval) {
                startTask("report of an engine", () => pollEngine(engine, connected));
            }
        }
    };
    const settleRequest = (requestId: RequestId, result: Result<Pin, PlacementError>): void => {
        const resolve = settle.get(requestId);
        settle.delete(requestId);
        if (resolve) {
            resolve(result);
        }
        else if (result.ok) {
            result.value.release("notUsed");
        }
    };
    const applyEffect = (effect: CoreEffect): void => {
        switch (effect.kind) {
            case "settled":
                settleRequest(effect.requestId, wrapValue(effect.pin));
                return;
            case "refused":
                settleRequest(effect.requestId, wrapError(effect.error));
                return;
            case "send":
                peers.send(effect.to, "placement", effect.message);
                return;
            case "load":
                permits.useForLoad(effect.engine.id, effect.name);
                startTask("order to an engine", () => sendOrder(effect));
                return;
            case "unload":
                startTask("order to an engine", () => sendOrder(effect));
                return;
            case "acquirePermit":
                startTask("permit of a load", async () => {
                    const startBy = await permits.acquire(effect.engine, effect.key, effect.priority);
                    if (startBy !== undefined) {
                        mailbox.put({ kind: "permit", engine: effect.engine, key: effect.key, startBy });
                    }
                });
                return;
            case "withdrawPermit":
                permits.withdraw(effect.engine, effect.key);
                return;
            case "releasePermit":
                permits.release(effect.name);
        }
    };
    const computeEffects = (event: PlacementEvent, now: Milliseconds): readonly CoreEffect[] => {
        switch (event.kind) {
            case "acquire":
                return settle.has(event.request.requestId) ? core.acquire(event.request, now) : [];
            case "advance":
                isAdvanceQueued = false;
                return core.advance(now);
            case "message":
                return core.handleMessage(event.from, event.message, now);
            case "report":
                return core.handleReport(event.report, event.askedAt, now);
            case "orderEnd":
                return core.handleOrderResult(event.order, event.result, now);
            case "permit":
                return core.handlePermit(event.engine, event.key, event.startBy, now);
            case "tick":
                pollReports(now);
                return core.tick(now);
        }
    };
    const handleEvent = (event: PlacementEvent): void => {
        computeEffects(event, clock.now()).forEach(applyEffect);
    };
    peers.handle("placement", (from, message) => {
        mailbox.put({ kind: "message", from, message });
        return undefined;
    });
    const runTicks = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            mailbox.put({ kind: "tick" });
            await clock.sleep(tickMilliseconds, signal);
        }
    };
    const acquire = (request: PlacementRequest, signal: AbortSignal): Promise<Result<Pin, PlacementError>> =>
        new Promise(resolve => {
            const { requestId } = request;
            if (signal.aborted || isStopped) {
                resolve(wrapError({ kind: "aborted" }));
                return;
            }
            const abortRequest = (): void => {
                core.abort(requestId);
                settleRequest(requestId, wrapError({ kind: "aborted" }));
            };
            signal.addEventListener("abort", abortRequest, { once: true });
            settle.set(requestId, result => {
                signal.removeEventListener("abort", abortRequest);
                resolve(result);
            });
            mailbox.put({ kind: "acquire", request });
        });
    return {
        name: "placement",
        placement: { acquire },
        readStatus: core.readStatus,
        run: async signal => {
            isStopped = false;
            await Promise.all([mailbox.listen(handleEvent, signal), runTicks(signal)]);
            isStopped = true;
            [...settle.keys()].forEach(requestId => settleRequest(requestId, wrapError({ kind: "aborted" })));
            permits.releaseAll();
            if (core.readStatus(clock.now()).running === 0) {
                core.leave().forEach(applyEffect);
            }
        },
    };
}
