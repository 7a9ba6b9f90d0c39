// Stand-in of the platform's metadata store: a log with topics, keyed topics and groups, in memory.
import { createServer } from "node:http";

const host = "127.0.0.1";

/** Starts a store on a loopback address; `put` writes a keyed record as the operator or a server does. */
export async function startStore(partCount) {
    const partitions = new Map();
    const groups = new Map();
    const store = { address: "", put: undefined, close: undefined, groups };
    const find = (topic, part) => {
        const name = `${topic}/${part}`;
        if (!partitions.has(name)) {
            partitions.set(name, { contents: [], waiting: new Set() });
        }
        return partitions.get(name);
    };
    const append = (partition, added) => {
        const offset = partition.contents.length;
        partition.contents.push(...added);
        [...partition.waiting].forEach(wake => wake());
        return { offset, end_offset: partition.contents.length };
    };
    const sendRecords = (response, { contents }, from) => {
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(contents.length), 0);
        const parts = [head];
        for (const content of contents.slice(from)) {
            const length = Buffer.alloc(4);
            length.writeUInt32BE(content.length);
            parts.push(length, content);
        }
        const body = Buffer.concat(parts);
        response.writeHead(200, { "content-length": body.length });
        response.end(body);
    };
    const read = (response, partition, from, wait) => {
        if (partition.contents.length > from || wait === 0) {
            sendRecords(response, partition, from);
            return;
        }
        const finish = () => {
            clearTimeout(timer);
            partition.waiting.delete(finish);
            sendRecords(response, partition, from);
        };
        const timer = setTimeout(finish, wait);
        partition.waiting.add(finish);
        response.once("close", () => {
            clearTimeout(timer);
            partition.waiting.delete(finish);
        });
    };
    const listNewest = ({ contents }) => {
        const newest = new Map();
        contents.forEach((content, offset) => {
            const end = 1 + content[0];
            const key = content.subarray(1, end).toString();
            newest.delete(key);
            if (end < content.length) {
                newest.set(key, { key, value: content.subarray(end).toString("base64"), offset });
            }
        });
        return { items: [...newest.values()], has_more: false, end_offset: contents.length };
    };
    // partitions are dealt evenly; one that another member still holds moves when that member has learned of it
    const deal = group => {
        group.generation++;
        const names = [...group.members.keys()].sort();
        for (let part = 0; part < partCount; part++) {
            group.targets.set(part, names[part % names.length]);
        }
    };
    const settle = group => {
        for (let part = 0; part < partCount; part++) {
            const owner = group.owners.get(part);
            const member = owner === undefined ? undefined : group.members.get(owner);
            if (!member || member.generation >= group.generation) {
                group.owners.set(part, group.targets.get(part));
            }
        }
    };
    const expire = group => {
        const now = performance.now();
        const gone = [...group.members].filter(([, member]) => now - member.at > member.ttl);
        gone.forEach(([name]) => group.members.delete(name));
        if (gone.length > 0) {
            deal(group);
        }
        settle(group);
    };
    const join = call => {
        if (!groups.has(call.group)) {
            groups.set(call.group, {
                generation: 0,
                topic: call.topics[0],
                members: new Map(),
                owners: new Map(),
                targets: new Map(),
            });
        }
        const group = groups.get(call.group);
        expire(group);
        const isNew = !group.members.has(call.member_id);
        group.members.set(call.member_id, { at: performance.now(), ttl: call.ttl_ms, generation: call.generation });
        if (isNew) {
            deal(group);
        }
        settle(group);
        const held = [...group.owners]
            .filter(([part, owner]) => owner === call.member_id && group.targets.get(part) === call.member_id);
        return { generation: group.generation, ttl_ms: call.ttl_ms, parts: held.map(([part]) => [group.topic, part, 0]) };
    };
    const leave = call => {
        const group = groups.get(call.group);
        if (group?.members.delete(call.member_id)) {
            deal(group);
            settle(group);
        }
        return {};
    };
    const listOwners = name => {
        const group = groups.get(name);
        if (!group) {
            return [];
        }
        expire(group);
        return [...group.owners].filter(([, owner]) => owner !== undefined)
            .map(([part, owner]) => [group.topic, part, owner, 0]);
    };
    const handle = async (request, response) => {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const body = Buffer.concat(chunks);
        const { pathname, searchParams: query } = new URL(request.url, "http://store");
        const partition = find(query.get("topic") ?? "", query.get("part") ?? "0");
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
                sendJson(response, 200, join(JSON.parse(body.toString())));
                break;
            case "/log-leave":
                sendJson(response, 200, leave(JSON.parse(body.toString())));
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
    await new Promise(resolve => server.listen(0, host, resolve));
    store.address = `${host}:${server.address().port}`;
    store.put = (topic, key, value) => {
        const name = Buffer.from(key);
        append(find(topic, "0"), [Buffer.concat([Buffer.from([name.length]), name, Buffer.from(value ?? "")])]);
    };
    store.close = () => {
        server.close();
        server.closeAllConnections();
    };
    return store;
}

function splitRecords(body) {
    const contents = [];
    for (let position = 0; position < body.length;) {
        const end = position + 4 + body.readUInt32BE(position);
        contents.push(Buffer.from(body.subarray(position + 4, end)));
        position = end;
    }
    return contents;
}

function sendJson(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
