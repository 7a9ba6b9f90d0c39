import { expect } from "chai";
import type { ResolvedSettings, SettingsView } from "../../config/index.js";
import type { EpochView } from "../../membership/index.js";
import type { PeerNetwork } from "../../peers/index.js";
import { createSeededRandom, type Milliseconds } from "../../shared/index.js";
import { createHistory, startDetached } from "../../testing/index.js";
import { createLimitsTask, type LimitsTask, type LimitsTaskOptions, type ReservationRequest } from "../index.js";

const settings: ResolvedSettings = {
    appliedOffset: 0,
    accounts: new Map([["acme", { id: "acme", limits: { rate: 100, burst: 1_000 }, weight: 1 }]]),
    keys: new Map(),
    routes: new Map(),
    adapters: new Map(),
    weightStore: { loadsPerSecond: 5, loadBurst: 5, loadsInFlight: 2 },
};

interface Standalone {
    readonly task: LimitsTask;
    readonly run: (until: Milliseconds) => Promise<void>;
    readonly setValidUntil: (until: Milliseconds) => void;
    readonly setSettings: (next: ResolvedSettings) => void;
}

function startStandalone(options: Partial<LimitsTaskOptions> = {}): Standalone {
    const history = createHistory<never>({ seed: 1 });
    let validUntil = Infinity;
    let current = settings;
    let updateView: (next: ResolvedSettings) => void = () => undefined;
    const settingsView: SettingsView = {
        read: () => current,
        subscribe: added => {
            updateView = added;
            return () => undefined;
        },
    };
    const epochs: EpochView = {
        read: () => ({ number: -1, members: ["self"], gainsAllowedAt: 0 }),
        readValidUntil: () => validUntil,
        subscribe: () => () => undefined,
    };
    const peers: PeerNetwork = {
        self: "self",
        send: () => undefined,
        request: () => Promise.reject(new Error("a single instance sends no requests to peers")),
        handle: () => undefined,
    };
    const task = createLimitsTask({
        self: "self",
        settings: settingsView,
        epochs,
        peers,
        clock: history.clock,
        random: createSeededRandom(1),
        ...options,
    });
    startDetached(task.run(new AbortController().signal));
    return {
        task,
        run: history.runAsync,
        setValidUntil: until => validUntil = until,
        setSettings: next => {
            current = next;
            updateView(next);
        },
    };
}

function buildRequest(promptTokens: number, maximumOutputTokens: number): ReservationRequest {
    return {
        requestId: `r${promptTokens}`,
        account: "acme",
        requestClass: "interactive",
        promptTokens,
        maximumOutputTokens,
        deadline: 1e9,
    };
}

const signal = new AbortController().signal;

describe("limits task of a single instance", () => {
    it("grants the whole rate, waits briefly for tokens and returns an accurate retryAfter", async () => {
        const { task, run } = startStandalone();
        await run(2_010);
        const first = task.limiter.reserve(buildRequest(100, 100), signal);
        const waits = task.limiter.reserve(buildRequest(150, 0), signal);
        const refused = task.limiter.reserve(buildRequest(500, 0), signal);
        await run(2_011);
        expect((await first).ok).to.equal(true);
        const refusal = await refused;
        expect(refusal.ok ? "granted" : refusal.error.kind).to.equal("overLimit");
        await run(4_020);
        expect((await waits).ok).to.equal(true);
        const retryAfter = refusal.ok || refusal.error.kind !== "overLimit" ? 0 : refusal.error.retryAfter;
        await run(2_011 + retryAfter);
        const again = task.limiter.reserve(buildRequest(500, 0), signal);
        await run(2_011 + retryAfter + 1);
        expect((await again).ok).to.equal(true);
    });

    it("immediately refuses requests larger than the burst and unknown accounts", async () => {
        const { task } = startStandalone();
        const tooLarge = await task.limiter.reserve(buildRequest(900, 200), signal);
        expect(tooLarge).to.deep.equal({ ok: false, error: { kind: "exceedsBurst", burst: 1_000 } });
        const unknown = await task.limiter.reserve({ ...buildRequest(1, 1), account: "nobody" }, signal);
        expect(unknown).to.deep.equal({ ok: false, error: { kind: "unknownAccount" } });
    });

    it("returns unspent tokens once and grants nothing without a lease", async () => {
        const { task, run, setValidUntil } = startStandalone();
        await run(10_000);
        const reserved = await task.limiter.reserve(buildRequest(100, 800), signal);
        expect(task.readStatus(10_000).accounts[0]!.tokens).to.be.closeTo(100, 1);
        if (reserved.ok) {
            task.limiter.settle(reserved.value, 150);
            task.limiter.settle(reserved.value, 150);
        }
        expect(task.readStatus(10_000).accounts[0]!.tokens).to.be.closeTo(850, 1);
        setValidUntil(0);
        expect(task.readStatus(10_001).ready).to.equal(false);
        const refused = task.limiter.reserve(buildRequest(10, 10), signal);
        await run(13_000);
        const end = await refused;
        expect(end.ok ? "granted" : end.error.kind).to.equal("notReady");
    });

    it("applies changed limits and immediately discards tokens beyond the new burst", async () => {
        const { task, run, setSettings } = startStandalone();
        await run(20_000);
        const accounts = new Map([["acme", { id: "acme", limits: { rate: 10, burst: 200 }, weight: 1 }]]);
        setSettings({ ...settings, accounts });
        expect(task.readStatus(20_000).accounts[0]).to.include({ tokens: 200, capacity: 200, rate: 10 });
    });

    it("grants load permits up to the in-flight limit, in order of priority", async () => {
        const { task, run } = startStandalone();
        await run(5_000);
        const first = await task.loadBudget.acquire(1, signal);
        const second = await task.loadBudget.acquire(1, signal);
        const order: string[] = [];
        startDetached(task.loadBudget.acquire(1, signal).then(() => order.push("overnight")));
        startDetached(task.loadBudget.acquire(0, signal).then(() => order.push("interactive")));
        await run(5_300);
        expect(order).to.deep.equal([]);
        first?.release();
        first?.release();
        await run(5_400);
        expect(order).to.deep.equal(["interactive"]);
        second?.release();
        await run(6_500);
        expect(order).to.deep.equal(["interactive", "overnight"]);
    });

    it("ends an aborted wait with the error kind aborted", async () => {
        const { task, run } = startStandalone();
        await run(1_000);
        const controller = new AbortController();
        const waiting = task.limiter.reserve(buildRequest(250, 0), controller.signal);
        controller.abort();
        expect(await waiting).to.deep.equal({ ok: false, error: { kind: "aborted" } });
    });
});
