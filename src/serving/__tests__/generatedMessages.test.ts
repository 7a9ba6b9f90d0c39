import { expect } from "chai";
import fc from "fast-check";
import { validateHeaderName, validateHeaderValue } from "node:http";
import type * as z from "zod";
import { adapterMessageSchema } from "../../adapters/messages.js";
import { forwardingMessageSchema } from "../../forwarding/messages.js";
import { createFrameCodec } from "../../peers/index.js";
import { quarantineMessageSchema } from "../../quarantine/messages.js";
import { createQuarantineList } from "../../quarantine/quarantineList.js";
import { formatScopeKey } from "../../quarantine/types.js";
import { resumptionMessageSchema } from "../../resumption/messages.js";
import { createStreamArchive } from "../../resumption/streamArchive.js";
import { createSystemClock, parseNetworkAddress, wrapValue } from "../../shared/index.js";
import {
    createOddBytes,
    createOddJson,
    createOddValues,
    inputParameters,
    inputRuns,
    listNumbers,
} from "../../testing/oddInputs.js";
import { createInstanceDirectory } from "../instanceDirectory.js";
import { quotaMessageSchema } from "../quotaMessages.js";
import { relayMessageSchema } from "../relayMessages.js";

const largestNumber = 1e16;
const longestTimer = 2_147_483_647;
/** Durations that become those of timers. */
const timerFields = /\/(wait|delay|patience|usefulFor|deadline|retryAfter)$/;
/** Times left, which are negative when they are over. */
const signedFields = /\/(patience|usefulFor|deadline)$/;
const service = "llm";
const origin = { service, version: "v1" };
const head = {
    status: 200,
    attemptId: "9c41",
    isSigned: true,
    isNotRun: false,
    load: { running: 1, waiting: 2, slots: 3 },
    requestLimit: 4.5,
    retryAfter: 100,
    isLeaving: false,
    isEventStream: true,
    contentLength: 7,
    passedHeaders: ["Content-Type", "text/event-stream"],
};
const scope = { kind: "part", part: "b", account: "acme" };

const messages: readonly (readonly [name: string, schema: z.ZodType, valid: readonly object[]])[] = [
    ["adapters", adapterMessageSchema, [
        {
            kind: "place",
            shard: 3,
            id: "front-1@1 7",
            service,
            model: "base",
            adapter: "a1",
            softwareVersion: "v1",
            excluded: ["i-1/1"],
            allowed: ["i-2/1"],
            priority: 0,
            usefulFor: -500,
            patience: 2_000,
            deadline: 9_000,
            isLoadIgnored: false,
        },
        { kind: "placed", server: { id: "i-1", startedAt: 17, address: "10.0.0.1:1" }, version: 1 },
        {
            kind: "ended",
            id: "front-1@1 7",
            outcome: "answered",
            firstEventAfter: 120,
            eventGap: 60,
            load: { running: 3, waiting: 1, age: 40, slowness: 1.2 },
        },
        { kind: "began", id: "front-1@1 7", firstEventAfter: 120 },
        { kind: "busy", load: 1.5 },
        { kind: "limit", run: "i-1/1", requestsPerSecond: 7.5 },
        { kind: "askPermit", shard: 1, run: "i-1/1", requestsPerSecond: 7.5 },
        { kind: "permit", wait: 3 },
        { kind: "holders", holders: [[1, "front-1"]] },
        { kind: "loads", running: 1, waiting: 0, engines: [[service, 3, 32]] },
        { kind: "released", shard: 3, generation: 4, sinceLastOrder: 20 },
    ]],
    ["quotas", quotaMessageSchema, [
        { kind: "take", account: "acme", units: 100, admittedAlone: 1, allowance: 2, isResumed: true },
        { kind: "admitted", delay: 20 },
        { kind: "exceeded", wait: 20 },
        { kind: "giveBack", account: "acme", units: 3 },
        { kind: "present", shards: [1, 2] },
    ]],
    ["topics of the store", relayMessageSchema, [
        { kind: "read", topic: "servers", offset: 4, wait: 400 },
        { kind: "records", records: [["i-1", Buffer.from("v"), 4], ["i-2", undefined, 5]], endOffset: 6, age: 20 },
    ]],
    ["streams", resumptionMessageSchema, [
        { kind: "began", streams: [{ key: "k", origin }], isCopy: true },
        { kind: "askOrigin", key: "k", services: [service] },
        { kind: "origin", origin, origins: [origin], isComplete: true },
    ]],
    ["quarantines", quarantineMessageSchema, [
        {
            kind: "report",
            breaks: [{ run: "i-1/1", service, age: 3, requests: [{ digest: "d", own: "a", shared: ["b"] }] }],
            alive: ["i-2/1"],
            answers: [{ account: "acme", digest: "d", age: 3, shared: ["b"] }],
            sound: [{ scope, age: 3 }],
        },
        { kind: "suspects", scopes: [scope, { kind: "request", digest: "d" }] },
    ]],
    ["forwarded attempts", forwardingMessageSchema, [
        { kind: "askReach", runs: ["i-1/1"], age: 3 },
        {
            kind: "start",
            id: "a 1",
            run: "i-1/1",
            attemptId: "9c41",
            method: "POST",
            target: "/a?b",
            headers: ["Host", "a.example"],
            body: Buffer.from("body"),
        },
        {
            kind: "events",
            events: [{ kind: "head", head }, { kind: "data", chunk: Buffer.from("d") }, { kind: "end" }],
        },
        { kind: "keep", id: "a 1" },
        { kind: "refused", reason: "no room" },
    ]],
];

function expectUsable(message: unknown): void {
    for (const [path, number] of listNumbers(message)) {
        // a software version is compared only
        if (/\/(softwareVersion|origin.*\/version|origins.*\/version)$/.test(path)) {
            expect(Number.isFinite(number), path).to.equal(true);
            continue;
        }
        const lowest = signedFields.test(path) ? -longestTimer : 0;
        const highest = timerFields.test(path) ? longestTimer : largestNumber;
        expect(number >= lowest && number <= highest, `${path} ${number}`).to.equal(true);
    }
}

function expectWritable(headers: readonly string[]): void {
    expect(headers.length % 2).to.equal(0);
    headers.forEach((text, index) => index % 2 === 0 ? validateHeaderName(text) : validateHeaderValue("name", text));
}

describe(`decoders between instances over ${inputRuns} generated inputs each`, function() {
    this.timeout(600_000);

    for (const [name, schema, valid] of messages) {
        it(`make of messages about ${name} what can be used, or refuse them`, () => {
            let accepted = 0;
            fc.assert(
                fc.property(fc.oneof(...valid.map(message => createOddValues(message))), value => {
                    const parsed = schema.safeParse(value);
                    if (!parsed.success) {
                        return;
                    }
                    accepted++;
                    expectUsable(parsed.data);
                    const message = parsed.data as Record<string, unknown>;
                    if (message["kind"] === "placed") {
                        const { address } = message["server"] as { readonly address: string; };
                        expect(new URL(`http://${address}`).hostname).to.equal(parseNetworkAddress(address)?.host);
                    }
                    if (message["kind"] === "start") {
                        expectWritable(message["headers"] as string[]);
                        expect(String(message["target"])[0]).to.equal("/");
                    }
                    const events = (message["events"] ?? []) as {
                        readonly kind: string;
                        readonly head?: typeof head;
                    }[];
                    events.filter(event => event.kind === "head").forEach(event => {
                        expectWritable(event.head!.passedHeaders);
                        expect(event.head!.status).to.be.within(100, 999);
                    });
                }),
                inputParameters,
            );
            expect(accepted).to.be.greaterThan(inputRuns / 20);
        });
    }

    it("make of bytes a frame, or refuse them", () => {
        const frame = createFrameCodec().encode({
            kind: "request",
            id: 7,
            topic: "quotas",
            body: { kind: "notHolder" },
        });
        const bytes = fc.oneof(createOddBytes(Buffer.from(frame)), fc.uint8Array({ maxLength: 64 }));
        fc.assert(
            fc.property(bytes, received => {
                expect(createFrameCodec().decode(received).ok).to.be.a("boolean");
            }),
            inputParameters,
        );
    });

    it("make of an entry of an instance one that can be connected to, or leave it out", () => {
        const entry = { address: "10.0.0.2:1", failureDomain: "a", cores: 1 };
        let accepted = 0;
        fc.assert(
            fc.property(createOddJson(entry), value => {
                const directory = createInstanceDirectory({ ...entry, id: "front-0", address: "10.0.0.1:1" });
                directory.replaceAll([{ key: "front-1", value: Buffer.from(JSON.stringify(entry)), offset: 0 }]);
                directory.applyRecord({ key: "front-2", value, offset: 1 });
                expect(directory.findAddress("front-1")).to.equal(entry.address);
                const address = directory.findAddress("front-2");
                if (address !== undefined) {
                    accepted++;
                    expect(new URL(`ws://${address}`).hostname).to.equal(parseNetworkAddress(address)?.host);
                    expectUsable(directory.listOthers());
                }
                expect(directory.isAmongLargest(3)).to.equal(true);
            }),
            inputParameters,
        );
        expect(accepted).to.be.greaterThan(inputRuns / 20);
    });

    it("make of a record of a quarantine one with a time, or leave it out", () => {
        let accepted = 0;
        const record = { ...scope, trials: 1 };
        fc.assert(
            fc.property(createOddJson(record), value => {
                const list = createQuarantineList();
                list.apply({ key: "odd", value }, 0);
                list.apply({ key: "b acme", value: Buffer.from(JSON.stringify(record)) }, 0);
                list.list().forEach(quarantine => expectUsable(quarantine));
                accepted += list.list().length - 1;
                const request = { prompt: { shared: ["b"], own: "c" }, account: "acme", digest: "d" };
                expect(list.decide(request, 1_000)).to.deep.include({ kind: "quarantined", remaining: 59_000 });
                expect(list.list().map(formatScopeKey)).to.include("b acme");
            }),
            inputParameters,
        );
        expect(accepted).to.be.greaterThan(inputRuns / 20);
    });

    it("make of records of streams their origins, or pass over them", async () => {
        const record = { streams: [{ origin, keys: ["k"] }] };
        const first = Buffer.from(JSON.stringify({ streams: [{ origin, keys: ["first"] }] }));
        await fc.assert(
            fc.asyncProperty(createOddJson(record), async value => {
                const archive = createStreamArchive(createSystemClock(), {
                    append: async () => wrapValue(undefined),
                    readAll: async () => wrapValue([value, first]),
                });
                await archive.load();
                expect(await archive.find("first")).to.deep.equal(origin);
                expectUsable({ origin: await archive.find("k") });
            }),
            inputParameters,
        );
    });
});
