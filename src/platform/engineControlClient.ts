/**
 * HTTP client that orders engines to load and unload models and adapters, and reads their reports. An engine is a
 * backend server that runs base models with LoRA adapters.
 *
 * @packageDocumentation
 */
import { Agent } from "undici";
import * as z from "zod";
import type {
    EngineControl,
    EngineNotice,
    EngineOrder,
    EngineReport,
    EngineReportLoad,
    OrderOutcome,
    ReportError,
} from "../adapters/types.js";
import { createServerSockets } from "../serving/serverSockets.js";
import type { BackendServer } from "../serving/types.js";
import {
    countSchema,
    createListSchema,
    describeInputError,
    nameSchema,
    ordinalSchema,
    parseBoundedJson,
    type Result,
    startTimeSchema,
    wrapError,
    wrapValue,
} from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import { decodeLeavingNotice } from "./headers.js";
import { type HttpResponse, sendHttpRequest } from "./httpRequest.js";
import { decodeLoadedAdapter, loadedModelsSchema } from "./serverEntry.js";

/** Engines respond immediately, and an order without a response delays all later orders to its engine. */
const requestTimeoutMilliseconds = 60;
const connectTimeoutMilliseconds = 250;
const idleTimeoutMilliseconds = 3_000;

/** Largest report that is read; one with thousands of adapters has a third of it. */
const maximumReportBytes = 262_144;

const reportSchema = z.object({
    // start of the process as Unix time in milliseconds
    born: startTimeSchema.optional(),
    // number of orders that the engine has accepted since its start
    sequence: ordinalSchema,
    models: loadedModelsSchema.default([]),
    // adapters that are being loaded, as MODEL/ADAPTER@VERSION
    pending: createListSchema(nameSchema).default([]),
    // a figure that can't be used must not cost the whole report
    running_requests: countSchema.optional().catch(undefined),
    queued_requests: countSchema.optional().catch(undefined),
    kv_cache_used: countSchema.optional().catch(undefined),
    kv_cache_total: countSchema.optional().catch(undefined),
});

/**
 * Creates a client for all engines.
 *
 * @param onHeaders - called with the names of the headers of each response
 * @returns the client; it connects on the first call, and its owner closes it
 */
export function createEngineControlClient(
    onHeaders: (names: Iterable<string>) => void,
): EngineControl & { readonly close: () => void; } {
    const sockets = createServerSockets(connectTimeoutMilliseconds);
    const agent = new Agent({
        connections: 2,
        pipelining: 1,
        connect: sockets.connect,
        maxResponseSize: maximumReportBytes,
        keepAliveTimeout: idleTimeoutMilliseconds,
    });
    return {
        order: async (server, order) => {
            const answer = await sendHttpRequest(agent.compose(createOriginInterceptor(server)), {
                method: "POST",
                path: "/order",
                headers: { "content-type": "application/json", "x-oriolehatch-expect-instance": server.id },
                body: JSON.stringify(encodeOrder(order)),
                timeout: requestTimeoutMilliseconds,
                onHeaders,
            }, sockets);
            if (!answer.ok) {
                return answer.error.wasSent ? { kind: "unknown" } : { kind: "unreachable" };
            }
            const outcome = decodeOrderOutcome(answer.value.status, answer.value.body.toString("utf8"));
            return { ...outcome, ...decodeNotice(answer.value) };
        },
        report: async server => {
            const answer = await sendHttpRequest(agent.compose(createOriginInterceptor(server)), {
                method: "GET",
                path: "/report",
                headers: { "x-oriolehatch-expect-instance": server.id },
                timeout: requestTimeoutMilliseconds,
                onHeaders,
            }, sockets);
            if (!answer.ok) {
                return wrapError({ kind: "unanswered", detail: answer.error.detail });
            }
            const notice = decodeNotice(answer.value);
            const report = decodeEngineReport(answer.value.status, answer.value.body.toString("utf8"));
            return report.ok
                ? wrapValue({ ...report.value, ...notice })
                : wrapError({ ...report.error, ...notice });
        },
        close: () => startTask("close connections", () => agent.destroy()),
    };
}

type AgentInterceptor = Parameters<Agent["compose"]>[0];

function createOriginInterceptor(server: BackendServer): AgentInterceptor {
    return dispatch => (options, handler) => dispatch({ ...options, origin: `http://${server.address}` }, handler);
}

function decodeNotice({ headers }: HttpResponse): EngineNotice {
    const text = headers["server-leaving"];
    return decodeLeavingNotice(Array.isArray(text) ? text[0] : text) ? { isLeaving: true } : {};
}

function encodeOrder(order: EngineOrder): Record<string, unknown> {
    return {
        operation: order.action,
        model: order.model,
        adapter: order.adapter,
        version: order.version,
        // the engine refuses the order if its `sequence` differs, so that an order that arrives late has no effect
        precondition: order.expectedSequence,
        holder: order.holder,
        fencing_token: order.fencingNumber,
    };
}

function decodeOrderOutcome(status: number, body: string): OrderOutcome {
    switch (status) {
        case 200:
            return { kind: "done" };
        case 202:
            return { kind: "accepted" };
        case 409:
            return { kind: "conflict", detail: body };
        case 412:
            return { kind: "fenced" };
        case 421:
            return { kind: "otherServer" };
        default:
            return { kind: "refused", status, detail: body };
    }
}

/**
 * Decodes an engine's report.
 *
 * @param status - status of the response
 * @param body - content of the response; not trusted
 * @returns the report; an error when the response is none
 */
export function decodeEngineReport(status: number, body: string): Result<EngineReport, ReportError> {
    if (status !== 200) {
        return wrapError({ kind: "unanswered", detail: `status ${status}` });
    }
    try {
        const report = reportSchema.parse(parseBoundedJson(body, maximumReportBytes));
        return wrapValue({
            startedAt: report.born,
            sequence: report.sequence,
            models: report.models,
            pending: report.pending.filter(text => text.includes("/")).map(decodePendingLoad),
            load: decodeReportLoad(report),
        });
    }
    catch (error) {
        return wrapError({ kind: "unanswered", detail: describeInputError(error) });
    }
}

function decodeReportLoad(report: z.infer<typeof reportSchema>): EngineReportLoad | undefined {
    const { running_requests: running, queued_requests: queued, kv_cache_used: usedTokens } = report;
    const totalTokens = report.kv_cache_total;
    // an engine without memory could run nothing
    return running === undefined || queued === undefined || usedTokens === undefined || !totalTokens
        ? undefined
        : { running, queued, usedTokens, totalTokens };
}

function decodePendingLoad(text: string): EngineReport["pending"][number] {
    const slash = text.indexOf("/");
    const { name, version } = decodeLoadedAdapter(text.slice(slash + 1));
    return { model: text.slice(0, slash), adapter: name, version };
}
