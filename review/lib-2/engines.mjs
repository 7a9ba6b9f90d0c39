// Stand-in of a model server: it carries out orders for adapters, reports, and answers with streams of events.
import { createServer } from "node:http";

const host = "127.0.0.1";
const heartbeatMilliseconds = 1_200;
const loadMilliseconds = 250;

/** Starts an engine that holds a base model; `onRun` is called when it begins a request, `onOrder` with each order. */
export async function startEngine({ store, service, id, model, slots = 32, adapterSlots = 18, events = 8, gap = 20, onRun, onOrder }) {
    const born = Date.now();
    const resident = new Map();
    const pending = new Map();
    let sequence = 0;
    let fence = 0;
    let running = 0;
    const describeModels = () => [{
        name: model,
        version: 1,
        adapters: [...resident].map(([name, version]) => `${name}@${version}`),
    }];
    const carryOut = order => {
        const { operation, adapter, precondition, fencing_token: token, holder } = order;
        if (typeof holder !== "string" || !Number.isInteger(token) || order.model !== model) {
            return 400;
        }
        if (token < fence) {
            return 412;
        }
        fence = token;
        if (operation === "load" && (adapter === undefined || resident.has(adapter))) {
            return 200;
        }
        if (operation === "load" && pending.has(adapter)) {
            return 202;
        }
        if (operation === "unload" && !resident.has(adapter)) {
            return 200;
        }
        if (precondition !== undefined && precondition !== sequence) {
            return 409;
        }
        if (operation === "unload") {
            resident.delete(adapter);
            sequence++;
            return 200;
        }
        if (resident.size + pending.size >= adapterSlots) {
            return 400;
        }
        pending.set(adapter, order.version ?? 1);
        sequence++;
        setTimeout(() => {
            resident.set(adapter, pending.get(adapter));
            pending.delete(adapter);
        }, loadMilliseconds);
        return 202;
    };
    const stream = (request, response, own) => {
        running++;
        response.writeHead(200, {
            ...own,
            "X-Oriolehatch-Response-Signature": `sig.${own["X-Oriolehatch-Attempt-Id"]}`,
            "X-Oriolehatch-Weight-Versions": "1",
            "Content-Type": "text/event-stream",
        });
        let next = Number(request.headers["last-event-id"] ?? 0) + 1;
        const timer = setInterval(() => {
            if (next > events || response.destroyed) {
                clearInterval(timer);
                running--;
                response.end();
                return;
            }
            response.write(`id: ${next}\ndata: event ${next}\n\n`);
            next++;
        }, gap);
    };
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => undefined);
        request.once("end", () => {
            const send = (status, headers, body = "") =>
                response.writeHead(status, { ...headers, "Content-Length": Buffer.byteLength(body) }).end(body);
            const expected = request.headers["x-oriolehatch-expect-instance"];
            const own = { "X-Oriolehatch-Attempt-Id": String(request.headers["x-oriolehatch-attempt-id"] ?? "") };
            if (expected !== undefined && expected !== id) {
                send(421, { ...own, "X-Oriolehatch-Instance-Id": id });
                return;
            }
            if (request.url === "/report") {
                send(200, { "Content-Type": "application/json" }, JSON.stringify({
                    stage: "combined",
                    born,
                    models: describeModels(),
                    busy: false,
                    sequence,
                    pending: [...pending].map(([name, version]) => `${model}/${name}@${version}`),
                    queued_requests: 0,
                    running_requests: running,
                    kv_cache_used: 0,
                    kv_cache_total: 105_300,
                    handles: 0,
                }));
                return;
            }
            if (request.url === "/order") {
                const order = JSON.parse(Buffer.concat(chunks).toString());
                const status = carryOut(order);
                onOrder?.({ id, ...order, status });
                send(status, { "Content-Type": "application/json" }, "{}");
                return;
            }
            if (request.url === "/health") {
                send(200, { "X-Oriolehatch-Instance-Id": id });
                return;
            }
            const [named, adapter] = String(request.headers["x-oriolehatch-model"] ?? "").split("/");
            if (named !== model || (adapter !== undefined && !resident.has(adapter))) {
                send(421, { ...own, "X-Oriolehatch-Not-Executed": "1", "X-Oriolehatch-Instance-Id": id });
                return;
            }
            if (running >= slots) {
                send(503, { ...own, "X-Oriolehatch-Not-Executed": "1" });
                return;
            }
            onRun?.({ id, attemptId: own["X-Oriolehatch-Attempt-Id"] });
            stream(request, response, own);
        });
    });
    server.keepAliveTimeout = 30_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const writeEntry = () =>
        store.put("keyed.servers", id, JSON.stringify({
            service,
            address: `${host}:${server.address().port}`,
            zone: "a",
            version: "v1",
            slots,
            state: "ready",
            cold_remaining_ms: 0,
            stage: "combined",
            models: describeModels(),
            sequence,
            born,
        }));
    writeEntry();
    const timer = setInterval(writeEntry, heartbeatMilliseconds);
    return {
        id,
        close: () => {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
}
