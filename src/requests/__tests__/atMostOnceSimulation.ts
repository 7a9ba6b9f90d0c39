// simulates instances in virtual time: the request handling is real, and the simulated services count their own runs
import type { BackendError, ServiceClient, ServiceResponse } from "../../backends/index.js";
import type { EpochView, MemberEpoch } from "../../membership/index.js";
import type { PeerError, PeerHandler, PeerNetwork } from "../../peers/index.js";
import { type Clock, type Result, wrapError, wrapValue } from "../../shared/index.js";
import {
    createHistory,
    createVirtualClock,
    type History,
    startDetached,
    type SystemUnderTest,
} from "../../testing/index.js";
import { type AtMostOnceMessage, createRequestsTask, type RequestsTask, type ServiceCallResult } from "../index.js";
import {
    buildSettings,
    createFakeLimiter,
    createFakeMembership,
    createFakePlacement,
    createFakeSettings,
    createListedService,
    keyHash,
} from "./fakes.js";

type SimulatedMessage =
    | { readonly kind: "request"; readonly id: number; readonly body: AtMostOnceMessage; }
    | { readonly kind: "answer"; readonly id: number; readonly body: AtMostOnceMessage | undefined; };

interface Instance {
    readonly id: string;
    readonly task: RequestsTask;
    readonly stop: AbortController;
}

interface Call {
    readonly requestId: string;
    readonly key: string;
    readonly instance: string;
    outcome: ServiceCallResult["outcome"] | undefined;
}

export interface AtMostOnceSimulation extends SystemUnderTest {
    /** Sends a service call with this idempotency key to the instance that now runs in the slot. */
    readonly order: (key: number, slot: number) => void;
    /** Prevents new epochs for a time, like an outage of the log. */
    readonly stopLog: (duration: number) => void;
    /** Replaces an instance without a crash: starts a new one, then drains and stops the old one. */
    readonly replace: (slot: number) => void;
    readonly calls: readonly Call[];
    readonly isRunning: (instance: string) => boolean;
    /** Number of runs of each key and of each request, as counted by the services. */
    readonly runsOfKey: ReadonlyMap<string, number>;
    readonly runsOfRequest: ReadonlyMap<string, number>;
    /** Runs everything that was scheduled, and then waits for retries, settlements and handovers. */
    readonly finish: () => Promise<void>;
    readonly history: History<unknown>;
}

export interface AtMostOnceSimulationOptions {
    readonly seed: number;
    readonly slots: readonly string[];
    readonly lossRate?: number;
    readonly duplicateRate?: number;
    readonly faultyServices?: boolean;
    readonly recordLifetime?: number;
}

const routeDeadlineMilliseconds = 2_000;
const detectionDelayMilliseconds = 300;
const leaseMilliseconds = 1_000;
const quietPeriodMilliseconds = 4_000;

export function createAtMostOnceSimulation(options: AtMostOnceSimulationOptions): AtMostOnceSimulation {
    const history = createHistory<SimulatedMessage>({
        seed: options.seed,
        lossRate: options.lossRate ?? 0.05,
        duplicateRate: options.duplicateRate ?? 0.05,
    });
    const { random } = history;
    const running = new Map<string, Instance>();
    const slots = new Map<string, string>();
    const epochs: { readonly epoch: MemberEpoch; readonly at: number; }[] = [];
    const runsOfKey = new Map<string, number>();
    const runsOfRequest = new Map<string, number>();
    const calls: Call[] = [];
    let scriptTime = 0;
    let logDownUntil = 0;
    let generation = 0;

    const findDomain = (id: string): string => id.split(".")[0]!;
    const appendEpoch = (members: readonly string[]): void => {
        const previousMembers = epochs.at(-1)?.epoch.members ?? [];
        epochs.push({
            at: history.now(),
            epoch: {
                number: epochs.length,
                members: [...members].sort(),
                previousMembers,
                failureDomains: new Map(members.map(id => [id, findDomain(id)])),
                gainsAllowedAt: history.now() + leaseMilliseconds,
            },
        });
    };
    // appends an epoch with the running instances, delayed until the end of a log outage
    const recordMembers = (): void => {
        const now = history.now();
        if (now < logDownUntil) {
            history.schedule(logDownUntil - now, recordMembers);
            return;
        }
        const members = [...running.keys()].sort();
        if (members.join() !== epochs.at(-1)?.epoch.members.join()) {
            appendEpoch(members);
        }
    };
    const createEpochView = (id: string, clock: Clock, signal: AbortSignal): EpochView => {
        const joined = epochs.length;
        let position = Math.max(0, joined - 1);
        let validUntil = history.now() + leaseMilliseconds;
        const listeners = new Set<(epoch: MemberEpoch) => void>();
        const readLog = async (): Promise<void> => {
            while (!signal.aborted) {
                await clock.sleep(random.between(10, 150), signal);
                validUntil = history.now() + leaseMilliseconds;
                while (position < epochs.length - 1) {
                    position++;
                    listeners.forEach(listener => listener(epochs[position]!.epoch));
                }
            }
        };
        startDetached(readLog());
        return {
            read: () => epochs[position]!.epoch,
            readValidUntil: () => validUntil,
            subscribe: listener => {
                listeners.add(listener);
                return () => listeners.delete(listener);
            },
        };
    };

    const createPeers = (id: string, clock: Clock): PeerNetwork => {
        let handleBody: PeerHandler<"outcomes"> | undefined;
        const waiting = new Map<number, (body: AtMostOnceMessage | undefined) => void>();
        let requests = 0;
        history.setHandler(id, (from, message) => {
            if (message.kind === "answer") {
                waiting.get(message.id)?.(message.body);
                return;
            }
            startDetached(
                Promise.resolve(handleBody?.(from, message.body)).then(body =>
                    history.send(id, from, { kind: "answer", id: message.id, body })
                ),
            );
        });
        return {
            self: id,
            send: () => undefined,
            handle: (topic, wanted) => {
                handleBody = wanted as unknown as PeerHandler<"outcomes">;
            },
            request: async (to, topic, body, timeout) => {
                const request = ++requests;
                const answer = new Promise<AtMostOnceMessage | undefined>(resolve => waiting.set(request, resolve));
                history.send(id, to, { kind: "request", id: request, body: body as AtMostOnceMessage });
                const received = await Promise.race([answer, clock.sleep(timeout)]);
                waiting.delete(request);
                return (received ? wrapValue(received) : wrapError({ kind: "timeout" })) as Result<
                    typeof body,
                    PeerError
                >;
            },
        };
    };
    const createService = (clock: Clock): ServiceClient => ({
        call: async (request, signal): Promise<Result<ServiceResponse, BackendError>> => {
            const isFaulty = options.faultyServices ?? true;
            if (isFaulty && random.chance(0.1)) {
                return wrapError({ kind: "notSent", detail: "refused" });
            }
            await clock.sleep(random.between(1, 200), signal);
            const key = Buffer.from(request.body).toString("utf8");
            runsOfKey.set(key, (runsOfKey.get(key) ?? 0) + 1);
            runsOfRequest.set(request.requestId, (runsOfRequest.get(request.requestId) ?? 0) + 1);
            await clock.sleep(random.between(1, 200), signal);
            if (isFaulty && random.chance(0.1)) {
                return wrapError({ kind: "broken", detail: "reset" });
            }
            return wrapValue({ status: 201, headers: {}, body: request.body });
        },
    });
    const startInstance = (slot: string): Instance => {
        const id = `${slot}.${generation++}`;
        // timers of a crashed instance never fire, and those of a paused instance fire late
        const clock = createVirtualClock(history.now, (delay, action) => history.scheduleOn(id, delay, action));
        const stop = new AbortController();
        running.set(id, { id, stop, task: undefined as unknown as RequestsTask });
        if (epochs.length === 0) {
            appendEpoch(options.slots.map((name, index) => `${name}.${index}`));
        }
        const task = createRequestsTask({
            self: id,
            settings: createFakeSettings(buildSettings(routeDeadlineMilliseconds)),
            limiter: createFakeLimiter(),
            placement: createFakePlacement([]),
            membership: {
                ...createFakeMembership([createListedService("s1", "s1"), createListedService("s2", "s2")]),
                read: () =>
                    createFakeMembership([createListedService("s1", "s1"), createListedService("s2", "s2")], [
                        ...running.keys(),
                    ])
                        .read(),
            },
            epochs: createEpochView(id, clock, stop.signal),
            peers: createPeers(id, clock),
            createEngineClient: () => {
                throw new Error("no engines here");
            },
            createServiceClient: () => createService(clock),
            clock,
            random,
            onReport: () => undefined,
            recordLifetime: options.recordLifetime,
        });
        startDetached(task.run(stop.signal));
        const instance = { id, task, stop };
        running.set(id, instance);
        slots.set(slot, id);
        return instance;
    };
    const endInstance = (id: string): void => {
        running.get(id)?.stop.abort();
        running.delete(id);
        history.crash(id);
    };
    options.slots.forEach(slot => startInstance(slot));

    const schedule = (action: () => void): void => history.schedule(scriptTime, action);
    const sendOrder = (key: string, slot: string): void => {
        const instance = running.get(slots.get(slot) ?? "");
        if (!instance) {
            return;
        }
        const call: Call = { requestId: `r${calls.length}`, key, instance: instance.id, outcome: undefined };
        calls.push(call);
        const base = { requestId: call.requestId, keyHash, arrivedAt: history.now() };
        const { signal } = new AbortController();
        const body = Buffer.from(key);
        startDetached(
            instance.task.service.runServiceCall({
                ...base,
                idempotencyKey: key,
                kind: "service",
                route: "orders",
                method: "POST",
                path: "/confirm",
                headers: {},
                body,
            }, signal).then(result => {
                call.outcome = result.outcome;
            }),
        );
    };
    const findInstance = (slot: string): string => slots.get(slot) ?? slot;
    const replaceInstance = async (slot: string): Promise<void> => {
        const old = running.get(findInstance(slot));
        if (!old) {
            return;
        }
        startInstance(slot);
        history.schedule(detectionDelayMilliseconds, () => {
            // the leaving instance is not a member of the next epoch, but still responds to its peers
            appendEpoch([...running.keys()].filter(id => id !== old.id));
        });
        await old.task.service.drain();
        await old.task.waitForHandover();
        endInstance(old.id);
    };
    return {
        // commands only schedule events at the script's time, and `finish` runs them all
        history: {
            ...history,
            now: () => scriptTime,
            run: (until: number) => {
                scriptTime = Math.max(scriptTime, until);
            },
            pause: (slot: string, duration: number) => schedule(() => history.pause(findInstance(slot), duration)),
            cut: (left: readonly string[], right: readonly string[], duration: number) =>
                schedule(() => history.cut(left.map(findInstance), right.map(findInstance), duration)),
        } as unknown as History<unknown>,
        restart: (slot, downFor) =>
            schedule(() => {
                endInstance(findInstance(slot));
                history.schedule(detectionDelayMilliseconds, recordMembers);
                history.schedule(downFor, () => {
                    startInstance(slot);
                    history.schedule(detectionDelayMilliseconds, recordMembers);
                });
            }),
        order: (key, slot) => schedule(() => sendOrder(`order-${key}`, options.slots[slot % options.slots.length]!)),
        stopLog: duration => schedule(() => logDownUntil = Math.max(logDownUntil, history.now() + duration)),
        replace: slot => schedule(() => startDetached(replaceInstance(options.slots[slot % options.slots.length]!))),
        calls,
        isRunning: instance => running.has(instance),
        runsOfKey,
        runsOfRequest,
        finish: () => history.runAsync(scriptTime + quietPeriodMilliseconds),
    };
}
