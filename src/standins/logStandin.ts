/**
 * HTTP stand-in for the platform's log service, built on the log model.
 *
 * @packageDocumentation
 */
import type { ServerResponse } from "node:http";
import type { LogError, LogService } from "../backends/index.js";
import { millisecondsPerSecond } from "../shared/index.js";
import {
    createLogModel,
    createMemoryLogService,
    type LogAnswer,
    type LogFaults,
    type LogModelOptions,
} from "./logModel.js";
import { createStandinServer, sendJson, type StandinRequest, type StandinServer } from "./standinServer.js";

/** A log service that listens on a local address. */
export interface LogStandin extends StandinServer {
    readonly faults: LogFaults;
    /** Client that accesses the same log without HTTP, for tests in virtual time. */
    readonly service: LogService;
}

const recordsPath = /^\/streams\/([^/]+)\/records$/;
const defaultMaximumRecords = 500;

/**
 * Creates an HTTP stand-in for the log service.
 *
 * @param options - append rate, retention and clock
 * @returns the stand-in, not yet listening
 */
export function createLogStandin(options: LogModelOptions): LogStandin {
    const model = createLogModel(options);
    const handle = async (request: StandinRequest, response: ServerResponse): Promise<void> => {
        const stream = recordsPath.exec(request.path)?.[1];
        if (stream === undefined) {
            sendJson(response, 404, { message: "no such endpoint; use POST or GET /streams/NAME/records" });
            return;
        }
        if (request.method === "POST") {
            sendAnswer(response, await model.append(stream, request.body), offset => ({ offset }));
            return;
        }
        const readNumber = (name: string, otherwise: number): number => Number(request.query.get(name) ?? otherwise);
        const answer = await model.read(stream, {
            from: readNumber("from", 0),
            maximumRecords: readNumber("max", defaultMaximumRecords),
            waitFor: readNumber("wait", 0),
            signal: request.signal,
        });
        sendAnswer(response, answer, page => ({
            records: page.records.map(record => ({
                offset: record.offset,
                appendedAt: record.appendedAt,
                payload: Buffer.from(record.payload).toString("base64"),
            })),
            earliest: page.earliest,
            head: page.head,
        }));
    };
    return { ...createStandinServer(handle), faults: model.faults, service: createMemoryLogService(model) };
}

function sendAnswer<Value>(
    response: ServerResponse,
    answer: LogAnswer<Value>,
    describe: (value: Value) => unknown,
): void {
    if (answer.kind === "lost") {
        response.destroy();
    }
    else if (answer.result.ok) {
        sendJson(response, 200, describe(answer.result.value));
    }
    else {
        sendError(response, answer.result.error);
    }
}

function sendError(response: ServerResponse, error: LogError): void {
    switch (error.kind) {
        case "unavailable":
        case "unknownOutcome":
            return sendJson(response, 503, { message: error.detail });
        case "rateLimited":
            return sendJson(response, 429, {
                message: "the append rate is exceeded; retry later",
                retryAfter: error.retryAfter,
            }, {
                "retry-after": String(Math.ceil(error.retryAfter / millisecondsPerSecond)),
            });
        case "expired":
            return sendJson(response, 410, { message: "the records have expired", earliest: error.earliest });
    }
}
