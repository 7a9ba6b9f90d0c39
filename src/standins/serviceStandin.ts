/**
 * HTTP stand-in for a plain service, such as an order or booking server. It counts how often each order was run.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "../shared/index.js";
import { createStandinServer, sendJson, type StandinRequest, type StandinServer } from "./standinServer.js";

/** Options of {@link createServiceStandin}. */
export interface ServiceStandinOptions {
    readonly id: string;
    readonly clock: Clock;
}

/** Faults that a test sets on a service. */
export interface ServiceStandinFaults {
    /** Runs the next `count` calls, but closes the connection instead of responding. */
    readonly loseAnswers: (count: number) => void;
    /** Refuses the next `count` calls without running them. */
    readonly refuseCalls: (count: number) => void;
    /** Answers the next `count` calls with the id of a different request. */
    readonly sendWrongRequestIds: (count: number) => void;
    /** Answers the next `count` calls with status 500 after running them. */
    readonly failCalls: (count: number) => void;
    /** Delays every response by a time after the call has run; 0 turns the delay off. */
    readonly setDelay: (delay: Milliseconds) => void;
}

/** A plain service that listens on a local address. */
export interface ServiceStandin extends StandinServer {
    /** Number of runs by name of the order or booking; reads are not counted. */
    readonly runs: ReadonlyMap<string, number>;
    readonly faults: ServiceStandinFaults;
}

const retryAfterSeconds = "1";

/**
 * Creates an HTTP stand-in for a plain service. A `POST` or `PUT` runs an order, which is named by the field `order` or
 * `booking` of the JSON body, or else by the request id. Every other method is a read.
 *
 * @param options - id of the service and clock
 * @returns the stand-in, not yet listening
 */
export function createServiceStandin(options: ServiceStandinOptions): ServiceStandin {
    const runs = new Map<string, number>();
    const pending = { loseAnswers: 0, refuseCalls: 0, sendWrongRequestIds: 0, failCalls: 0 };
    let delay: Milliseconds = 0;
    const takeFault = (name: keyof typeof pending): boolean => {
        const isDue = pending[name] > 0;
        pending[name] -= isDue ? 1 : 0;
        return isDue;
    };
    const handle = async (request: StandinRequest, response: ServerResponse): Promise<void> => {
        response.setHeader("x-request-id", String(request.headers["x-request-id"] ?? ""));
        if (takeFault("refuseCalls")) {
            sendJson(response, 503, { message: "refused before starting" }, {
                "retry-after": retryAfterSeconds,
                "x-request-id": String(request.headers["x-request-id"] ?? ""),
            });
            return;
        }
        const order = findOrder(request);
        if (order !== undefined) {
            runs.set(order, (runs.get(order) ?? 0) + 1);
        }
        if (delay > 0) {
            await options.clock.sleep(delay);
        }
        if (takeFault("loseAnswers")) {
            response.destroy();
            return;
        }
        const requestId = String(request.headers["x-request-id"] ?? "");
        const headers = { "x-request-id": takeFault("sendWrongRequestIds") ? `not-${requestId}` : requestId };
        if (takeFault("failCalls")) {
            sendJson(response, 500, { message: "failed while running" }, headers);
            return;
        }
        const answer = { service: options.id, path: request.path, order, runs: order && runs.get(order) };
        sendJson(response, order === undefined ? 200 : 201, answer, headers);
    };
    return {
        ...createStandinServer(handle),
        runs,
        faults: {
            loseAnswers: count => pending.loseAnswers = count,
            refuseCalls: count => pending.refuseCalls = count,
            sendWrongRequestIds: count => pending.sendWrongRequestIds = count,
            failCalls: count => pending.failCalls = count,
            setDelay: wanted => delay = wanted,
        },
    };
}

function findOrder(request: StandinRequest): string | undefined {
    if (request.method !== "POST" && request.method !== "PUT") {
        return undefined;
    }
    const named = parseFields(request.body);
    return String(named["order"] ?? named["booking"] ?? request.headers["x-request-id"]);
}

function parseFields(body: Buffer): Record<string, unknown> {
    try {
        return Object(JSON.parse(body.toString("utf8"))) as Record<string, unknown>;
    }
    catch {
        return {};
    }
}
