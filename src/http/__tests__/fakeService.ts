import type { ResolvedSettings, SettingsView } from "../../config/index.js";
import type {
    ModelCall,
    ModelCallEvent,
    RequestOutcome,
    RequestReport,
    RequestService,
    ServiceCall,
    ServiceCallResult,
} from "../../requests/index.js";
import { createSystemClock, hashKey } from "../../shared/index.js";
import { createHttpServer, createMetrics, type HttpLimits, type HttpServer, type Metrics } from "../index.js";

export const grantedKey = "oh-granted-key-0123456789";

// records all calls, and selects its behavior by the name of the model
export interface FakeRequestService extends RequestService {
    readonly modelCalls: ModelCall[];
    readonly serviceCalls: ServiceCall[];
    readonly aborted: string[];
}

export interface TestServer {
    readonly server: HttpServer;
    readonly address: string;
    readonly url: string;
    readonly service: FakeRequestService;
    readonly metrics: Metrics;
    readonly reports: RequestReport[];
}

const overLimit: RequestOutcome = {
    kind: "notRun",
    reason: "overLimit",
    message: "The account is over its rate.",
    retryAfter: 1_200,
};
const broken: RequestOutcome = {
    kind: "failed",
    reason: "broken",
    message: "The stream broke.",
    retryAfter: undefined,
};

export function createFakeRequestService(): FakeRequestService {
    const modelCalls: ModelCall[] = [];
    const serviceCalls: ServiceCall[] = [];
    const aborted: string[] = [];
    return {
        modelCalls,
        serviceCalls,
        aborted,
        runModelCall: (call, signal) => {
            modelCalls.push(call);
            signal.addEventListener("abort", () => aborted.push(call.requestId));
            return streamEvents(call, signal);
        },
        runServiceCall: call => {
            serviceCalls.push(call);
            return Promise.resolve(resolveServiceCall(call));
        },
        drain: () => Promise.resolve(),
    };
}

async function* streamEvents(call: ModelCall, signal: AbortSignal): AsyncGenerator<ModelCallEvent> {
    if (call.keyHash !== hashKey(grantedKey)) {
        const reason = call.keyHash === undefined ? "missingKey" : "wrongKey";
        yield { kind: "outcome", outcome: { kind: "notRun", reason, message: "No key.", retryAfter: undefined } };
        return;
    }
    if (call.model === "over") {
        yield { kind: "outcome", outcome: overLimit };
        return;
    }
    if (call.model === "throws") {
        throw new Error("a bug");
    }
    yield { kind: "started", adapter: { adapter: "quotes", version: "v2" } };
    while (call.model === "floods" && !signal.aborted) {
        await new Promise(resolve => setImmediate(resolve));
        yield { kind: "token", text: "x".repeat(100_000) };
    }
    yield { kind: "token", text: "one " };
    yield { kind: "token", text: '"two"\n' };
    if (call.model === "hangs") {
        await new Promise<void>(resolve => signal.addEventListener("abort", () => resolve(), { once: true }));
        return;
    }
    if (call.model === "breaks") {
        yield { kind: "outcome", outcome: broken };
        return;
    }
    if (call.model === "ends-silently") {
        return;
    }
    yield { kind: "end", reason: "stop", promptTokens: 5, outputTokens: 2 };
    yield { kind: "outcome", outcome: { kind: "completed" } };
}

function resolveServiceCall(call: ServiceCall): ServiceCallResult {
    if (call.route === "lost") {
        const outcome = { kind: "unknown", reason: "broken", message: "No answer.", retryAfter: undefined } as const;
        return { outcome, response: undefined };
    }
    const headers = { "content-type": "text/plain", connection: "x-hop", "x-hop": "1", "x-kept": "2" };
    return { outcome: { kind: "completed" }, response: { status: 201, headers, body: Buffer.from(call.path) } };
}

export async function createTestServer(limits: HttpLimits = {}): Promise<TestServer> {
    const service = createFakeRequestService();
    const metrics = createMetrics();
    const reports: RequestReport[] = [];
    let lastId = 0;
    const server = createHttpServer({
        address: "127.0.0.1:0",
        service,
        settings: createFakeSettings(),
        readStatus: () => ({ instance: "i1", ready: true, reasons: [], appliedOffset: 3, parts: {} }),
        clock: createSystemClock(),
        metrics,
        onReport: report => {
            reports.push(report);
            metrics.recordReport(report);
        },
        createRequestId: () => `r${++lastId}`,
        limits,
    });
    const address = await server.start();
    return { server, address, url: `http://${address}`, service, metrics, reports };
}

export function createFakeSettings(): SettingsView {
    const shared = {
        access: "keyed",
        accounts: undefined,
        openAccount: undefined,
        pool: "p",
        requestClass: "interactive",
        deadline: 1_000,
        retryBudget: 0.1,
    } as const;
    const model = { ...shared, kind: "model", baseModel: "base", maximumOutputTokens: 10 } as const;
    const settings: ResolvedSettings = {
        appliedOffset: 3,
        accounts: new Map([["a", { id: "a", limits: { rate: 1, burst: 1 }, weight: 1 }]]),
        keys: new Map([[hashKey(grantedKey), { id: "k", hash: hashKey(grantedKey), account: "a" }]]),
        routes: new Map([
            ["draft", { ...model, id: "draft", adapter: "quotes" }],
            ["foreign", { ...model, id: "foreign", adapter: undefined, accounts: ["b"] }],
            ["open", { ...model, id: "open", adapter: undefined, access: "open" }],
        ]),
        adapters: new Map(),
        weightStore: { loadsPerSecond: 1, loadBurst: 1, loadsInFlight: 1 },
    };
    return { read: () => settings, subscribe: () => () => undefined };
}
