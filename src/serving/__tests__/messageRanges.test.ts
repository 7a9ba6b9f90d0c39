import { expect } from "chai";
import type * as z from "zod";
import { adapterMessageSchema } from "../../adapters/messages.js";
import type { ShardHolders } from "../../adapters/shardHolders.js";
import { forwardingMessageSchema } from "../../forwarding/messages.js";
import type { PeerNetwork } from "../../peers/index.js";
import { quarantineMessageSchema } from "../../quarantine/messages.js";
import { resumptionMessageSchema } from "../../resumption/messages.js";
import { createSystemClock } from "../../shared/index.js";
import { createQuotaClient } from "../quotaClient.js";
import { createQuotaHolder } from "../quotaHolder.js";
import { quotaMessageSchema } from "../quotaMessages.js";
import { relayMessageSchema } from "../relayMessages.js";

const longName = "x".repeat(1_025);
const place = {
    kind: "place",
    shard: 3,
    id: "front-1@1 7",
    service: "llm",
    model: "base",
    excluded: ["i-1/1"],
    priority: 0,
    usefulFor: -500,
    patience: 2_000,
    deadline: 9_000,
    isLoadIgnored: false,
};
const head = {
    status: 200,
    isSigned: true,
    isNotRun: false,
    isLeaving: false,
    isEventStream: true,
    passedHeaders: ["Content-Type", "text/event-stream"],
};
const start = { kind: "start", id: "a 1", run: "i-1/1", method: "POST", target: "/a", headers: ["Host", "a.example"] };
const createHead = (change: object): object => ({
    kind: "events",
    events: [{ kind: "head", head: { ...head, ...change } }],
});

interface RangeCase {
    readonly name: string;
    readonly schema: z.ZodType;
    readonly valid: object;
    readonly changes: readonly object[];
}

const cases: readonly RangeCase[] = [
    {
        name: "places",
        schema: adapterMessageSchema,
        valid: place,
        changes: [
            { shard: 65_536 },
            { id: longName },
            { priority: -1 },
            { patience: 1e308 },
            { usefulFor: -1e308 },
            { deadline: 3e9 },
            { excluded: [longName] },
            { excluded: Array.from({ length: 100_001 }, () => "") },
        ],
    },
    {
        name: "engines with a place",
        schema: adapterMessageSchema,
        valid: { kind: "placed", server: { id: "i-1", startedAt: 17, address: "10.0.0.1:1" }, version: 1 },
        changes: [
            { version: -1 },
            { version: 1.5 },
            { server: { id: "i-1", startedAt: -1, address: "10.0.0.1:1" } },
            { server: { id: "i-1", startedAt: 1e300, address: "10.0.0.1:1" } },
            { server: { id: "i-1", startedAt: 17, address: "10.0.0.1:99999" } },
        ],
    },
    {
        name: "ends of requests",
        schema: adapterMessageSchema,
        valid: {
            kind: "ended",
            id: "1",
            outcome: "answered",
            firstEventAfter: 120,
            eventGap: 60,
            load: { running: 3, waiting: 1, age: 40, slowness: 1.2 },
        },
        changes: [
            { firstEventAfter: -1 },
            { eventGap: 1e308 },
            { load: { running: -1, waiting: 1, age: 40 } },
            { load: { running: 3, waiting: 1, age: -1 } },
            { load: { running: 3, waiting: 1, age: 40, slowness: 1e308 } },
        ],
    },
    {
        name: "loads",
        schema: adapterMessageSchema,
        valid: { kind: "loads", running: 1, waiting: 0, engines: [["llm", 3, 32]] },
        changes: [{ running: -1 }, { waiting: 1e308 }, { engines: [["llm", -1, 32]] }, {
            engines: [["llm", 1, 1e308]],
        }],
    },
    {
        name: "released shards",
        schema: adapterMessageSchema,
        // a sender that has sent no order says so by the largest safe integer, builds before this one too
        valid: { kind: "released", shard: 3, generation: 4, sinceLastOrder: Number.MAX_SAFE_INTEGER },
        changes: [{ generation: -1 }, { generation: 0.5 }, { sinceLastOrder: -1 }, { sinceLastOrder: 1e300 }],
    },
    {
        name: "units of a quota",
        schema: quotaMessageSchema,
        valid: { kind: "take", account: "acme", units: 100, admittedAlone: 0, allowance: 0 },
        changes: [{ units: 1e308 }, { admittedAlone: 1e308 }, { allowance: 1e308 }, { account: longName }],
    },
    {
        name: "admissions",
        schema: quotaMessageSchema,
        valid: { kind: "admitted", delay: 20 },
        changes: [{ delay: "20" }],
    },
    {
        name: "topics of the store",
        schema: relayMessageSchema,
        valid: { kind: "records", records: [["i-1", Buffer.from("v"), 4]], endOffset: 5, age: 20 },
        changes: [
            { endOffset: -1 },
            { endOffset: 1.5 },
            { age: -1 },
            { age: 1e300 },
            { records: [["i-1", Buffer.from("v"), -1]] },
            { records: [[longName, undefined, 1]] },
        ],
    },
    {
        name: "reads of topics",
        schema: relayMessageSchema,
        valid: { kind: "read", topic: "servers", offset: 4, wait: 400 },
        changes: [{ offset: -1 }, { offset: 0.5 }],
    },
    {
        name: "streams",
        schema: resumptionMessageSchema,
        valid: { kind: "began", streams: [{ key: "k", origin: { service: "llm", version: "v1" } }] },
        changes: [
            { streams: [{ key: longName, origin: { service: "llm" } }] },
            { streams: [{ key: "k", origin: { service: longName } }] },
            { streams: [{ key: "k", origin: { service: "llm", version: longName } }] },
        ],
    },
    {
        name: "breaks",
        schema: quarantineMessageSchema,
        valid: {
            kind: "report",
            breaks: [{ run: "i-1/1", age: 3, requests: [{ own: "a", shared: ["b"] }] }],
            alive: ["i-2/1"],
            answers: [{ age: 3, shared: ["b"] }],
            sound: [{ scope: { part: "b" }, age: 3 }],
        },
        changes: [
            { alive: [longName] },
            { breaks: [{ run: "i-1/1", age: 1e300, requests: [] }] },
            { answers: [{ age: -1, shared: [] }] },
            { sound: [{ scope: { part: longName }, age: 3 }] },
        ],
    },
    {
        name: "starts of attempts",
        schema: forwardingMessageSchema,
        valid: start,
        changes: [
            { method: "PO ST" },
            { target: "no-slash" },
            { target: "/a b\r\n" },
            { headers: ["Host"] },
            { headers: ["Host\n", "a"] },
            { headers: ["Host", "a\r\nb: c"] },
            { headers: ["Host", "\u0161"] },
            { run: longName },
        ],
    },
    {
        name: "events of attempts",
        schema: forwardingMessageSchema,
        valid: createHead({ load: { running: 1, waiting: 2, slots: 3 }, retryAfter: 100, contentLength: 3 }),
        changes: [
            createHead({ status: 99 }),
            createHead({ status: 1_000 }),
            createHead({ status: 200.5 }),
            createHead({ contentLength: -1 }),
            createHead({ contentLength: 1.5 }),
            createHead({ load: { running: 1e308, waiting: 0, slots: 1 } }),
            createHead({ requestLimit: -1 }),
            createHead({ passedHeaders: ["a"] }),
            createHead({ passedHeaders: ["a\n", "b"] }),
            createHead({ passedHeaders: ["a", "b\n"] }),
        ],
    },
];

describe("ranges of messages between instances", () => {
    for (const { name, schema, valid, changes } of cases) {
        // guards against values that fail, or ruin a sum, after the message was accepted
        it(`refuse messages about ${name} that are out of them`, () => {
            expect(schema.safeParse(valid).success).to.equal(true);
            for (const change of changes) {
                const shown = JSON.stringify(change).slice(0, 100);
                expect(schema.safeParse({ ...valid, ...change }).success, shown).to.equal(false);
            }
        });
    }

    // guards against a timer that fires at once because it can't keep its duration
    it("shorten waits that no timer can keep", () => {
        expect(quotaMessageSchema.parse({ kind: "exceeded", wait: 1e15 })).to.deep.include({ wait: 2_147_483_647 });
        expect(quotaMessageSchema.parse({ kind: "admitted", delay: -1 })).to.deep.include({ delay: 0 });
        expect(adapterMessageSchema.parse({ kind: "permit", wait: 1e300 })).to.deep.include({ wait: 2_147_483_647 });
        expect(relayMessageSchema.parse({ kind: "read", topic: "servers", wait: 1e300 })).to.deep.include({
            wait: 2_147_483_647,
        });
    });

    // guards against an exception in a request whose quota is held by an instance of another version
    it("treat an unreadable answer about a quota as none", async () => {
        for (const value of [undefined, "text", { kind: "later" }, { kind: "admitted", delay: "long" }]) {
            const holders = {
                find: () => "front-2",
                findFormer: () => undefined,
                listOthers: () => [],
                isSilent: () => false,
                refresh: async () => undefined,
            };
            const network = { request: async () => ({ ok: true, value }) };
            const client = createQuotaClient({
                self: "front-1",
                clock: createSystemClock(),
                findShard: () => 0,
                holders: holders as unknown as ShardHolders,
                isHeld: () => false,
                quotaHolder: createQuotaHolder({ countInstances: () => 2, findShard: () => 0 }),
                network: network as unknown as PeerNetwork,
            });
            const request = { account: "acme", units: 1, admittedAlone: 0, allowance: 0 };
            expect(await client.ask(request), JSON.stringify(value)).to.equal(undefined);
        }
    });
});
