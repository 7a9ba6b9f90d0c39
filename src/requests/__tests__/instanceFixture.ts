// one instance with real HTTP clients over loopback, and two backend servers whose faults are scripted
import { createEngineHttpClient, createServiceHttpClient } from "../../backends/index.js";
import { createSeededRandom, createSystemClock } from "../../shared/index.js";
import { type FaultyBackend, startFaultyBackend } from "../../standins/faultyBackend.js";
import { startDetached } from "../../testing/index.js";
import { createRequestsTask, type ModelCallEvent, type RequestsTask, type ServiceCallResult } from "../index.js";
import {
    buildSettings,
    createFakeEpochs,
    createFakeLimiter,
    createFakeMembership,
    createFakePlacement,
    createFakeSettings,
    createListedService,
    createSingleInstanceNetwork,
    type FakeLimiter,
    type FakePlacement,
    type FakeSettings,
    keyHash,
} from "./fakes.js";

export type Moment = "admitted" | "queued" | "pinned" | "dispatched" | "streaming";

export interface InstanceFixture {
    readonly first: FaultyBackend;
    readonly second: FaultyBackend;
    readonly settings: FakeSettings;
    readonly limiter: FakeLimiter;
    readonly placement: FakePlacement;
    readonly task: RequestsTask;
    /** Runs an action once, when the next request reaches the given moment. */
    readonly at: (moment: Moment, action: () => void) => void;
    readonly callModel: (model?: string, withKey?: boolean) => Promise<readonly string[]>;
    readonly callService: (route: "orders" | "stock", idempotencyKey?: string) => Promise<string>;
    /** Disconnects the caller of all calls when it is aborted. */
    readonly leave: AbortController;
    /** Lists the runs at both backend servers, the settled tokens and the released pins, for snapshots. */
    readonly describe: () => readonly string[];
    readonly stop: () => Promise<void>;
}

export interface InstanceFixtureOptions {
    readonly idleTimeout?: number;
    readonly firstState?: "live" | "leaving";
}

export async function startInstanceFixture(
    deadline?: number,
    options?: InstanceFixtureOptions,
): Promise<InstanceFixture> {
    const first = await startFaultyBackend();
    const second = await startFaultyBackend();
    const settings = createFakeSettings(buildSettings(deadline));
    const actions = new Map<Moment, () => void>();
    const runActionAt = (moment: Moment): Promise<void> => {
        const runAction = actions.get(moment);
        actions.delete(moment);
        if (!runAction) {
            return Promise.resolve();
        }
        // the request waits until the action has taken effect
        return new Promise(resolve => void setImmediate(() => (runAction(), setImmediate(resolve))));
    };
    const limiter = createFakeLimiter(() => runActionAt("admitted"));
    const placement = createFakePlacement(
        [first, second].map((backend, index) => ({ id: `e${index + 1}`, ...backend })),
        () => runActionAt("queued"),
        () => {
            actions.get("pinned")?.();
            actions.delete("pinned");
        },
    );
    [first, second].forEach(backend => backend.onRequest(() => startDetached(runActionAt("dispatched"))));
    const timeouts = { idleTimeout: options?.idleTimeout ?? 5_000, headTimeout: options?.idleTimeout ?? 5_000 };
    const closers: (() => void)[] = [];
    const trackClient = <Client extends { readonly close: () => void; }>(client: Client): Client => {
        closers.push(client.close);
        return client;
    };
    const task = createRequestsTask({
        self: "i1",
        settings,
        limiter,
        placement,
        membership: createFakeMembership([
            createListedService("s1", first.address, options?.firstState),
            createListedService("s2", second.address),
        ]),
        epochs: createFakeEpochs({ number: 0, members: ["i1"], previousMembers: [], gainsAllowedAt: 0 }),
        peers: createSingleInstanceNetwork("i1"),
        createEngineClient: address => trackClient(createEngineHttpClient({ address, ...timeouts })),
        createServiceClient: address => trackClient(createServiceHttpClient({ address, ...timeouts })),
        clock: createSystemClock(),
        random: { ...createSeededRandom(1), choose: items => items[0]!, next: () => 0 },
        onReport: () => undefined,
    });
    const leave = new AbortController();
    let calls = 0;
    const createBase = (withKey: boolean) => ({
        requestId: `r${++calls}`,
        keyHash: withKey ? keyHash : undefined,
        idempotencyKey: undefined,
        arrivedAt: performance.now(),
    });
    const callModel = async (model = "quotes", withKey = true): Promise<readonly string[]> => {
        const events: string[] = [];
        const stream = task.service.runModelCall({
            ...createBase(withKey),
            kind: "model",
            model,
            prompt: { kind: "text", text: "draft" },
            maximumOutputTokens: undefined,
            temperature: undefined,
            stop: undefined,
        }, leave.signal);
        for await (const event of stream) {
            addEvent(events, event);
            if (event.kind === "token") {
                await runActionAt("streaming");
            }
        }
        return events;
    };
    const callService = async (route: "orders" | "stock", idempotencyKey?: string): Promise<string> =>
        formatResult(
            await task.service.runServiceCall({
                ...createBase(true),
                idempotencyKey,
                kind: "service",
                route,
                method: "POST",
                path: "/confirm",
                headers: { "content-type": "text/plain" },
                body: Buffer.from("10 springs"),
            }, leave.signal),
        );
    return {
        first,
        second,
        settings,
        limiter,
        placement,
        task,
        at: (moment, action) => void actions.set(moment, action),
        callModel,
        callService,
        leave,
        describe: () => [
            ...describeRuns("backend 1", first),
            ...describeRuns("backend 2", second),
            `tokens settled: ${limiter.settledTokens.join(", ") || "none"}; open: ${limiter.countUnsettled()}`,
            `pins released: ${placement.releases.join(", ") || "none"}; held: ${placement.countPins()}`,
        ],
        stop: async () => {
            closers.forEach(close => close());
            await Promise.all([first.stop(), second.stop()]);
        },
    };
}

function describeRuns(name: string, backend: FaultyBackend): readonly string[] {
    return backend.runs.map(run => `${name}: ${run.requestId} ${run.ran ? "ran" : "did not run"}`);
}

function addEvent(lines: string[], event: ModelCallEvent): void {
    switch (event.kind) {
        case "started":
            lines.push(`started ${event.adapter ? `${event.adapter.adapter}@${event.adapter.version}` : "base model"}`);
            return;
        case "token":
            lines.push(`${lines.at(-1)?.startsWith("tokens") ? lines.pop()! : "tokens:"} ${event.text.trim()}`);
            return;
        case "end":
            lines.push(`end ${event.reason} prompt=${event.promptTokens} output=${event.outputTokens}`);
            return;
        case "outcome":
            lines.push(formatOutcome(event.outcome));
    }
}

function formatResult(result: ServiceCallResult): string {
    const answer = result.response
        ? ` ${result.response.status} ${Buffer.from(result.response.body).toString("utf8")}`
        : "";
    return `${formatOutcome(result.outcome)}${answer}`;
}

function formatOutcome(outcome: ServiceCallResult["outcome"]): string {
    return outcome.kind === "completed"
        ? "outcome completed"
        : `outcome ${outcome.kind} ${outcome.reason}${outcome.retryAfter === undefined ? "" : ", retry later"}`;
}
