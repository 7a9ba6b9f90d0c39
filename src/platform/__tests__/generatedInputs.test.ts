import { expect } from "chai";
import fc from "fast-check";
import { validateHeaderValue } from "node:http";
import { isIPv4 } from "node:net";
import { parseNetworkAddress } from "../../shared/index.js";
import {
    createOddBytes,
    createOddJson,
    createOddValues,
    inputParameters,
    inputRuns,
    listNumbers,
} from "../../testing/oddInputs.js";
import { decodeEngineReport } from "../engineControlClient.js";
import { createPlatformHeaderCodec } from "../headers.js";
import { decodeKeyedReadResponse, encodeKeyedRecord } from "../logRecords.js";
import { decodeOperatorRecord } from "../operatorRecords.js";
import { decodeServerEntry } from "../serverEntry.js";
import { decodeSettings } from "../settings.js";

const models = [{ name: "base", version: 1, adapters: ["a3@2", "a4"] }];
const entry = {
    service: "llm",
    address: "10.0.0.9:8080",
    zone: "a",
    version: "v1.1",
    slots: 32,
    state: "draining",
    born: 170,
    models,
};
const config = {
    version: 7,
    routes: [{
        name: "r",
        host: "a.example",
        path_prefix: "/",
        kind: "stream",
        split: [{ service: "llm", weight: 90 }],
        timeout_ms: 800,
        target_latency_ms: 100,
        target_gap_ms: 300,
        max_attempts: 2,
        priority: 1,
        can_resume: true,
    }],
    services: [{
        name: "llm",
        connection_limit: 110,
        engine: {
            slots: 32,
            kv_cache_tokens: 9_000,
            size_mb: 75_400,
            adapter_slots: 18,
            loads_per_s: 4.7,
            models: [{ name: "base", size_mb: 72_700, adapter_mb: 66, adapters: 3_000 }],
        },
    }],
    limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "acme", api_keys: ["k"], priority: 1, unit: "tokens", plain_tokens: 2, rate_per_s: 9, burst: 5 }],
};
const report = { born: 170, sequence: 2, models, pending: ["base/a5@3"], busy: false, running_requests: 12 };
const settings = {
    node_name: "front-1",
    ip_address: "10.0.0.1",
    zone: "a",
    bootstrap: true,
    listen_addresses: { front: "10.0.0.1:1", ready: "10.0.0.1:2" },
    internal_ports: [7600, 7615],
    heartbeat_ms: 1200,
    limits: { cpu_share: 0.675, cpu_speed_factor: 1 },
    bounds: {
        drain_ms: 2_000,
        grace_s: 8,
        revoke_ms: 5_000,
        lease_ms: 3_000,
        require_fencing: true,
        version_ms: 5_000,
        budget_ratio: 0.2,
        budget_window_s: 10,
        budget_slack: 56,
        quota_window_s: 8,
        quota_over: 0.1,
        quota_slack: 17_000,
        ceiling_window_s: 5,
    },
    platform: { address: "10.0.0.2:3", form: "log", parts: 12, min_ttl_ms: 1_000 },
};
/** Largest number that is decoded: sums and products of a few stay finite and, where they are whole, exact. */
const largestNumber = 1e16;
/** Fields in which infinity means that there is no limit. */
const unlimitedFields = /\/(kvCacheTokens|memoryMegabytes|connectionLimit)$/;

function expectUsableNumbers(value: unknown): void {
    for (const [path, number] of listNumbers(value)) {
        // a software version is compared only
        const isFree = unlimitedFields.test(path) && number === Infinity || path.endsWith("/softwareVersion");
        expect(isFree || number >= 0 && number <= largestNumber, `${path} ${number}`).to.equal(true);
    }
}

function expectConnectable(address: string): void {
    expect(new URL(`http://${address}`).hostname).to.equal(address.split(":")[0]);
    expect(parseNetworkAddress(address)?.port).to.be.within(1, 65_535);
}

describe(`platform decoders over ${inputRuns} generated inputs each`, function() {
    this.timeout(600_000);

    it("make of an entry of a server one that requests can be sent to, or refuse it", () => {
        const id = fc.oneof({ weight: 3, arbitrary: fc.constant("i-1") }, fc.string({ unit: "binary" }));
        let accepted = 0;
        fc.assert(
            fc.property(id, createOddJson(entry), (key, bytes) => {
                const decoded = decodeServerEntry(key, bytes);
                if (!decoded.ok) {
                    expect(decoded.error.kind).to.equal("unreadable");
                    return;
                }
                accepted++;
                const server = decoded.value;
                expectConnectable(server.address);
                expectUsableNumbers(server);
                validateHeaderValue("expected", server.id);
                expect(server.id).to.equal(key);
                expect(server.slots).to.be.within(1, 65_536);
                expect(Number.isSafeInteger(server.slots) && Number.isSafeInteger(server.startedAt)).to.equal(true);
                server.models.forEach(model =>
                    model.adapters.forEach(adapter => expect(adapter.version).to.be.at.least(1))
                );
            }),
            inputParameters,
        );
        expect(accepted).to.be.greaterThan(inputRuns / 20);
    });

    it("make of an operator's record one whose numbers timers, headers and sums take, or refuse it", () => {
        let accepted = 0;
        const record = fc.oneof(
            { weight: 3, arbitrary: createOddJson(config).map(bytes => ["config", bytes] as const) },
            createOddJson({ model: "base", adapter: "a3", version: 5 }).map(bytes =>
                ["version/base.a3", bytes] as const
            ),
        );
        fc.assert(
            fc.property(record, ([key, bytes]) => {
                const decoded = decodeOperatorRecord(key, bytes);
                if (!decoded.ok) {
                    return;
                }
                accepted++;
                expectUsableNumbers({ ...decoded.value, version: 0 });
                if (decoded.value.kind !== "configuration") {
                    return;
                }
                const { accounts, limits, routes, services } = decoded.value.config;
                accounts?.forEach(account => validateHeaderValue("account", account.name));
                expect(Number.isInteger(limits.headerTimeout)).to.equal(true);
                expect(limits.idleTimeout).to.be.at.most(2_000_000_000);
                routes.forEach(route => {
                    expect(Math.max(route.timeout, route.targetLatency, route.targetEventGap ?? 0))
                        .to.be.at.most(2_000_000_000);
                    expect(route.targets.length).to.be.greaterThan(0);
                });
                services.forEach(({ engine }) => expect(engine?.batchSlots ?? 1).to.be.at.least(1));
            }),
            inputParameters,
        );
        expect(accepted).to.be.greaterThan(inputRuns / 20);
    });

    it("make of an engine's report whole numbers, or refuse it", () => {
        let accepted = 0;
        fc.assert(
            fc.property(createOddJson(report), bytes => {
                const decoded = decodeEngineReport(200, bytes.toString("utf8"));
                if (decoded.ok) {
                    accepted++;
                    expectUsableNumbers(decoded.value);
                    listNumbers(decoded.value).forEach(([, number]) => expect(number % 1).to.equal(0));
                }
            }),
            inputParameters,
        );
        expect(accepted).to.be.greaterThan(inputRuns / 20);
    });

    it("make of headers finite numbers that aren't negative, or leave them out", () => {
        const codec = createPlatformHeaderCodec(() => undefined);
        const names = [
            "X-Oriolehatch-Attempt-Id",
            "X-Oriolehatch-Deadline-Ms",
            "X-Oriolehatch-Token-Counts",
            "X-Oriolehatch-Prompt-Prefix",
            "X-Oriolehatch-Model",
            "X-Oriolehatch-Server-Load",
            "Last-Event-Id",
            "Resumes",
            "Server-Limit",
            "Retry-After",
            "Content-Length",
            "Connection",
            "Host",
            "__proto__",
        ];
        const number = fc.oneof(fc.nat().map(String), fc.bigInt({ min: 0n, max: 10n ** 20n }).map(String), fc.string());
        const value = fc.oneof(
            fc.string({ unit: "binary" }),
            number,
            fc.tuple(number, number, number).map(parts => parts.join()),
            fc.constantFrom("1e999", "-1", "NaN", "Infinity", "0x10", "a:1,b:2", "5c1e07a2:800,91bd3f06:410", "1.5"),
        );
        const raw = fc.array(fc.tuple(fc.constantFrom(...names), value), { maxLength: 8 });
        fc.assert(
            fc.property(raw, fc.constantFrom(200, 503, 421), (headers, status) => {
                const request = codec.decodeRequest("POST", "/a", headers.flat());
                expectUsableNumbers(request);
                expect(request.deadline ?? 0).to.be.at.most(2_147_483_647);
                const head = codec.decodeResponseHead(status, headers.flat());
                expectUsableNumbers(head);
                expect(head.retryAfter ?? 0).to.be.at.most(600_000);
                expect(head.load?.slots ?? 0).to.be.at.most(65_536);
            }),
            inputParameters,
        );
    });

    it("make of settings addresses to listen at and to call, and times that timers take, or refuse them", () => {
        let accepted = 0;
        fc.assert(
            fc.property(createOddJson(settings), bytes => {
                const decoded = decodeSettings(bytes.toString("utf8"));
                if (!decoded.ok) {
                    expect(decoded.error.detail).to.not.equal("");
                    return;
                }
                accepted++;
                const value = decoded.value;
                expectUsableNumbers(value);
                expectConnectable(value.storeAddress);
                expect(isIPv4(value.host)).to.equal(true);
                [value.clientAddress, value.readinessAddress].forEach(address =>
                    expect(parseNetworkAddress(address, 0)).to.not.equal(undefined)
                );
                expect(value.peerPort).to.be.within(0, 65_535);
                expect(value.engineShardCount).to.be.within(1, 65_536);
                expect(value.cores).to.be.greaterThan(0);
                expect(1 / value.bounds.retryWindow + 1 / value.bounds.quotaWindow).to.be.lessThan(Infinity);
            }),
            inputParameters,
        );
        expect(accepted).to.be.greaterThan(inputRuns / 20);
    });

    it("make of the response to a read the records that can be read, at their offsets, or refuse it", () => {
        const page = Buffer.concat([
            Buffer.alloc(16),
            encodeKeyedRecord("config", Buffer.from("value")),
            encodeKeyedRecord("__proto__", undefined),
            encodeKeyedRecord("i-1", Buffer.from("v")),
        ]);
        fc.assert(
            fc.property(createOddBytes(page), fc.nat(), (bytes, from) => {
                const refused: number[] = [];
                const decoded = decodeKeyedReadResponse(bytes, from, offset => refused.push(offset));
                if (decoded.ok) {
                    const offsets = [...refused, ...decoded.value.records.map(record => record.offset)].sort(
                        (left, right) => left - right,
                    );
                    expect(offsets).to.deep.equal(offsets.map((unused, index) => from + index));
                    expect(decoded.value.endOffset).to.equal(from + offsets.length);
                }
            }),
            inputParameters,
        );
    });

    it("don't end at values that no JSON has", () => {
        fc.assert(
            fc.property(createOddValues(entry), value => {
                const text = String(typeof value === "string" ? value : typeof value);
                expect(decodeServerEntry("i-1", Buffer.from(text)).ok).to.equal(false);
            }),
            inputParameters,
        );
    });
});
