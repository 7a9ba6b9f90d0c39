/**
 * Process of backend servers, so that a signal can stop them all at once: they then accept, answer and write nothing.
 * Each request says in `X-Work` how long it takes. Started by `startSilentServers`, to which it sends entries and runs.
 */
import { fileURLToPath } from "node:url";
import { startWireServer, type WireRun, type WireServer } from "./wireServers.js";

/** A server of the process. */
export interface ServerSpec {
    readonly service: string;
    readonly id: string;
    readonly isEngine: boolean;
}

/** What the process tells. */
export type ServerMessage =
    | { readonly kind: "entry"; readonly id: string; readonly value: string; }
    | { readonly kind: "run"; readonly attemptId: string; }
    | { readonly kind: "started"; readonly addresses: readonly string[]; };

/** Base model of the engines. */
export const baseModel = "base";
/** Interval between events of a stream. */
export const eventIntervalMilliseconds = 100;
const loadMilliseconds = 200;
const engineFields = { slots: 32, models: [{ name: baseModel, version: 1, adapters: [] }] };
/** Further connections wait outside, and aren't accepted by a process that stands still. */
const backlog = 8;

function sendMessage(message: ServerMessage): void {
    process.send!(message);
}

function runRequest({ attemptId, request, response, ownHeaders }: WireRun): void {
    sendMessage({ kind: "run", attemptId });
    const work = Number(request.headers["x-work"] ?? 0);
    const headers = { ...ownHeaders, "X-Oriolehatch-Response-Signature": `sig.${attemptId}` };
    if (request.headers["x-events"] === undefined) {
        const text = `ran ${attemptId}`;
        const finish = (): void =>
            void response.writeHead(200, { ...headers, "Content-Length": text.length }).end(text);
        const timer = setTimeout(finish, work);
        response.once("close", () => clearTimeout(timer));
        return;
    }
    response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
    const count = Number(request.headers["x-events"]);
    let id = Number(request.headers["last-event-id"] ?? 0);
    const timer = setInterval(() => {
        response.write(`id: ${++id}\ndata: ${id}\n\n`);
        if (id >= count) {
            clearInterval(timer);
            response.end();
        }
    }, eventIntervalMilliseconds);
    response.once("close", () => clearInterval(timer));
}

// holds the adapters that it is ordered to load
function createEngine(): (run: WireRun) => boolean {
    const adapters = new Set<string>();
    const pending = new Set<string>();
    let sequence = 0;
    const sendJson = ({ response }: WireRun, status: number, body: unknown): boolean => {
        response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(body));
        return true;
    };
    const sendReport = (run: WireRun): boolean =>
        sendJson(run, 200, {
            sequence,
            models: [{ name: baseModel, version: 1, adapters: [...adapters] }],
            pending: [...pending].map(adapter => `${baseModel}/${adapter}@1`),
        });
    const load = (run: WireRun, adapter: string): boolean => {
        if (adapters.has(adapter)) {
            return sendJson(run, 200, {});
        }
        if (pending.has(adapter)) {
            return sendJson(run, 202, {});
        }
        pending.add(adapter);
        sequence++;
        setTimeout(() => {
            pending.delete(adapter);
            adapters.add(adapter);
        }, loadMilliseconds);
        return sendJson(run, 202, {});
    };
    const unload = (run: WireRun, adapter: string): boolean => {
        adapters.delete(adapter);
        sequence++;
        return sendJson(run, 200, {});
    };
    const applyOrder = (run: WireRun): boolean => {
        const order = JSON.parse(run.body.toString()) as Readonly<Record<string, unknown>>;
        if (order["precondition"] !== undefined && order["precondition"] !== sequence) {
            return sendJson(run, 409, {});
        }
        const adapter = String(order["adapter"]);
        return order["operation"] === "unload" ? unload(run, adapter) : load(run, adapter);
    };
    return run => {
        const { request, response, ownHeaders } = run;
        if (request.url === "/report") {
            return sendReport(run);
        }
        if (request.url === "/order") {
            return applyOrder(run);
        }
        const [, adapter] = String(request.headers["x-oriolehatch-model"]).split("/");
        if (!adapters.has(adapter!)) {
            response.writeHead(421, { ...ownHeaders, "X-Oriolehatch-Not-Executed": "1", "Content-Length": "0" }).end();
            return true;
        }
        runRequest(run);
        return true;
    };
}

function startServer({ service, id, isEngine }: ServerSpec): Promise<WireServer> {
    const respond = isEngine ? createEngine() : (run: WireRun): boolean => {
        runRequest(run);
        return true;
    };
    const put = (topic: string, key: string, value: string | Uint8Array | undefined): void =>
        sendMessage({ kind: "entry", id: key, value: String(value) });
    return startWireServer({ service, id, respond, backlog, store: { put }, fields: isEngine ? engineFields : {} });
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
    const specs = JSON.parse(process.argv[2] ?? "[]") as readonly ServerSpec[];
    const servers = await Promise.all(specs.map(startServer));
    sendMessage({ kind: "started", addresses: servers.map(({ address }) => address) });
    process.on("disconnect", () => process.exit());
}
