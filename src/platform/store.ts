/**
 * Calls to the platform's store: keyed topics and groups.
 *
 * @packageDocumentation
 */
import { Pool } from "undici";
import { z } from "zod";
import type { ShardGroup, ShardMembership } from "../adapters/types.js";
import type { KeyedLog, KeyedRecord, KeyedSnapshot, KeyedTopic, StoreError } from "../serving/types.js";
import { type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";
import { type HttpAnswer, type HttpCall, sendCall } from "./httpCall.js";
import { decodeKeyedRead, encodeKeyedRecord } from "./logRecords.js";

/** The store as the product uses it. */
export interface PlatformStore extends KeyedLog {
    readonly shards: ShardGroup;
    readonly close: () => void;
}

const topicNames: Readonly<Record<KeyedTopic, string>> = {
    configuration: "keyed.op",
    servers: "keyed.servers",
    instances: "keyed.oriolehatch-instances",
};
const shardTopic = "oriolehatch-engine-shards";
const shardGroupName = "oriolehatch-engines";
const shortCallTimeoutMilliseconds = 700;
/** Beyond the wait that a read asks for; a slower answer counts as lost. */
const readSlackMilliseconds = 600;
const connectTimeoutMilliseconds = 700;
const connectionLimit = 8;
const expiredStatus = 410;

const pageSchema = z.object({
    items: z.array(z.object({ key: z.string(), value: z.string().nullish(), offset: z.number() })),
    has_more: z.boolean().default(false),
    end_offset: z.number(),
});
const membershipSchema = z.object({
    generation: z.number(),
    // rows of topic, partition and committed offset
    parts: z.array(z.tuple([z.string(), z.number()]).rest(z.unknown())),
});

/**
 * Creates the client of the store.
 *
 * @param address - IP and port
 * @returns the client; nothing is opened before the first call
 */
export function createPlatformStore(address: string): PlatformStore {
    const pool = new Pool(`http://${address}`, {
        connections: connectionLimit,
        pipelining: 1,
        connectTimeout: connectTimeoutMilliseconds,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const call = (httpCall: HttpCall): Promise<Result<Buffer, StoreError>> => callStore(pool, httpCall);
    return {
        readNewest: topic => readAllPages(call, topicNames[topic]),
        readFrom: async (topic, offset, wait) => {
            const path = `/log-read?topic=${topicNames[topic]}&part=0&from=${offset}&wait_ms=${wait}`;
            const answer = await call({ method: "GET", path, timeout: wait + readSlackMilliseconds });
            if (!answer.ok) {
                return answer;
            }
            const decoded = decodeKeyedRead(answer.value, offset);
            return decoded.ok ? decoded : wrapError({ kind: "unreachable", detail: decoded.error.detail });
        },
        append: async (topic, key, value) => {
            const answer = await call({
                method: "POST",
                path: `/log-append?topic=${topicNames[topic]}&part=0`,
                body: encodeKeyedRecord(key, value),
                timeout: shortCallTimeoutMilliseconds,
            });
            return answer.ok ? wrapValue(undefined) : answer;
        },
        shards: createShardGroup(call),
        close: () => void pool.destroy(),
    };
}

type StoreCall = (httpCall: HttpCall) => Promise<Result<Buffer, StoreError>>;

async function callStore(pool: Pool, httpCall: HttpCall): Promise<Result<Buffer, StoreError>> {
    const answer = await sendCall(pool, httpCall);
    if (!answer.ok) {
        return wrapError({ kind: "unreachable", detail: answer.error.detail });
    }
    return checkStatus(answer.value);
}

function checkStatus(answer: HttpAnswer): Result<Buffer, StoreError> {
    switch (answer.status) {
        case 200:
            return wrapValue(answer.body);
        case expiredStatus:
            return wrapError({ kind: "expired" });
        case 429:
        case 503:
            return wrapError({ kind: "busy", status: answer.status });
        default:
            return wrapError({ kind: "refused", status: answer.status, detail: answer.body.toString("utf8", 0, 200) });
    }
}

async function readAllPages(call: StoreCall, topic: string): Promise<Result<KeyedSnapshot, StoreError>> {
    const records: KeyedRecord[] = [];
    let after = "";
    // pages are no snapshot: reading goes on from the end that the first one told
    let endOffset: number | undefined;
    for (;;) {
        const path = `/log-newest?topic=${topic}&part=0${after === "" ? "" : `&after=${encodeURIComponent(after)}`}`;
        const answer = await call({ method: "GET", path, timeout: shortCallTimeoutMilliseconds });
        if (!answer.ok) {
            return answer;
        }
        const page = decodePage(answer.value);
        if (!page.ok) {
            return page;
        }
        records.push(...page.value.records);
        endOffset ??= page.value.endOffset;
        const last = page.value.records.at(-1);
        if (!page.value.hasMore || !last) {
            return wrapValue({ records, endOffset });
        }
        after = last.key;
    }
}

interface NewestPage extends KeyedSnapshot {
    readonly hasMore: boolean;
}

function decodePage(body: Buffer): Result<NewestPage, StoreError> {
    const parsed = decodeJson(pageSchema, body);
    if (!parsed.ok) {
        return parsed;
    }
    const records = parsed.value.items.map(item => ({
        key: item.key,
        value: typeof item.value === "string" ? Buffer.from(item.value, "base64") : undefined,
        offset: item.offset,
    }));
    return wrapValue({ records, endOffset: parsed.value.end_offset, hasMore: parsed.value.has_more });
}

function createShardGroup(call: StoreCall): ShardGroup {
    const callGroup = (path: string, body: unknown): Promise<Result<Buffer, StoreError>> =>
        call({
            method: "POST",
            path,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
            timeout: shortCallTimeoutMilliseconds,
        });
    return {
        join: async (member: string, generation: number, ttl: Milliseconds) => {
            const answer = await callGroup("/log-join", {
                group: shardGroupName,
                member_id: member,
                topics: [shardTopic],
                ttl_ms: ttl,
                generation,
            });
            return answer.ok ? decodeMembership(answer.value) : answer;
        },
        leave: async (member: string) => {
            const answer = await callGroup("/log-leave", { group: shardGroupName, member_id: member });
            return answer.ok ? wrapValue(undefined) : answer;
        },
    };
}

function decodeMembership(body: Buffer): Result<ShardMembership, StoreError> {
    const parsed = decodeJson(membershipSchema, body);
    return parsed.ok
        ? wrapValue({ generation: parsed.value.generation, shards: parsed.value.parts.map(row => row[1]) })
        : parsed;
}

function decodeJson<Schema extends z.ZodType>(schema: Schema, body: Buffer): Result<z.infer<Schema>, StoreError> {
    try {
        return wrapValue(schema.parse(JSON.parse(body.toString("utf8"))));
    }
    catch (error) {
        return wrapError({ kind: "refused", status: 200, detail: `unreadable answer: ${String(error)}` });
    }
}
