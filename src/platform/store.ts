/**
 * HTTP client of the platform's store: reads and appends to keyed topics, and membership in a group.
 *
 * @packageDocumentation
 */
import { Pool } from "undici";
import * as z from "zod";
import { maximumGeneration } from "../adapters/fencingNumbers.js";
import type { ShardGroup, ShardMembership, ShardOwner } from "../adapters/types.js";
import { createServerSockets } from "../serving/serverSockets.js";
import { createStoreEras, type StoreEra, type StoreEras } from "../serving/storeEras.js";
import type { ExpiringLog, KeyedLog, KeyedRecord, KeyedSnapshot, KeyedTopic, StoreError } from "../serving/types.js";
import {
    createListSchema,
    createLogger,
    describeInputError,
    type Milliseconds,
    ordinalSchema,
    parseBoundedJson,
    type Result,
    shardNumberSchema,
    wrapError,
    wrapValue,
} from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import { type HttpRequest, type HttpResponse, maximumBodyBytes, sendHttpRequest } from "./httpRequest.js";
import {
    decodeKeyedReadResponse,
    decodeReadResponse,
    encodeKeyedRecord,
    encodeRecord,
    maximumKeyBytes,
} from "./logRecords.js";
import { decodeStoreEra } from "./storeEra.js";
import { createTopicReads, type TopicRead, type TopicReads } from "./topicReads.js";

/** Client of the store. */
export interface PlatformStore extends KeyedLog {
    readonly shards: ShardGroup;
    /** Log of what began streams. */
    readonly streams: ExpiringLog;
    readonly close: () => void;
}

const topicNames: Readonly<Record<KeyedTopic, string>> = {
    configuration: "keyed.op",
    servers: "keyed.servers",
    instances: "keyed.oriolehatch-instances",
    quarantines: "keyed.oriolehatch-quarantines",
};
/** Topic whose partitions the store assigns to the members of the group. Each partition is one shard of the engines. */
const engineShardTopic = "oriolehatch-engine-shards";
const engineShardGroup = "oriolehatch-engines";
/** Topic without keys, whose records expire. */
const streamTopic = "oriolehatch-streams";
const requestTimeoutMilliseconds = 700;
/** Added to the wait that a long-poll read requests; a response that takes longer counts as lost. */
const longPollMarginMilliseconds = 600;
const connectTimeoutMilliseconds = 700;
const maximumConnections = 8;
/** Largest answer about a group that is read, whose rows have some dozens of bytes each. */
const maximumGroupAnswerBytes = 262_144;
/** The store has deleted the records at the requested offset. */
const recordsExpiredStatus = 410;
const log = createLogger("platform");

const latestRecordsPageSchema = z.object({
    // values are in Base64; a deleted key has none
    items: createListSchema(z.unknown()),
    has_more: z.boolean().default(false),
    // offset after the last record
    end_offset: ordinalSchema,
});
const latestRecordSchema = z.object({ key: z.string(), value: z.string().nullish(), offset: ordinalSchema });
const groupMembershipSchema = z.object({
    generation: ordinalSchema.max(maximumGeneration),
    // partitions that the member holds: topic, partition and committed offset
    parts: createListSchema(z.tuple([z.string(), shardNumberSchema]).rest(z.unknown())),
});
// rows of topic, partition, member and committed offset
const ownerRowsSchema = createListSchema(z.tuple([z.string(), shardNumberSchema, z.string()]).rest(z.unknown()));
const groupOwnersSchema = z.union([
    ownerRowsSchema,
    z.object({ parts: ownerRowsSchema }).transform(body => body.parts),
    z.object({ owners: ownerRowsSchema }).transform(body => body.owners),
]);

/**
 * Creates a client of the store.
 *
 * @param address - IP and port of the store
 * @param onHeaders - called with the names of the headers of each response
 * @param eras - told of the era of each answer
 * @returns the client; it connects on the first call, and its owner closes it
 */
export function createPlatformStore(
    address: string,
    onHeaders: (names: Iterable<string>) => void,
    eras: StoreEras = createStoreEras(),
): PlatformStore {
    const sockets = createServerSockets(connectTimeoutMilliseconds);
    const pool = new Pool(`http://${address}`, {
        connections: maximumConnections,
        pipelining: 1,
        connect: sockets.connect,
        maxResponseSize: maximumBodyBytes,
        // each request has its own timeout
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const sendRequest: StoreRequestSender = async httpRequest => {
        const answer = await sendHttpRequest(pool, { ...httpRequest, onHeaders }, sockets);
        return answer.ok
            ? checkAnswer(answer.value, eras)
            : wrapError({ kind: "unreachable", detail: answer.error.detail });
    };
    const reads = createTopicReads();
    return {
        readNewest: topic =>
            runRead(reads, topicNames[topic], read => readLatestRecords(sendRequest, topicNames[topic], read)),
        readFrom: async (topic, offset, wait, expectedEra = eras.read()) => {
            const path = `/log-read?topic=${topicNames[topic]}&part=0&from=${offset}&wait_ms=${wait}`;
            const answer = await runInEra(
                eras,
                expectedEra,
                signal => sendRequest({ method: "GET", path, timeout: wait + longPollMarginMilliseconds, signal }),
            );
            if (!answer.ok) {
                return answer;
            }
            const { body, era } = answer.value;
            const decoded = decodeKeyedReadResponse(
                body,
                offset,
                refused => log.warn("record shorter than its key", { topic, offset: refused }),
            );
            return decoded.ok
                ? wrapValue({ ...decoded.value, era })
                : wrapError({ kind: "unreachable", detail: decoded.error.detail });
        },
        append: async (topic, key, value) => {
            if (Buffer.byteLength(key) > maximumKeyBytes) {
                return wrapError({ kind: "refused", status: 0, detail: `key of more than ${maximumKeyBytes} bytes` });
            }
            const answer = await sendRequest({
                method: "POST",
                path: `/log-append?topic=${topicNames[topic]}&part=0`,
                body: encodeKeyedRecord(key, value),
                timeout: requestTimeoutMilliseconds,
            });
            return answer.ok ? wrapValue(undefined) : answer;
        },
        shards: createShardGroup(sendRequest),
        streams: createExpiringLog(sendRequest, streamTopic, reads),
        close: () => startTask("close connections", () => pool.destroy()),
    };
}

// a rise ends the call, which may wait for records at an offset that the store no longer has
function runInEra<Value>(
    eras: StoreEras,
    expected: StoreEra,
    call: (signal: AbortSignal) => Promise<Result<Value, StoreError>>,
): Promise<Result<Value, StoreError>> {
    const describeRise = () => wrapError<StoreError>({ kind: "restored", era: eras.read() });
    if (eras.read() > expected) {
        return Promise.resolve(describeRise());
    }
    const ended = new AbortController();
    return new Promise((resolve, reject) => {
        const forget = eras.onRise(() => {
            if (eras.read() > expected) {
                resolve(describeRise());
                // its connection is needed for other calls
                ended.abort();
            }
        });
        call(ended.signal).then(resolve, reject).finally(forget);
    });
}

async function runRead<Value>(
    reads: TopicReads,
    topic: string,
    run: (read: TopicRead) => Promise<Result<Value, StoreError>>,
): Promise<Result<Value, StoreError>> {
    const read = reads.open(topic, performance.now());
    if (!read) {
        return wrapError({ kind: "unreachable", detail: "the topic was too large, and is read again later" });
    }
    try {
        return await run(read);
    }
    finally {
        read.close();
    }
}

/** Body of a successful answer, and the era of the store that made it. */
interface StoreAnswer {
    readonly body: Buffer;
    readonly era: StoreEra;
}

type StoreRequestSender = (httpRequest: HttpRequest) => Promise<Result<StoreAnswer, StoreError>>;

function checkAnswer(answer: HttpResponse, eras: StoreEras): Result<StoreAnswer, StoreError> {
    const named = decodeStoreEra(answer.headers);
    if (named === "unreadable") {
        return wrapError({ kind: "unreachable", detail: "the era of the answer can't be read" });
    }
    const verdict = named === undefined ? "present" : eras.observe(named);
    if (verdict === "past" || verdict === "doubtful") {
        return wrapError({ kind: "unreachable", detail: `the era of the answer is ${verdict}` });
    }
    const era = named ?? eras.read();
    switch (answer.status) {
        case 200:
            return wrapValue({ body: answer.body, era });
        case recordsExpiredStatus:
            return wrapError({ kind: "expired", firstOffset: decodeFirstOffset(answer.body) });
        case 429:
        case 503:
            return wrapError({ kind: "busy", status: answer.status });
        default:
            return wrapError({ kind: "refused", status: answer.status, detail: answer.body.toString("utf8", 0, 200) });
    }
}

function decodeFirstOffset(body: Buffer): number | undefined {
    const decoded = decodeJson(z.object({ first_offset: ordinalSchema }), body, maximumGroupAnswerBytes);
    return decoded.ok ? decoded.value.first_offset : undefined;
}

function createExpiringLog(sendRequest: StoreRequestSender, topic: string, reads: TopicReads): ExpiringLog {
    const readPage = (offset: number): Promise<Result<StoreAnswer, StoreError>> =>
        sendRequest({
            method: "GET",
            path: `/log-read?topic=${topic}&part=0&from=${offset}&wait_ms=0`,
            timeout: requestTimeoutMilliseconds,
        });
    // in one era, as offsets of another one have other records
    const readRest = async (
        offset: number,
        read: TopicRead,
    ): Promise<Result<readonly Uint8Array[], StoreError>> => {
        const records: Uint8Array[] = [];
        let era: StoreEra | undefined;
        for (;;) {
            const answer = await readPage(offset + records.length);
            if (!answer.ok) {
                return answer;
            }
            era ??= answer.value.era;
            if (answer.value.era > era) {
                return wrapError({ kind: "restored", era: answer.value.era });
            }
            const page = decodeReadResponse(answer.value.body);
            if (!page.ok) {
                return wrapError({ kind: "unreachable", detail: page.error.detail });
            }
            const excess = read.addPage(
                { bytes: answer.value.body.length, records: page.value.records.length },
                performance.now(),
            );
            if (excess !== undefined) {
                return wrapError({ kind: "unreachable", detail: excess });
            }
            // not spread over arguments, of which there may be too many
            page.value.records.forEach(record => records.push(record));
            if (offset + records.length >= page.value.endOffset) {
                return wrapValue(records);
            }
            if (page.value.records.length === 0) {
                return wrapError({ kind: "unreachable", detail: "a page before the named end has no records" });
            }
        }
    };
    return {
        append: async record => {
            const answer = await sendRequest({
                method: "POST",
                path: `/log-append?topic=${topic}&part=0`,
                body: encodeRecord(record),
                timeout: requestTimeoutMilliseconds,
            });
            return answer.ok ? wrapValue(undefined) : answer;
        },
        readAll: async () => {
            const records = await runRead(reads, topic, read => readRest(0, read));
            if (records.ok || records.error.kind !== "expired") {
                return records;
            }
            const { firstOffset = 0 } = records.error;
            return runRead(reads, topic, read => readRest(firstOffset, read));
        },
    };
}

async function readLatestRecords(
    sendRequest: StoreRequestSender,
    topic: string,
    read: TopicRead,
): Promise<Result<KeyedSnapshot, StoreError>> {
    const records: KeyedRecord[] = [];
    let after = "";
    // records may be appended between two pages: reading from the first page's end offset on misses none of them
    let endOffset: number | undefined;
    let firstEra: StoreEra | undefined;
    for (;;) {
        const path = `/log-newest?topic=${topic}&part=0${after === "" ? "" : `&after=${encodeKey(after)}`}`;
        const answer = await sendRequest({ method: "GET", path, timeout: requestTimeoutMilliseconds });
        if (!answer.ok) {
            return answer;
        }
        const { body, era } = answer.value;
        firstEra ??= era;
        if (era > firstEra) {
            return wrapError({ kind: "restored", era });
        }
        const page = decodeLatestRecordsPage(body);
        if (!page.ok) {
            return page;
        }
        const excess = read.addPage(
            { bytes: body.length, records: page.value.records.length },
            performance.now(),
        );
        if (excess !== undefined) {
            return wrapError({ kind: "unreachable", detail: excess });
        }
        records.push(...page.value.records);
        endOffset ??= page.value.endOffset;
        if (!page.value.hasMore) {
            return wrapValue({ records, endOffset, era });
        }
        if (page.value.lastKey === undefined) {
            return wrapError({ kind: "unreachable", detail: "a page that isn't the last one has no key" });
        }
        after = page.value.lastKey;
    }
}

// a key may hold half of a character, which has no encoding and is replaced
function encodeKey(key: string): string {
    return encodeURIComponent(Buffer.from(key, "utf8").toString("utf8"));
}

interface LatestRecordsPage extends KeyedSnapshot {
    readonly hasMore: boolean;
    readonly lastKey: string | undefined;
}

function decodeLatestRecordsPage(body: Buffer): Result<LatestRecordsPage, StoreError> {
    const parsed = decodeJson(latestRecordsPageSchema, body, maximumBodyBytes);
    if (!parsed.ok) {
        return parsed;
    }
    const items = parsed.value.items
        .map(item => latestRecordSchema.safeParse(item).data)
        .filter(item => item !== undefined);
    if (items.length < parsed.value.items.length) {
        log.warn("records not valid", { count: parsed.value.items.length - items.length });
    }
    const records = items.map(item => ({
        key: item.key,
        value: typeof item.value === "string" ? Buffer.from(item.value, "base64") : undefined,
        offset: item.offset,
    }));
    return wrapValue({
        records,
        endOffset: parsed.value.end_offset,
        hasMore: parsed.value.has_more,
        // of the last item also where the item isn't valid, so that the next page is another one
        lastKey: z.object({ key: z.string() }).safeParse(parsed.value.items.at(-1)).data?.key ?? items.at(-1)?.key,
    });
}

function createShardGroup(sendRequest: StoreRequestSender): ShardGroup {
    const sendGroupRequest = (path: string, body: unknown): Promise<Result<StoreAnswer, StoreError>> =>
        sendRequest({
            method: "POST",
            path,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
            timeout: requestTimeoutMilliseconds,
        });
    return {
        join: async (member: string, generation: number, ttl: Milliseconds) => {
            const answer = await sendGroupRequest("/log-join", {
                group: engineShardGroup,
                member_id: member,
                topics: [engineShardTopic],
                ttl_ms: ttl,
                generation,
            });
            return answer.ok ? decodeMembership(answer.value) : answer;
        },
        leave: async (member: string) => {
            const answer = await sendGroupRequest("/log-leave", { group: engineShardGroup, member_id: member });
            return answer.ok ? wrapValue(undefined) : answer;
        },
        listOwners: async () => {
            const path = `/log-owners?group=${engineShardGroup}`;
            const answer = await sendRequest({ method: "GET", path, timeout: requestTimeoutMilliseconds });
            return answer.ok ? decodeOwners(answer.value.body) : answer;
        },
    };
}

function decodeOwners(body: Buffer): Result<readonly ShardOwner[], StoreError> {
    const parsed = decodeJson(groupOwnersSchema, body, maximumGroupAnswerBytes);
    return parsed.ok
        ? wrapValue(parsed.value.map(([, shard, member]) => ({ shard, member })))
        : parsed;
}

function decodeMembership({ body, era }: StoreAnswer): Result<ShardMembership, StoreError> {
    const parsed = decodeJson(groupMembershipSchema, body, maximumGroupAnswerBytes);
    return parsed.ok
        ? wrapValue({ era, generation: parsed.value.generation, shards: parsed.value.parts.map(row => row[1]) })
        : parsed;
}

function decodeJson<Schema extends z.ZodType>(
    schema: Schema,
    body: Buffer,
    maximumBytes: number,
): Result<z.infer<Schema>, StoreError> {
    try {
        // a key of another writer may hold bytes that are no text, which must not hide the other records
        return wrapValue(schema.parse(parseBoundedJson(body.toString("utf8"), maximumBytes)));
    }
    catch (error) {
        const detail = `response can't be decoded: ${describeInputError(error)}`;
        return wrapError({ kind: "refused", status: 200, detail });
    }
}
