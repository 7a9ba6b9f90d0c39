/**
 * Stand-in of the platform's store at the wire: topics, keyed topics and groups, in memory.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { encodeKeyedRecord, encodeRecord } from "../../logRecords.js";

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
    readonly close: () => void;
}

interface Partition {
    readonly contents: Buffer[];
    readonly waiting: Set<() => void>;
}

interface GroupMember {
    at: number;
    ttl: number;
    generation: number;
}

interface Group {
    generation: number;
    readonly topic: string;
    readonly members: Map<string, GroupMember>;
    readonly owners: Map<number, string | undefined>;
    readonly targets: Map<number, string | undefined>;
}

interface GroupCall {
    readonly group: string;
    readonly member_id: string;
    readonly topics: readonly string[];
    readonly ttl_ms: number;
    readonly generation: number;
}

const host = "127.0.0.1";
const lengthFieldBytes = 4;

/**
 * Starts a store on a loopback address.
 *
 * @param partCount - number of partitions of topics without keys
 * @returns the store; the caller closes it
 */
export async function startWireStore(partCount = 12): Promise<WireStore> {
    const partitions = new Map<string, Partition>();
    const groups = new Map<string, Group>();
    const getPartition = (topic: string, part: string): Partition => {
        const name = `${topic}/${part}`;
        const partition = partitions.get(name) ?? { contents: [], waiting: new Set() };
        partitions.set(name, partition);
        return partition;
    };
    const append = ({ contents, waiting }: Partition, added: readonly Buffer[]) => {
        const offset = contents.length;
        contents.push(...added);
        [...waiting].forEach(wake => wake());
        return { offset, end_offset: contents.length };
    };
    const sendRecords = (response: ServerResponse, { contents }: Partition, from: number): void => {
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(contents.length), 0);
        const body = Buffer.concat([head, ...contents.slice(from).map(encodeRecord)]);
        response.writeHead(200, { "content-length": body.length });
        response.end(body);
    };
    const read = (response: ServerResponse, partition: Partition, from: number, wait: number): void => {
        if (partition.contents.length > from || wait === 0) {
            sendRecords(response, partition, from);
            return;
        }
        const forget = (): void => {
            clearTimeout(timer);
            partition.waiting.delete(finish);
        };
        const finish = (): void => {
            forget();
            sendRecords(response, partition, from);
        };
        const timer = setTimeout(finish, wait);
        partition.waiting.add(finish);
        response.once("close", forget);
    };
    // deals the partitions evenly; one that another member still holds moves when that member has learned of it
    const moveParts = (group: Group): void => {
        group.generation++;
        const names = [...group.members.keys()].sort();
        for (let part = 0; part < partCount; part++) {
            group.targets.set(part, names[part % names.length]);
        }
    };
    const settle = (group: Group): void => {
        for (let part = 0; part < partCount; part++) {
            const owner = group.owners.get(part);
            const known = owner === undefined ? undefined : group.members.get(owner);
            if (!known || known.generation >= group.generation) {
                group.owners.set(part, group.targets.get(part));
            }
        }
    };
    const expireMembers = (group: Group): void => {
        const now = performance.now();
        const gone = [...group.members].filter(([, member]) => now - member.at > member.ttl);
        gone.forEach(([name]) => group.members.delete(name));
        if (gone.length > 0) {
            moveParts(group);
        }
        settle(group);
    };
    const join = (call: GroupCall) => {
        const group = groups.get(call.group) ??
            { generation: 0, topic: call.topics[0]!, members: new Map(), owners: new Map(), targets: new Map() };
        groups.set(call.group, group);
        expireMembers(group);
        const isNew = !group.members.has(call.member_id);
        group.members.set(call.member_id, { at: performance.now(), ttl: call.ttl_ms, generation: call.generation });
        if (isNew) {
            moveParts(group);
        }
        settle(group);
        const held = [...group.owners]
            .filter(([part, owner]) => owner === call.member_id && group.targets.get(part) === call.member_id);
        return { generation: group.generation, parts: held.map(([part]) => [group.topic, part, 0]) };
    };
    const removeMember = (call: GroupCall) => {
        const group = groups.get(call.group);
        if (group?.members.delete(call.member_id)) {
            moveParts(group);
            settle(group);
        }
        return {};
    };
    const listOwners = (name: string) => {
        const group = groups.get(name);
        if (!group) {
            return [];
        }
        expireMembers(group);
        return [...group.owners]
            .filter(([, owner]) => owner !== undefined)
            .map(([part, owner]) => [group.topic, part, owner, 0]);
    };
    const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const body = await readBody(request);
        if (store.intercept?.(request, response)) {
            return;
        }
        const { pathname, searchParams: query } = new URL(request.url ?? "", "http://store");
        const partition = getPartition(query.get("topic") ?? "", query.get("part") ?? "0");
        switch (pathname) {
            case "/log-append":
                sendJson(response, 200, append(partition, splitRecords(body)));
                break;
            case "/log-read":
                read(response, partition, Number(query.get("from")), Number(query.get("wait_ms") ?? 0));
                break;
            case "/log-newest":
                sendJson(response, 200, listNewest(partition));
                break;
            case "/log-join":
                sendJson(response, 200, join(JSON.parse(body.toString()) as GroupCall));
                break;
            case "/log-leave":
                sendJson(response, 200, removeMember(JSON.parse(body.toString()) as GroupCall));
                break;
            case "/log-owners":
                sendJson(response, 200, listOwners(query.get("group") ?? ""));
                break;
            default:
                sendJson(response, 404, {});
        }
    };
    const server = createServer((request, response) => void handle(request, response).catch(() => response.destroy()));
    server.keepAliveTimeout = 60_000;
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const store: WireStore = {
        address: `${host}:${(server.address() as AddressInfo).port}`,
        intercept: undefined,
        put: (topic, key, value) => {
            const record = encodeKeyedRecord(key, value === undefined ? undefined : Buffer.from(value));
            append(getPartition(topic, "0"), [record.subarray(lengthFieldBytes)]);
        },
        append: (topic, content) => void append(getPartition(topic, "0"), [Buffer.from(content)]),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
    return store;
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
