/**
 * Stand-in of the platform's store at the wire: topics, keyed topics and groups, in memory.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { resetSocket } from "../../../shared/index.js";
import { encodeKeyedRecord, encodeRecord } from "../../logRecords.js";
import { createSteadyDealer, createWireGroups, type GroupCall, type PartDealer } from "./wireGroups.js";

/** A running store. */
export interface WireStore {
    /** IP and port. */
    readonly address: string;
    /** Writes a record of a keyed topic as it stands; `undefined` deletes the key. */
    readonly put: (topic: string, key: string, value: string | Uint8Array | undefined) => void;
    /** Writes a record of a topic without keys. */
    readonly append: (topic: string, content: Uint8Array) => void;
    /** Set by a test that has the store fail: called with each call, returns whether it has dealt with it. */
    intercept: ((request: IncomingMessage, response: ServerResponse) => boolean) | undefined;
    /**
     * Set by a test that has the store do writes late: called with each write, returns the time after which it is done
     * without an answer, in milliseconds; `undefined` to do it at once, `Infinity` never.
     */
    delayWrite: ((write: WireWrite) => number | undefined) | undefined;
    /** Goes away, dropping what is written meanwhile, and resolves once the store is back from an older copy. */
    readonly restore: (restore: StoreRestore) => Promise<void>;
    readonly isAway: () => boolean;
    /** Reassigns the partitions of all groups without any request. */
    readonly resetGroups: () => void;
    readonly close: () => void;
}

/** A write that has reached the store. */
export type WireWrite =
    | { readonly kind: "append"; readonly topic: string; readonly contents: readonly Buffer[]; }
    | { readonly kind: "join" | "leave"; readonly member: string; };

/** What a store is like beyond its calls. */
export interface WireStoreOptions {
    /** Partitions of topics without keys. @default 12 */
    readonly partCount?: number;
    /** Era at the start, named in all answers and raised by each restore. @default none is named */
    readonly era?: number;
    /** Decides which member of a group gets which partition. @default the same members get the same ones */
    readonly splitParts?: PartDealer;
}

/** Return of a store from an older copy. Times are in milliseconds. */
export interface StoreRestore {
    /** Age of the copy when the store goes away. */
    readonly age: number;
    /** Time for which the store is away. */
    readonly away: number;
    /** Whether the newest append of a machine arrives once more, soon after the return. @default false */
    readonly repeatsAppend?: boolean;
}

/** A read of a partition; `limit` is the most that it returns, in bytes. */
interface WireRead {
    readonly from: number;
    readonly wait: number;
    readonly limit: number;
}

interface Partition {
    readonly contents: Buffer[];
    /** Times of the contents' appends. */
    readonly times: number[];
    readonly waiting: Set<() => void>;
}

const host = "127.0.0.1";
const lengthFieldBytes = 4;
/** Most that one read returns where it names no limit, in kilobytes. */
const usualReadKilobytes = 1_024;
/** Time after a return at which an append of before arrives. */
const lateAppendMilliseconds = 200;

/**
 * Starts a store on a loopback address.
 *
 * @param options - its partitions, era and dealer
 * @returns the store; the caller closes it
 */
export async function startWireStore(options: WireStoreOptions = {}): Promise<WireStore> {
    const { partCount = 12, splitParts = createSteadyDealer() } = options;
    let { era } = options;
    let isAway = false;
    let replayAppend: (() => void) | undefined;
    const partitions = new Map<string, Partition>();
    const groups = createWireGroups(partCount, splitParts);
    const sockets = new Set<Socket>();
    const getPartition = (topic: string, part: string): Partition => {
        const name = `${topic}/${part}`;
        const partition = partitions.get(name) ?? { contents: [], times: [], waiting: new Set() };
        partitions.set(name, partition);
        return partition;
    };
    const append = ({ contents, times, waiting }: Partition, added: readonly Buffer[]) => {
        const offset = contents.length;
        contents.push(...added);
        times.push(...added.map(() => performance.now()));
        [...waiting].forEach(wake => wake());
        return { offset, end_offset: contents.length };
    };
    const sendRecords = (response: ServerResponse, { contents }: Partition, { from, limit }: WireRead): void => {
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(contents.length), 0);
        const parts: Buffer[] = [head];
        let bytes = 0;
        for (const record of contents.slice(from).map(encodeRecord)) {
            bytes += record.length;
            // the first record comes whole in any case
            if (bytes > limit && parts.length > 1) {
                break;
            }
            parts.push(record);
        }
        const body = Buffer.concat(parts);
        response.writeHead(200, { "content-length": body.length });
        response.end(body);
    };
    const read = (response: ServerResponse, partition: Partition, call: WireRead): void => {
        const { from, wait } = call;
        if (from > partition.contents.length) {
            sendJson(response, 410, { first_offset: 0 });
            return;
        }
        if (partition.contents.length > from || wait === 0) {
            sendRecords(response, partition, call);
            return;
        }
        const forget = (): void => {
            clearTimeout(timer);
            partition.waiting.delete(finish);
        };
        const finish = (): void => {
            forget();
            sendRecords(response, partition, call);
        };
        const timer = setTimeout(finish, wait);
        partition.waiting.add(finish);
        response.once("close", forget);
    };
    const restorePartition = ({ contents, times }: Partition, at: number): void => {
        const kept = times.findLastIndex(time => time <= at) + 1;
        contents.length = kept;
        times.length = kept;
    };
    const restore = async ({ age, away, repeatsAppend = false }: StoreRestore): Promise<void> => {
        const at = performance.now() - age;
        const replayLate = repeatsAppend ? replayAppend : undefined;
        isAway = true;
        sockets.forEach(resetSocket);
        await new Promise(resolve => setTimeout(resolve, away));
        partitions.forEach(partition => restorePartition(partition, at));
        groups.restore(at, performance.now());
        era = era === undefined ? undefined : era + 1;
        isAway = false;
        setTimeout(() => replayLate?.(), lateAppendMilliseconds);
    };
    const appendOnce = (partition: Partition, added: readonly Buffer[]) => {
        replayAppend = () => void append(partition, added);
        return append(partition, added);
    };
    const write = (topic: string, content: Buffer): void => {
        if (!isAway) {
            append(getPartition(topic, "0"), [content]);
        }
    };
    const runWrite = (path: string, partition: Partition, body: Buffer): unknown => {
        switch (path) {
            case "/log-append":
                return appendOnce(partition, splitRecords(body));
            case "/log-join":
                return groups.join(JSON.parse(body.toString()) as GroupCall, performance.now());
            default:
                return groups.removeMember(JSON.parse(body.toString()) as GroupCall, performance.now());
        }
    };
    const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const body = await readBody(request);
        if (isAway) {
            response.destroy();
            return;
        }
        if (era !== undefined) {
            response.setHeader("Store-Era", String(era));
        }
        if (store.intercept?.(request, response)) {
            return;
        }
        const { pathname, searchParams: query } = new URL(request.url ?? "", "http://store");
        const partition = getPartition(query.get("topic") ?? "", query.get("part") ?? "0");
        const write = describeWrite(pathname, query.get("topic") ?? "", body);
        const delay = write && store.delayWrite?.(write);
        if (delay !== undefined) {
            if (Number.isFinite(delay)) {
                setTimeout(() => runWrite(pathname, partition, body), delay);
            }
            return;
        }
        if (write) {
            sendJson(response, 200, runWrite(pathname, partition, body));
            return;
        }
        switch (pathname) {
            case "/log-read":
                read(response, partition, {
                    from: Number(query.get("from")),
                    wait: Number(query.get("wait_ms") ?? 0),
                    limit: Number(query.get("max_kilobytes") ?? usualReadKilobytes) * 1_024,
                });
                break;
            case "/log-newest":
                sendJson(response, 200, listNewest(partition));
                break;
            case "/log-owners":
                sendJson(response, 200, groups.listOwners(query.get("group") ?? "", performance.now()));
                break;
            default:
                sendJson(response, 404, {});
        }
    };
    const server = createServer((request, response) => void handle(request, response).catch(() => response.destroy()));
    server.keepAliveTimeout = 60_000;
    server.on("connection", (socket: Socket) => {
        if (isAway) {
            resetSocket(socket);
            return;
        }
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const store: WireStore = {
        address: `${host}:${(server.address() as AddressInfo).port}`,
        intercept: undefined,
        delayWrite: undefined,
        put: (topic, key, value) => {
            const record = encodeKeyedRecord(key, value === undefined ? undefined : Buffer.from(value));
            write(topic, record.subarray(lengthFieldBytes));
        },
        append: (topic, content) => write(topic, Buffer.from(content)),
        restore,
        isAway: () => isAway,
        resetGroups: () => groups.reset(performance.now()),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
    return store;
}

function describeWrite(path: string, topic: string, body: Buffer): WireWrite | undefined {
    switch (path) {
        case "/log-append":
            return { kind: "append", topic, contents: splitRecords(body) };
        case "/log-join":
        case "/log-leave":
            return {
                kind: path === "/log-join" ? "join" : "leave",
                member: (JSON.parse(body.toString()) as GroupCall).member_id,
            };
        default:
            return undefined;
    }
}

function listNewest({ contents }: Partition) {
    const newest = new Map<string, { readonly key: string; readonly value: string; readonly offset: number; }>();
    contents.forEach((content, offset) => {
        const end = 1 + content[0]!;
        const key = content.subarray(1, end).toString();
        newest.delete(key);
        if (end < content.length) {
            newest.set(key, { key, value: content.subarray(end).toString("base64"), offset });
        }
    });
    return { items: [...newest.values()], has_more: false, end_offset: contents.length };
}

function splitRecords(body: Buffer): readonly Buffer[] {
    const contents: Buffer[] = [];
    for (let position = 0; position < body.length;) {
        const end = position + lengthFieldBytes + body.readUInt32BE(position);
        contents.push(Buffer.from(body.subarray(position + lengthFieldBytes, end)));
        position = end;
    }
    return contents;
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
