import { expect } from "chai";
import { decodeKeyedReadResponse, encodeKeyedRecord } from "../logRecords.js";
import { decodeOperatorDeletion, decodeOperatorRecord } from "../operatorRecords.js";
import { decodeServerEntry } from "../serverEntry.js";
import { decodeSettings } from "../settings.js";

const encodeJson = (value: unknown): Uint8Array => Buffer.from(JSON.stringify(value), "utf8");
const offsets = Buffer.alloc(16);

describe("platform records", () => {
    it("decodes encoded records of a keyed topic", () => {
        const bytes = Buffer.concat([
            offsets,
            encodeKeyedRecord("config", Buffer.from("v")),
            encodeKeyedRecord("i-1", undefined),
        ]);
        const read = decodeKeyedReadResponse(bytes, 7);
        expect(read).to.deep.equal({
            ok: true,
            value: {
                records: [
                    { key: "config", value: Buffer.from("v"), offset: 7 },
                    { key: "i-1", value: undefined, offset: 8 },
                ],
                endOffset: 9,
            },
        });
    });

    it("refuses a read response that is truncated at any byte", () => {
        const whole = Buffer.concat([offsets, encodeKeyedRecord("key", Buffer.from("value"))]);
        for (let length = 0; length < whole.length; length++) {
            const read = decodeKeyedReadResponse(whole.subarray(0, length), 0);
            expect(read.ok, `first ${length} bytes`).to.equal(length === offsets.length);
        }
    });

    it("decodes a configuration", () => {
        const decoded = decodeOperatorRecord(
            "config",
            encodeJson({
                version: 7,
                routes: [
                    {
                        name: "r1",
                        host: "Shop.example",
                        path_prefix: "/a/",
                        kind: "unsafe",
                        service: "orders",
                        timeout_ms: 800,
                        target_latency_ms: 100,
                    },
                    {
                        name: "r2",
                        host: "shop.example",
                        path_prefix: "/b/",
                        kind: "stream",
                        split: [{ service: "llm", weight: 90 }, { service: "orders", weight: 0 }],
                        timeout_ms: 12_000,
                        target_latency_ms: 600,
                        target_gap_ms: 300,
                        max_attempts: 2,
                        priority: 1,
                        can_resume: true,
                    },
                ],
                services: [
                    { name: "orders", connection_limit: 110 },
                    {
                        name: "llm",
                        engine: {
                            slots: 32,
                            size_mb: 75_400,
                            adapter_slots: 18,
                            loads_per_s: 4.7,
                            models: [{ name: "base", size_mb: 72_700, adapter_mb: 66, adapters: 3_000 }],
                        },
                    },
                ],
                limits: { idle_timeout_ms: 15_000 },
                tenants: [
                    { name: "acme", api_keys: ["k1"], unit: "tokens", plain_tokens: 200, rate_per_s: 100, burst: 50 },
                    { name: "free", api_keys: [] },
                ],
            }),
        );
        expect(decoded.ok && decoded.value.kind).to.equal("configuration");
        const config = decoded.ok && decoded.value.kind === "configuration" ? decoded.value.config : undefined;
        expect(config!.routes.map(route => [route.host, route.kind, route.targets])).to.deep.equal([
            ["shop.example", "once", [{ service: "orders", weight: 1 }]],
            ["shop.example", "stream", [{ service: "llm", weight: 90 }]],
        ]);
        expect(config!.services.get("llm")!.engine).to.deep.include({ batchSlots: 32, adapterSlots: 18 });
        expect(config!.accounts).to.deep.equal([
            {
                name: "acme",
                keys: ["k1"],
                priority: undefined,
                quota: { unit: "tokens", ratePerSecond: 100, burst: 50, defaultTokens: 200 },
            },
            { name: "free", keys: [], priority: undefined, quota: undefined },
        ]);
    });

    it("decodes an adapter version and ignores other keys", () => {
        const named = { model: "base", adapter: "a3", version: 5 };
        expect(decodeOperatorRecord("version/base.a3", encodeJson(named))).to.deep.equal({
            ok: true,
            value: { kind: "adapterVersion", ...named },
        });
        expect(decodeOperatorRecord("notes", Buffer.from("\xff"))).to.deep.equal({
            ok: true,
            value: { kind: "other" },
        });
        expect(decodeOperatorRecord("config", Buffer.from("{")).ok).to.equal(false);
    });

    // guards against an evacuation that is taken for something else, or for another domain, and one whose end isn't seen
    it("decodes an evacuation, and its withdrawal from the deletion of the key", () => {
        const requested = decodeOperatorRecord("evacuate/east/1", encodeJson({}));
        expect(requested).to.deep.equal({
            ok: true,
            value: { kind: "evacuation", domain: "east/1", isRequested: true },
        });
        expect(decodeOperatorDeletion("evacuate/east/1")).to.deep.equal({
            kind: "evacuation",
            domain: "east/1",
            isRequested: false,
        });
        expect(decodeOperatorDeletion("config")).to.deep.equal({ kind: "other" });
        for (const value of ["[]", "7", "{", ""]) {
            expect(decodeOperatorRecord("evacuate/a", Buffer.from(value)).ok, value).to.equal(false);
        }
    });

    // guards against homes that are dropped, and an empty list that allows no region instead of all
    it("decodes the homes of routes and accounts, of which a missing or empty list sets none", () => {
        const route = {
            name: "r",
            host: "h",
            path_prefix: "/",
            kind: "safe",
            service: "s",
            timeout_ms: 1,
            target_latency_ms: 1,
        };
        const lists = [["eu", "us"], [], undefined];
        const decoded = decodeOperatorRecord(
            "config",
            encodeJson({
                version: 1,
                routes: lists.map(regions => ({ ...route, allowed_regions: regions })),
                services: [],
                tenants: lists.map((regions, index) => ({ name: `t${index}`, allowed_regions: regions })),
                limits: {},
            }),
        );
        const config = decoded.ok && decoded.value.kind === "configuration" ? decoded.value.config : undefined;
        const expected = [["eu", "us"], undefined, undefined];
        expect(config!.routes.map(({ allowedRegions }) => allowedRegions)).to.deep.equal(expected);
        expect(config!.accounts!.map(({ allowedRegions }) => allowedRegions)).to.deep.equal(expected);
    });

    it("decodes the entry of a server", () => {
        const entry = decodeServerEntry(
            "i-1",
            encodeJson({
                service: "llm",
                address: "10.0.0.9:8080",
                zone: "a",
                version: "v1.1",
                slots: 32,
                state: "draining",
                born: 170,
                models: [{ name: "base", version: 1, adapters: ["a3@2", "a4"] }],
            }),
        );
        expect(entry).to.deep.equal({
            ok: true,
            value: {
                id: "i-1",
                startedAt: 170,
                service: "llm",
                address: "10.0.0.9:8080",
                failureDomain: "a",
                isDraining: true,
                softwareVersion: "v1.1",
                slots: 32,
                models: [{
                    name: "base",
                    version: 1,
                    adapters: [{ name: "a3", version: 2 }, { name: "a4", version: 1 }],
                }],
            },
        });
    });

    // guards against a server that is lost for an unreadable time, and a configuration with one that comes into force
    it("decodes what servers and services state of coldness, and tells what can't be read", () => {
        const entry = { service: "llm", address: "10.0.0.9:8080", zone: "a", state: "ready" };
        const decodeCold = (remaining: unknown): unknown => {
            const decoded = decodeServerEntry("i-1", encodeJson({ ...entry, cold_remaining_ms: remaining }));
            return decoded.ok ? decoded.value.coldFor : decoded.error.kind;
        };
        expect([9_000, 0, undefined].map(decodeCold)).to.deep.equal([9_000, 0, undefined]);
        expect([-1, "soon", {}].map(decodeCold)).to.deep.equal(["unreadable", "unreadable", "unreadable"]);
        const decodeService = (service: object): unknown => {
            const value = { version: 1, routes: [], services: [{ name: "llm", ...service }], limits: {} };
            const decoded = decodeOperatorRecord("config", encodeJson(value));
            const config = decoded.ok && decoded.value.kind === "configuration" ? decoded.value.config : undefined;
            const found = config?.services.get("llm");
            return found ? [found.coldStart, found.coldPerSecond] : "refused";
        };
        const services = [{ cold_start_s: 12, cold_per_s: 7 }, { cold_start_s: 12 }, {
            cold_start_s: 12,
            cold_per_s: 0,
        }];
        expect(services.map(decodeService)).to.deep.equal([[12_000, 7], [undefined, undefined], [
            undefined,
            undefined,
        ]]);
        expect([{ cold_start_s: -1 }, { cold_per_s: "x" }].map(decodeService)).to.deep.equal(["refused", "refused"]);
    });

    it("keeps the software version of a server as it stands", () => {
        const decodeVersion = (version: unknown): unknown => {
            const entry = { service: "llm", address: "10.0.0.9:8080", zone: "a", state: "ready", version };
            const decoded = decodeServerEntry("i-1", encodeJson(entry));
            return decoded.ok ? decoded.value.softwareVersion : decoded.error.kind;
        };
        expect(["v1", "1", 1, 1.5, undefined].map(decodeVersion)).to.deep.equal(["v1", "1", 1, 1.5, undefined]);
        expect([{}, ["v1"], true].map(decodeVersion)).to.deep.equal(["unreadable", "unreadable", "unreadable"]);
    });

    it("refuses invalid entries", () => {
        const validEntry = { service: "llm", address: "10.0.0.9:8080", zone: "a", slots: 1, state: "ready" };
        const invalidEntries: unknown[] = [
            { ...validEntry, state: "resting" },
            { ...validEntry, address: 8080 },
            { ...validEntry, service: undefined },
            { ...validEntry, address: "server.example:80" },
            [],
            "text",
            17,
        ];
        for (const entry of invalidEntries) {
            expect(decodeServerEntry("i-1", encodeJson(entry)).ok, JSON.stringify(entry)).to.equal(false);
        }
        expect(decodeServerEntry("i-1", Buffer.from([0xff, 0xfe])).ok).to.equal(false);
    });

    // guards against an entry that is accepted by its look and ends processes at the first connection to its server
    it("refuses an entry with an address that is none for the network", () => {
        const entry = { service: "llm", zone: "a", slots: 1, state: "ready" };
        for (const address of ["127.0.0.1:99999", "127.0.0.1:0", "999.1.1.1:80", "127.0.0.01:80", "10.0.0.9:080"]) {
            expect(decodeServerEntry("i-1", encodeJson({ ...entry, address })).ok, address).to.equal(false);
        }
    });

    it("describes the mistake in invalid settings", () => {
        expect(decodeSettings("{")).to.deep.equal({
            ok: false,
            error: { kind: "invalidSettings", detail: "the settings file is not valid JSON" },
        });
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
        const decoded = decodeSettings(JSON.stringify(settings));
        expect(decoded.ok && decoded.value.bounds.gracePeriod).to.equal(8_000);
        const cold = decodeSettings(JSON.stringify({ ...settings, bounds: { cold_over: 1.5, cold_slack: 5 } }));
        expect(cold.ok && cold.value.bounds).to.deep.include({ coldExcessFactor: 1.5, coldExcessAllowance: 5 });
        expect(decoded.ok && [decoded.value.region, decoded.value.bounds.evacuationDelay]).to.deep.equal([
            undefined,
            5_000,
        ]);
        const placed = decodeSettings(JSON.stringify({ ...settings, zones: { a: "eu", b: "us" } }));
        expect(placed.ok && [placed.value.region, [...placed.value.regionsByDomain]]).to.deep.equal([
            undefined,
            [["a", "eu"], ["b", "us"]],
        ]);
        const otherForm = { ...settings, platform: { ...settings.platform, form: "table" } };
        const refused = decodeSettings(JSON.stringify(otherForm));
        expect(refused.ok ? "" : refused.error.detail).to.equal(
            'platform.form: only the log interface of the store is supported; set it to "log"',
        );
    });

    // guards against settings that fail only when the process listens or calls the store
    it("refuses settings with addresses and ports that are none for the network", () => {
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
        const changed: readonly (readonly [field: string, change: object])[] = [
            ["ip_address", { ip_address: "10.0.0.999" }],
            ["listen_addresses.front", { listen_addresses: { front: "10.0.0.1:99999", ready: "10.0.0.1:2" } }],
            ["listen_addresses.ready", { listen_addresses: { front: "10.0.0.1:1", ready: "10.0.0.1" } }],
            ["internal_ports.0", { internal_ports: [70_000, 70_001] }],
            ["platform.address", { platform: { ...settings.platform, address: "store:8225" } }],
        ];
        for (const [field, change] of changed) {
            const decoded = decodeSettings(JSON.stringify({ ...settings, ...change }));
            expect(decoded.ok ? "accepted" : decoded.error.detail.split(":")[0]).to.equal(field);
        }
    });
});
