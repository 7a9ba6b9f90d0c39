// Stand-in of an engine at the wire: one base model, adapters that it is ordered to load, and streams.
import { startServer } from "./server.mjs";

const loadMilliseconds = 100;
const eventMilliseconds = 20;

/** Starts an engine; `adapterSlots` adapters fit. */
export async function startEngine({ store, service, id, model, adapterSlots = 18, slots = 32, events = 5, onRun }) {
    const adapters = new Set();
    const pending = new Set();
    let sequence = 0;
    let fence = 0;
    let running = 0;
    const list = () => [{ name: model, version: 1, adapters: [...adapters].map(name => `${name}@1`) }];
    const sendJson = (response, own, status, body) => {
        const text = JSON.stringify(body);
        response.writeHead(status, { ...own, "Content-Type": "application/json", "Content-Length": text.length });
        response.end(text);
        return true;
    };
    const load = name => {
        if (adapters.has(name)) {
            return 200;
        }
        if (!pending.has(name)) {
            if (adapters.size + pending.size >= adapterSlots) {
                throw new Error("ordered to load more than it holds");
            }
            sequence++;
            pending.add(name);
            setTimeout(() => {
                pending.delete(name);
                adapters.add(name);
            }, loadMilliseconds);
        }
        return 202;
    };
    const applyOrder = body => {
        const { operation, adapter, precondition, fencing_token: token, holder } = JSON.parse(body.toString());
        if (holder === undefined || token === undefined || adapter === undefined) {
            return 400;
        }
        if (token < fence) {
            return 412;
        }
        fence = token;
        if (operation === "load" && adapters.has(adapter)) {
            return 200;
        }
        if (operation === "load" && pending.has(adapter)) {
            return 202;
        }
        if (precondition !== undefined && precondition !== sequence) {
            return 409;
        }
        if (operation === "unload") {
            sequence++;
            adapters.delete(adapter);
            return 200;
        }
        return load(adapter);
    };
    const stream = ({ attemptId, request, response, own }) => {
        const first = Number(request.headers["last-event-id"] ?? 0);
        let event = first;
        running++;
        onRun({ attemptId, id });
        response.writeHead(200, {
            ...own,
            "X-Oriolehatch-Response-Signature": `${id}.${attemptId}`,
            "Content-Type": "text/event-stream",
        });
        const timer = setInterval(() => {
            response.write(`id: ${++event}\ndata: ${event}\n\n`);
            if (event >= events) {
                response.end();
            }
        }, eventMilliseconds);
        response.once("close", () => {
            clearInterval(timer);
            running--;
        });
        response.once("finish", () => clearInterval(timer));
        return true;
    };
    const respond = run => {
        const { request, response, body, own } = run;
        if (request.url === "/report") {
            return sendJson(response, own, 200, {
                stage: "combined", models: list(), busy: false, sequence, queued_requests: 0, running_requests: running,
                kv_cache_used: 0, kv_cache_total: 100_000, handles: 0,
                pending: [...pending].map(name => `${model}/${name}@1`),
            });
        }
        if (request.url === "/order") {
            return sendJson(response, own, applyOrder(body), {});
        }
        const [, adapter] = String(request.headers["x-oriolehatch-model"]).split("/");
        if (!adapters.has(adapter)) {
            response.writeHead(421, { ...own, "X-Oriolehatch-Not-Executed": "1", "Content-Length": "0" }).end();
            return true;
        }
        return stream(run);
    };
    const fields = { stage: "combined", models: [{ name: model, version: 1, adapters: [] }] };
    return startServer({ store, service, id, slots, respond, fields });
}
