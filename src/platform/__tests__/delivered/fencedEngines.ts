/**
 * Behaviour of stand-in engines that check fencing numbers: they hold the adapters that they are ordered to load, refuse
 * orders whose number is lower than one seen, and record all orders.
 */
import type { WireRun } from "./wireServers.js";

/** An order as an engine got it. */
export interface RecordedOrder {
    readonly server: string;
    readonly holder: string;
    readonly fencingNumber: number;
    readonly status: number;
    /** When it arrived, in milliseconds of the monotonic clock. */
    readonly at: number;
}

/** Base model of all engines. */
export const fencedModel = "base";
/** Header with the number of events of a stream. */
export const eventsHeader = "x-events";
const loadMilliseconds = 100;
const eventIntervalMilliseconds = 30;

interface OrderBody {
    readonly operation: string;
    readonly adapter?: string;
    readonly precondition?: number;
    readonly holder?: string;
    readonly fencing_token?: number;
}

/**
 * Creates the behaviour of an engine that has just started.
 *
 * @param server - id of the engine
 * @param orders - takes each order
 * @returns the behaviour
 */
export function createFencedEngine(server: string, orders: RecordedOrder[]): (run: WireRun) => boolean {
    const adapters = new Set<string>();
    const pending = new Set<string>();
    let sequence = 0;
    let highest = Number.NEGATIVE_INFINITY;
    const load = (adapter: string): number => {
        if (adapters.has(adapter) || pending.has(adapter)) {
            return adapters.has(adapter) ? 200 : 202;
        }
        sequence++;
        pending.add(adapter);
        setTimeout(() => {
            pending.delete(adapter);
            adapters.add(adapter);
        }, loadMilliseconds);
        return 202;
    };
    const unload = (adapter: string): number => {
        sequence += adapters.delete(adapter) ? 1 : 0;
        return 200;
    };
    const decideOrder = ({ operation, adapter, precondition, holder, fencing_token: number }: OrderBody): number => {
        if (holder === undefined || number === undefined || adapter === undefined) {
            return 400;
        }
        if (number < highest) {
            return 412;
        }
        highest = number;
        if (precondition !== undefined && precondition !== sequence) {
            return 409;
        }
        return operation === "load" ? load(adapter) : unload(adapter);
    };
    const takeOrder = (run: WireRun): void => {
        const order = JSON.parse(run.body.toString()) as OrderBody;
        const status = decideOrder(order);
        const { holder = "", fencing_token: fencingNumber = Number.NaN } = order;
        orders.push({ server, holder, fencingNumber, status, at: performance.now() });
        sendJson(run, status, {});
    };
    return run => {
        const { request, response, ownHeaders } = run;
        const [, adapter] = String(request.headers["x-oriolehatch-model"]).split("/");
        if (request.url === "/order") {
            takeOrder(run);
        }
        else if (request.url === "/report") {
            const models = [{ name: fencedModel, version: 1, adapters: [...adapters].map(name => `${name}@1`) }];
            const loading = [...pending].map(name => `${fencedModel}/${name}@1`);
            sendJson(run, 200, { stage: "combined", models, busy: false, sequence, pending: loading });
        }
        else if (!adapters.has(adapter!)) {
            response.writeHead(421, { ...ownHeaders, "X-Oriolehatch-Not-Executed": "1", "Content-Length": "0" }).end();
        }
        else {
            writeEvents(run);
        }
        return true;
    };
}

function writeEvents({ attemptId, request, response, ownHeaders }: WireRun): void {
    const count = Number(request.headers[eventsHeader]);
    let id = Number(request.headers["last-event-id"] ?? 0);
    const signature = { "X-Oriolehatch-Response-Signature": `sig.${attemptId}` };
    response.writeHead(200, { ...ownHeaders, ...signature, "Content-Type": "text/event-stream" });
    const timer = setInterval(() => {
        response.write(`id: ${++id}\ndata: ${id}\n\n`);
        if (id >= count) {
            clearInterval(timer);
            response.end();
        }
    }, eventIntervalMilliseconds);
    response.once("close", () => clearInterval(timer));
}

function sendJson({ response, ownHeaders }: WireRun, status: number, body: unknown): void {
    response.writeHead(status, { ...ownHeaders, "Content-Type": "application/json" }).end(JSON.stringify(body));
}
