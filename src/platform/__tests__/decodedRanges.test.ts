import { expect } from "chai";
import { decodeEngineReport } from "../engineControlClient.js";
import { createPlatformHeaderCodec } from "../headers.js";
import { decodeOperatorRecord } from "../operatorRecords.js";
import { decodeServerEntry } from "../serverEntry.js";
import { decodeSettings } from "../settings.js";
import { createPlatformStore } from "../store.js";

const encodeJson = (value: unknown): Uint8Array => Buffer.from(JSON.stringify(value), "utf8");
const createNested = (depth: number): string => "[".repeat(depth) + "]".repeat(depth);
const entry = { service: "llm", address: "10.0.0.9:8080", zone: "a", slots: 32, state: "ready", born: 170 };
const route = {
    name: "r",
    host: "a.example",
    path_prefix: "/",
    kind: "safe",
    service: "llm",
    timeout_ms: 800,
    target_latency_ms: 100,
};
const config = { version: 7, routes: [route], services: [{ name: "llm" }], limits: {} };
const report = { born: 170, sequence: 2, models: [], pending: [] };
const settings = {
    node_name: "front-1",
    ip_address: "10.0.0.1",
    zone: "a",
    listen_addresses: { front: "10.0.0.1:1", ready: "10.0.0.1:2" },
    internal_ports: [7600, 7615],
    heartbeat_ms: 1200,
    bounds: { grace_s: 8 },
    platform: { address: "10.0.0.2:3", form: "log", parts: 12 },
};

describe("ranges of what is decoded", () => {
    // guards against numbers that are valid for the type and ruin the sums that they go into
    it("refuse an entry of a server that is out of them, and name the field", () => {
        const changes: readonly (readonly [field: string, change: object])[] = [
            ["slots", { slots: 1e308 }],
            ["slots", { slots: 0 }],
            ["slots", { slots: -3 }],
            ["slots", { slots: 1.5 }],
            ["born", { born: -1 }],
            ["born", { born: 8_640_000_000_000_001 }],
            ["service", { service: "s".repeat(1_025) }],
            ["zone", { zone: "z".repeat(1_025) }],
            ["version", { version: "v".repeat(1_025) }],
            ["models.0.version", { models: [{ name: "base", version: -1 }] }],
            ["models.0.version", { models: [{ name: "base", version: 1e300 }] }],
        ];
        for (const [field, change] of changes) {
            const decoded = decodeServerEntry("i-1", encodeJson({ ...entry, ...change }));
            expect(decoded.ok ? "accepted" : decoded.error.field, JSON.stringify(change).slice(0, 80)).to.equal(field);
        }
    });

    // guards against an id that fails as a header's value at each request to its server
    it("refuse the entry of a server whose id can't be sent in a header", () => {
        for (const id of ["", "i\r\n1", "i 1", "i-\u0161", "i-\u0000", "x".repeat(256)]) {
            expect(decodeServerEntry(id, encodeJson(entry)).ok, JSON.stringify(id)).to.equal(false);
        }
    });

    it("hold for an id that objects have a meaning for", () => {
        for (const id of ["__proto__", "constructor", "toString"]) {
            const decoded = decodeServerEntry(id, encodeJson({ ...entry, service: id }));
            expect(decoded.ok && [decoded.value.id, decoded.value.service]).to.deep.equal([id, id]);
        }
        const text = `{"__proto__":{"slots":9},${JSON.stringify(entry).slice(1)}`;
        const decoded = decodeServerEntry("i-1", Buffer.from(text));
        expect(decoded.ok && decoded.value.slots).to.equal(32);
        expect(({} as { readonly slots?: number; }).slots).to.equal(undefined);
    });

    // guards against a record that takes long, or overflows the stack, before its first field is looked at
    it("refuse a record that is too large or nested too deeply", () => {
        const nested = `{"other":${createNested(100)},${JSON.stringify(entry).slice(1)}`;
        expect(decodeServerEntry("i-1", Buffer.from(nested)).ok).to.equal(false);
        const large = encodeJson({ ...entry, other: "x".repeat(1_048_576) });
        expect(decodeServerEntry("i-1", large).ok).to.equal(false);
        expect(decodeServerEntry("i-1", encodeJson({ ...entry, other: "[".repeat(100) })).ok).to.equal(true);
        expect(decodeOperatorRecord("config", Buffer.from(createNested(100_000))).ok).to.equal(false);
    });

    it("take the version of an adapter only from digits", () => {
        const adapters = ["a@2", "b@1e999", "c@-1", "d@x", "e", "f@9007199254740993000"];
        const decoded = decodeServerEntry("i-1", encodeJson({ ...entry, models: [{ name: "base", adapters }] }));
        expect(decoded.ok && decoded.value.models[0]!.adapters.map(adapter => adapter.version))
            .to.deep.equal([2, 1, 1, 1, 1, 1]);
    });

    // guards against timers that fire at once, and a negative idle time, at which the HTTP server throws
    it("keep the numbers of a configuration, which the store has accepted, within what can be used", () => {
        const decoded = decodeOperatorRecord(
            "config",
            encodeJson({
                ...config,
                routes: [{ ...route, timeout_ms: 1e308, target_latency_ms: -5, max_attempts: 1e308, priority: -1 }],
                services: [{
                    name: "llm",
                    connection_limit: -1,
                    engine: { slots: 0, size_mb: 1e308, adapter_slots: -1, loads_per_s: 0, kv_cache_tokens: 1e308 },
                }],
                limits: { header_bytes: -1, header_timeout_ms: 2_000.5, idle_timeout_ms: -1 },
                tenants: [{ name: "acme", api_keys: [], rate_per_s: 1e308, burst: -1, plain_tokens: 1e308 }],
            }),
        );
        const value = decoded.ok && decoded.value.kind === "configuration" ? decoded.value.config : undefined;
        expect(value!.routes[0]).to.deep.include({
            timeout: 1_000_000_000,
            targetLatency: 0,
            attemptLimit: 1_000_000_000,
            priority: 0,
        });
        const { engine, connectionLimit } = value!.services.get("llm")!;
        expect(connectionLimit).to.equal(0);
        expect(engine).to.deep.include({ batchSlots: 1, memoryMegabytes: 1_000_000_000, adapterSlots: 0 });
        expect(value!.limits).to.deep.include({ headerBytes: 0, headerTimeout: 2_001, idleTimeout: 0 });
        expect(value!.accounts![0]!.quota).to.deep.include({
            ratePerSecond: 1_000_000_000_000,
            burst: 0,
            defaultTokens: 1_000_000_000,
        });
    });

    // guards against an account whose name fails as a header's value at each of its requests
    it("leave out an account whose name can't be sent in a header, and keep the others", () => {
        const tenants = ["acme", "b\n", "\u0161", "Müller & Söhne", "n".repeat(1_025)].map(name => ({
            name,
            api_keys: [name],
        }));
        const decoded = decodeOperatorRecord("config", encodeJson({ ...config, tenants }));
        const value = decoded.ok && decoded.value.kind === "configuration" ? decoded.value.config : undefined;
        expect(value!.accounts!.map(account => account.name)).to.deep.equal(["acme", "Müller & Söhne"]);
    });

    it("refuse an adapter version that is no whole number", () => {
        for (const version of [-1, 1.5, 1e300]) {
            const record = encodeJson({ model: "base", adapter: "a3", version });
            expect(decodeOperatorRecord("version/base.a3", record).ok, String(version)).to.equal(false);
        }
    });

    it("refuse an engine's report that is out of them, and leave out a pending load that names no adapter", () => {
        const changes: readonly object[] = [
            { sequence: -1 },
            { sequence: 1.5 },
            { born: -1 },
            { born: 1.5 },
            { models: [{ name: "base", version: 0.5 }] },
            { pending: ["x".repeat(5_000)] },
        ];
        for (const change of changes) {
            const decoded = decodeEngineReport(200, JSON.stringify({ ...report, ...change }));
            expect(decoded.ok, JSON.stringify(change).slice(0, 80)).to.equal(false);
        }
        const pending = decodeEngineReport(200, JSON.stringify({ ...report, pending: ["base", "base/a@1e999"] }));
        expect(pending.ok && pending.value.pending).to.deep.equal([{ model: "base", adapter: "a", version: 1 }]);
    });

    // guards against a figure that can't be read, which would cost the adapters that the same report states
    it("leave out the load of an engine's report that is out of them", () => {
        const load = { running_requests: 3, queued_requests: 1, kv_cache_used: 500, kv_cache_total: 900 };
        const decode = (change: object): unknown => {
            const decoded = decodeEngineReport(200, JSON.stringify({ ...report, ...load, ...change }));
            return decoded.ok && decoded.value.load;
        };
        expect(decode({})).to.deep.equal({ running: 3, queued: 1, usedTokens: 500, totalTokens: 900 });
        for (const change of [{ running_requests: -1 }, { kv_cache_used: "x" }, { kv_cache_total: 0 }]) {
            expect(decode(change), JSON.stringify(change)).to.equal(undefined);
        }
    });

    it("bound the numbers of headers", () => {
        const codec = createPlatformHeaderCodec(() => undefined);
        const request = codec.decodeRequest("POST", "/a", [
            "X-Oriolehatch-Token-Counts",
            "999999999999999,999999999999999",
            "X-Oriolehatch-Deadline-Ms",
            "999999999999999",
        ]);
        expect(request.tokens).to.deep.equal({ prompt: 1_000_000_000, output: 1_000_000_000 });
        expect(request.deadline).to.equal(2_147_483_647);
        const decodeLoad = (text: string): unknown =>
            codec.decodeResponseHead(200, ["X-Oriolehatch-Server-Load", text]).load;
        expect(decodeLoad("999999999999999,0,8")).to.equal(undefined);
        expect(decodeLoad("3,0,999999999999999")).to.equal(undefined);
        expect(decodeLoad("3,0,8")).to.deep.equal({ running: 3, waiting: 0, slots: 8 });
    });

    // guards against a client whose long name makes holders of engines refuse messages, so that they count as silent
    it("take a model or adapter whose name is too long for messages as none", () => {
        const codec = createPlatformHeaderCodec(() => undefined);
        const decodeChoice = (name: string): unknown =>
            codec.decodeRequest("POST", "/a", ["X-Oriolehatch-Model", name]).choice;
        expect(decodeChoice(`base/${"a".repeat(1_020)}`)).to.equal(undefined);
        expect(decodeChoice("base/a1")).to.deep.equal({ model: "base", adapter: "a1" });
    });

    // guards against a record whose length of the key overflows its byte, so that no reader can decode it
    it("refuse keys that are too long for a record, as names of instances and in appends", async () => {
        const name = "n".repeat(256);
        expect(decodeSettings(JSON.stringify({ ...settings, node_name: name })).ok).to.equal(false);
        const store = createPlatformStore("127.0.0.1:1", () => undefined);
        const written = await store.append("quarantines", name, Buffer.from("{}"));
        store.close();
        expect(written.ok ? "written" : written.error.kind).to.equal("refused");
    });

    // guards against settings whose times make timers fire at once, or make each tick take for ever
    it("keep the settings within what can be used", () => {
        const decoded = decodeSettings(JSON.stringify({
            ...settings,
            limits: { cpu_share: -1 },
            bounds: { grace_s: 1e308, budget_window_s: 0, budget_ratio: -1, quota_over: 1e308 },
        }));
        expect(decoded.ok && decoded.value.bounds).to.deep.include({
            gracePeriod: 1_000_000_000,
            retryWindow: 1,
            retryRatio: 0,
        });
        expect(decoded.ok && decoded.value.cores).to.be.greaterThan(0);
        for (const parts of [0, 1.5, 1e9]) {
            const platform = { ...settings.platform, parts };
            expect(decodeSettings(JSON.stringify({ ...settings, platform })).ok, String(parts)).to.equal(false);
        }
    });
});
