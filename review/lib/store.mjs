// Stand-in of the platform's store: the log, keyed topics and groups of PROTOCOL.md, in memory.
import { createServer } from "node:http";

const sendJson = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
};

const readBody = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

const encodeKeyed = (key, value) => {
    const name = Buffer.from(key);
    return Buffer.concat([Buffer.from([name.length]), name, value ?? Buffer.alloc(0)]);
};

const decodeKeyed = content => {
    const end = 1 + content[0];
    return {
        key: content.subarray(1, end).toString(),
        value: end === content.length ? undefined : content.subarray(end),
    };
};

// Starts the store on a loopback address; `parts` is the number of partitions of topics without keys.
export async function startStore({ host, parts = 12 }) {
    const topics = new Map();
    const groups = new Map();
    // set by a test that needs the store to be away: called with each request, true when it has dealt with it
    const control = { intercept: undefined };
    const getPartition = (topic, part) => {
        const name = `${topic}/${part}`;
        if (!topics.has(name)) {
            topics.set(name, { records: [], waiting: new Set() });
        }
        return topics.get(name);
    };
    const appendRecords = (topic, part, contents) => {
        const partition = getPartition(topic, part);
        const offset = partition.records.length;
        partition.records.push(...contents);
        [...partition.waiting].forEach(wake => wake());
        return { offset, end_offset: partition.records.length };
    };
    const splitRecords = body => {
        const contents = [];
        for (let position = 0; position < body.length;) {
            const length = body.readUInt32BE(position);
            contents.push(Buffer.from(body.subarray(position + 4, position + 4 + length)));
            position += 4 + length;
        }
        return contents;
    };
    const answerRead = (response, partition, from) => {
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(partition.records.length), 0);
        const records = partition.records.slice(from).flatMap(content => {
            const length = Buffer.alloc(4);
            length.writeUInt32BE(content.length);
            return [length, content];
        });
        const body = Buffer.concat([head, ...records]);
        response.writeHead(200, { "content-length": body.length });
        response.end(body);
    };
    const read = (response, query) => {
        const partition = getPartition(query.get("topic"), query.get("part"));
        const from = Number(query.get("from"));
        const wait = Number(query.get("wait_ms") ?? 0);
        if (partition.records.length > from || wait === 0) {
            answerRead(response, partition, from);
            return;
        }
        const finish = () => {
            clearTimeout(timer);
            partition.waiting.delete(finish);
            answerRead(response, partition, from);
        };
        const timer = setTimeout(finish, wait);
        partition.waiting.add(finish);
        response.once("close", () => {
            clearTimeout(timer);
            partition.waiting.delete(finish);
        });
    };
    const listNewest = (topic, part) => {
        const newest = new Map();
        const { records } = getPartition(topic, part);
        records.forEach((content, offset) => {
            const { key, value } = decodeKeyed(content);
            newest.delete(key);
            if (value) {
                newest.set(key, { key, value: value.toString("base64"), offset });
            }
        });
        return { items: [...newest.values()], has_more: false, end_offset: records.length };
    };
    const getGroup = (name, groupTopics) => {
        if (!groups.has(name)) {
            groups.set(name, { generation: 0, members: new Map(), owners: new Map(), targets: new Map(), groupTopics });
        }
        return groups.get(name);
    };
    // deals the partitions evenly; one that another member still holds moves when that member has learned of it
    const deal = group => {
        group.generation++;
        const names = [...group.members.keys()].sort();
        for (let part = 0; part < parts; part++) {
            group.targets.set(part, names.length === 0 ? undefined : names[part % names.length]);
        }
    };
    const settle = group => {
        for (let part = 0; part < parts; part++) {
            const owner = group.owners.get(part);
            const target = group.targets.get(part);
            const known = owner === undefined ? undefined : group.members.get(owner);
            if (owner !== target && (!known || known.generation >= group.generation)) {
                group.owners.set(part, target);
            }
        }
    };
    const expireMembers = group => {
        const now = performance.now();
        const gone = [...group.members].filter(([, member]) => now - member.at > member.ttl).map(([name]) => name);
        gone.forEach(name => group.members.delete(name));
        if (gone.length > 0) {
            deal(group);
        }
        settle(group);
    };
    const join = ({ group: name, member_id: id, topics: groupTopics, ttl_ms: ttl, generation }) => {
        const group = getGroup(name, groupTopics);
        expireMembers(group);
        const isNew = !group.members.has(id);
        group.members.set(id, { at: performance.now(), ttl, generation });
        if (isNew) {
            deal(group);
        }
        settle(group);
        const held = [...group.owners].filter(([part, owner]) => owner === id && group.targets.get(part) === id);
        return {
            generation: group.generation,
            ttl_ms: ttl,
            parts: held.map(([part]) => [group.groupTopics[0], part, 0]),
        };
    };
    const leave = ({ group: name, member_id: id }) => {
        const group = groups.get(name);
        if (group?.members.delete(id)) {
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
        expireMembers(group);
        return [...group.owners].filter(([, owner]) => owner !== undefined)
            .map(([part, owner]) => [group.groupTopics[0], part, owner, 0]);
    };
    const handle = async (request, response) => {
        const body = await readBody(request);
        if (control.intercept?.(request, response)) {
            return;
        }
        const url = new URL(request.url, "http://store");
        const query = url.searchParams;
        switch (url.pathname) {
            case "/log-append":
                sendJson(response, 200, appendRecords(query.get("topic"), query.get("part"), splitRecords(body)));
                break;
            case "/log-read":
                read(response, query);
                break;
            case "/log-newest":
                sendJson(response, 200, listNewest(query.get("topic"), query.get("part")));
                break;
            case "/log-join":
                sendJson(response, 200, join(JSON.parse(body)));
                break;
            case "/log-leave":
                sendJson(response, 200, leave(JSON.parse(body)));
                break;
            case "/log-owners":
                sendJson(response, 200, listOwners(query.get("group")));
                break;
            default:
                sendJson(response, 404, {});
        }
    };
    const server = createServer((request, response) => void handle(request, response).catch(() => response.destroy()));
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        control,
        // what the operator or a server writes; `undefined` deletes the key
        put: (topic, key, value) =>
            appendRecords(topic, 0, [
                encodeKeyed(key, value === undefined ? undefined : Buffer.from(JSON.stringify(value))),
            ]),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
