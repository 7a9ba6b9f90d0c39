// Stand-in of the platform's store at the wire: topics, keyed topics and one kind of group, in memory.
import { createServer } from "node:http";

const partCount = 12;
const host = "127.0.0.1";

/** Time after which a write that was lost on its way is done. */
const lateMilliseconds = 5_500;

/** Most that one read returns, and what all reads together get a millisecond. */
const readLimitBytes = 1_024 * 1_024;
const readBytesPerMillisecond = 80_000;

/**
 * Starts a store; `isLate` says of a write whether it gets no answer and is done late, `isTurnedAway` whether calls to its
 * second address get 503. The operator is served in any case.
 */
export async function startStore({ isLate = () => false, isTurnedAway = () => false } = {}) {
    const partitions = new Map();
    const groups = new Map();
    let readsUntil = 0;
    const getPartition = (topic, part) => {
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
    const sendJson = (response, status, body) => {
        const text = JSON.stringify(body);
        response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
        response.end(text);
    };
    const sendRecords = (response, { contents }, from) => {
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(contents.length), 0);
        const parts = [head];
        let bytes = 0;
        for (const content of contents.slice(from)) {
            bytes += 4 + content.length;
            if (bytes > readLimitBytes) {
                break;
            }
            const size = Buffer.alloc(4);
            size.writeUInt32BE(content.length);
            parts.push(size, content);
        }
        const body = Buffer.concat(parts);
        const begun = Math.max(readsUntil, performance.now());
        readsUntil = begun + body.length / readBytesPerMillisecond;
        const send = () => {
            response.writeHead(200, { "content-length": body.length });
            response.end(body);
        };
        const delay = readsUntil - performance.now();
        if (delay < 1) {
            send();
        }
        else {
            setTimeout(send, delay);
        }
    };
    const read = (response, partition, from, wait) => {
        if (from > partition.contents.length) {
            sendJson(response, 410, { first_offset: 0 });
            return;
        }
        if (partition.contents.length > from || wait === 0) {
            sendRecords(response, partition, from);
            return;
        }
        const finish = () => {
            clearTimeout(timer);
            partition.waiting.delete(finish);
            if (!response.destroyed) {
                sendRecords(response, partition, from);
            }
        };
        const timer = setTimeout(finish, wait);
        partition.waiting.add(finish);
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
    const splitRecords = body => {
        const contents = [];
        for (let position = 0; position < body.length;) {
            const end = position + 4 + body.readUInt32BE(position);
            contents.push(Buffer.from(body.subarray(position + 4, end)));
            position = end;
        }
        return contents;
    };
    // a partition that moves stays with its member until that has learned of the change or has been silent for its ttl
    const getGroup = (name, now) => {
        const group = groups.get(name) ?? { generation: 0, topic: "", members: new Map(), owners: [], targets: [] };
        groups.set(name, group);
        const gone = [...group.members].filter(([, member]) => now - member.at > member.ttl);
        gone.forEach(([id]) => group.members.delete(id));
        if (gone.length > 0) {
            deal(group);
        }
        return group;
    };
    const deal = group => {
        group.generation++;
        const members = [...group.members.keys()].sort();
        group.targets = Array.from({ length: partCount }, (unused, part) => members[part % members.length]);
    };
    const settle = group => {
        for (let part = 0; part < partCount; part++) {
            const known = group.members.get(group.owners[part]);
            if (!known || known.generation >= group.generation) {
                group.owners[part] = group.targets[part];
            }
        }
    };
    const join = call => {
        const now = performance.now();
        const group = getGroup(call.group, now);
        group.topic = call.topics[0];
        const isNew = !group.members.has(call.member_id);
        group.members.set(call.member_id, { at: now, ttl: call.ttl_ms, generation: call.generation });
        if (isNew) {
            deal(group);
        }
        settle(group);
        const parts = group.owners.flatMap((owner, part) =>
            owner === call.member_id && group.targets[part] === owner ? [[group.topic, part, 0]] : []
        );
        return { generation: group.generation, ttl_ms: call.ttl_ms, parts };
    };
    const leave = call => {
        const group = getGroup(call.group, performance.now());
        if (group.members.delete(call.member_id)) {
            deal(group);
            settle(group);
        }
        return {};
    };
    const listOwners = name => {
        const group = getGroup(name, performance.now());
        settle(group);
        return group.owners.flatMap((owner, part) => owner === undefined ? [] : [[group.topic, part, owner, 0]]);
    };
    const handle = (request, response, body) => {
        const { pathname, searchParams: query } = new URL(request.url, "http://store");
        const partition = getPartition(query.get("topic") ?? "", query.get("part") ?? "0");
        const parse = () => JSON.parse(body.toString());
        if (request.socket.localPort === second.address()?.port && isTurnedAway()) {
            return sendJson(response, 503, {});
        }
        switch (pathname) {
            case "/log-append":
                if (isLate({ path: pathname, topic: query.get("topic"), records: splitRecords(body) })) {
                    return setTimeout(() => append(partition, splitRecords(body)), lateMilliseconds);
                }
                return sendJson(response, 200, append(partition, splitRecords(body)));
            case "/log-read":
                return read(response, partition, Number(query.get("from")), Number(query.get("wait_ms") ?? 0));
            case "/log-newest":
                return sendJson(response, 200, listNewest(partition));
            case "/log-join":
                isLate({ path: pathname });
                return sendJson(response, 200, join(parse()));
            case "/log-leave":
                return sendJson(response, 200, leave(parse()));
            case "/log-owners":
                return sendJson(response, 200, listOwners(query.get("group") ?? ""));
            default:
                return sendJson(response, 404, {});
        }
    };
    const receive = (request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.once("end", () => handle(request, response, Buffer.concat(chunks)));
        request.on("error", () => undefined);
        response.on("error", () => undefined);
    };
    const server = createServer(receive);
    const second = createServer(receive);
    for (const each of [server, second]) {
        each.keepAliveTimeout = 60_000;
        await new Promise(resolve => each.listen(0, host, resolve));
    }
    return {
        address: `${host}:${server.address().port}`,
        secondAddress: `${host}:${second.address().port}`,
        put: (topic, key, value) => {
            const name = Buffer.from(key);
            const content = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
            append(getPartition(topic, "0"), [Buffer.concat([Buffer.from([name.length]), name, content])]);
        },
        close: () => {
            for (const each of [server, second]) {
                each.close();
                each.closeAllConnections();
            }
        },
    };
}
