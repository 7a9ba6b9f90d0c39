// Stand-in of a model server that holds one model and a few of its adapters. It keeps to PROTOCOL.md: orders with fencing
// tokens and preconditions, a queue before the slots, replacements that wait for their runs, refusals that say so.
import { createServer } from "node:http";

const beatMilliseconds = 1_200;
const reportLagMilliseconds = 200;

// `onEvent` is called with what a record is to tell. `delayOrder` returns the milliseconds by which an order is carried
// out late and without an answer, or nothing; `newestVersion` tells the version that a load fetches.
export async function startEngine(options) {
    const { host, port = 0, store, service, id, model, adapterSlots, slots, queueLimit, events, eventGapMs } = options;
    const { zone = "a", adapterMs = 250, modelMs = 600, hasModel = true, onEvent = () => undefined } = options;
    const { newestVersion = () => 1, delayOrder = () => undefined } = options;
    const born = Date.now();
    let sequence = 0;
    let fence = -1;
    let isModelHeld = hasModel;
    let isBusy = false;
    let isDead = false;
    const adapters = new Map();
    const pending = new Map();
    // adapters whose replacement waits for their runs
    const replacing = new Map();
    const running = new Set();
    const queue = [];
    const reports = [];
    const describe = () => ({
        stage: "combined",
        models: isModelHeld
            ? [{ name: model, version: 1, adapters: [...adapters].map(([name, version]) => `${name}@${version}`) }]
            : [],
        busy: isBusy,
        sequence,
        born,
        queued_requests: queue.length,
        running_requests: running.size,
        kv_cache_used: 0,
        kv_cache_total: 100_000,
        handles: 0,
        pending: [...pending].map(([name, version]) => `${model}/${name}@${version}`),
    });
    const crash = reason => {
        if (!isDead) {
            isDead = true;
            onEvent({ kind: "crash", id, reason });
            stop();
        }
    };
    const countUses = adapter => [...running].filter(run => run.adapter === adapter).length;
    const finishReplacement = adapter => {
        const version = replacing.get(adapter);
        if (version === undefined || countUses(adapter) > 0 || pending.has(adapter)) {
            return;
        }
        pending.set(adapter, version);
        setTimeout(() => {
            pending.delete(adapter);
            replacing.delete(adapter);
            adapters.set(adapter, version);
            startNext();
        }, adapterMs);
    };
    const startLoad = (adapter, version) => {
        if (adapters.has(adapter)) {
            replacing.set(adapter, version);
            queue.filter(waiting => waiting.adapter === adapter).forEach(waiting => {
                queue.splice(queue.indexOf(waiting), 1);
                waiting.refuse();
            });
            finishReplacement(adapter);
            return;
        }
        pending.set(adapter, version);
        onEvent({ kind: "load", id, adapter, version, held: adapters.size, pending: pending.size });
        if (adapters.size + pending.size > adapterSlots) {
            crash(`ordered to load ${adapters.size + pending.size} adapters, has ${adapterSlots} places`);
            return;
        }
        setTimeout(() => {
            if (pending.delete(adapter)) {
                adapters.set(adapter, version);
            }
        }, adapterMs);
    };
    const carryOut = order => {
        const { operation, adapter, precondition, holder, fencing_token: token } = order;
        if (holder === undefined || token === undefined) {
            return 400;
        }
        if (token < fence) {
            return 412;
        }
        fence = token;
        const version = order.version ?? newestVersion(adapter);
        const isHeld = adapter === undefined
            ? isModelHeld === (operation === "load")
            : operation === "load"
            ? !replacing.has(adapter) && adapters.get(adapter) === version
            : !adapters.has(adapter) && !pending.has(adapter);
        if (isHeld) {
            return 200;
        }
        const isUnderWay = operation === "load" && (pending.has(adapter) || replacing.has(adapter));
        if (isUnderWay) {
            return 202;
        }
        if (isBusy || (precondition !== undefined && precondition !== sequence)) {
            return 409;
        }
        if (adapter === undefined) {
            sequence++;
            isBusy = true;
            setTimeout(() => {
                isBusy = false;
                isModelHeld = operation === "load";
            }, modelMs);
            return 202;
        }
        if (operation === "load") {
            sequence++;
            startLoad(adapter, version);
            return 202;
        }
        if (countUses(adapter) > 0 || pending.has(adapter)) {
            return 409;
        }
        sequence++;
        adapters.delete(adapter);
        return 200;
    };
    const startNext = () => {
        while (running.size < slots && queue.length > 0) {
            queue.shift().start();
        }
    };
    const serve = (request, response) => {
        const header = name => request.headers[`x-oriolehatch-${name}`];
        const attempt = header("attempt-id");
        const load = () => `${running.size},${queue.length},${slots}`;
        const own = { "X-Oriolehatch-Attempt-Id": attempt, "X-Oriolehatch-Instance-Id": id };
        const refuse = status => () => {
            onEvent({ kind: "refused", id, attempt, status });
            response.writeHead(status, {
                ...own,
                "X-Oriolehatch-Not-Executed": "1",
                "X-Oriolehatch-Server-Load": load(),
                "content-length": 0,
            }).end();
        };
        const [, adapter] = header("model").split("/");
        const expected = header("expect-version");
        const isOther = header("expect-instance") !== id || !isModelHeld || !adapters.has(adapter) ||
            (expected !== undefined && Number(expected) !== adapters.get(adapter));
        if (isOther) {
            refuse(421)();
            return;
        }
        if (replacing.has(adapter) || queue.length >= queueLimit) {
            refuse(503)();
            return;
        }
        const arrivedAt = performance.now();
        const entry = { adapter, refuse: refuse(503), start: undefined };
        let timer;
        const end = () => {
            clearInterval(timer);
            if (queue.includes(entry)) {
                queue.splice(queue.indexOf(entry), 1);
            }
            running.delete(entry);
            finishReplacement(adapter);
            startNext();
        };
        entry.start = () => {
            running.add(entry);
            onEvent({
                kind: "begin",
                id,
                attempt,
                adapter,
                version: adapters.get(adapter),
                expected,
                waited: performance.now() - arrivedAt,
            });
            response.writeHead(200, {
                ...own,
                "X-Oriolehatch-Response-Signature": `sig.${attempt}`,
                "X-Oriolehatch-Weight-Versions": "1",
                "X-Oriolehatch-Server-Load": load(),
                "content-type": "text/event-stream",
            });
            let event = 0;
            timer = setInterval(() => {
                event++;
                response.write(`id: ${event}\ndata: ${attempt} ${event}\n\n`);
                if (event === events) {
                    response.end();
                    end();
                }
            }, eventGapMs);
        };
        request.resume();
        response.once("close", () => response.writableFinished || end());
        onEvent({ kind: "arrive", id, attempt, adapter, expected, queued: queue.length, running: running.size });
        queue.push(entry);
        startNext();
    };
    const handleOrder = (request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.once("end", () => {
            const order = JSON.parse(Buffer.concat(chunks));
            const expected = request.headers["x-oriolehatch-expect-instance"];
            if (expected !== undefined && expected !== id) {
                response.writeHead(421, { "content-length": 0 }).end();
                return;
            }
            const late = delayOrder(order, { sequence, adapters: adapters.size });
            if (late !== undefined) {
                onEvent({ kind: "late order", id, order });
                late(order);
                return;
            }
            const status = carryOut(order);
            onEvent({ kind: "order", id, order, status, sequence });
            response.writeHead(status, { "content-length": 0 }).end();
        });
    };
    const server = createServer((request, response) => {
        if (request.url === "/order") {
            handleOrder(request, response);
        }
        else if (request.url === "/report") {
            request.resume();
            const text = JSON.stringify(reports[0] ?? describe());
            response.writeHead(200, { "content-type": "application/json", "content-length": text.length }).end(text);
        }
        else {
            serve(request, response);
        }
    });
    server.keepAliveTimeout = 30_000;
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    const address = `${host}:${server.address().port}`;
    const beat = () => {
        const { stage, models, sequence: accepted } = describe();
        store.put("keyed.servers", id, {
            service,
            address,
            zone,
            version: "v1",
            slots,
            state: "ready",
            cold_remaining_ms: 0,
            stage,
            models,
            sequence: accepted,
            born,
        });
    };
    beat();
    const beatTimer = setInterval(beat, beatMilliseconds);
    const reportTimer = setInterval(() => {
        reports.push(describe());
        reports.splice(0, reports.length - reportLagMilliseconds / 50);
    }, 50);
    const stop = () => {
        clearInterval(beatTimer);
        clearInterval(reportTimer);
        server.close();
        server.closeAllConnections();
    };
    return {
        id,
        address,
        port: server.address().port,
        carryOut: order => {
            const status = carryOut(order);
            onEvent({ kind: "order carried out late", id, order, status, sequence });
            return status;
        },
        readState: () => ({ sequence, adapters: [...adapters.keys()], running: running.size, queued: queue.length }),
        crash,
        stop,
    };
}
