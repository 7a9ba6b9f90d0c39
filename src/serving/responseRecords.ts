/**
 * Records what the head of a response shows of its server: load, limits, failures, and whether it has run the request.
 *
 * @packageDocumentation
 */
import { createLogger } from "../shared/index.js";
import type { RequestParts, RequestState, SelectedServer } from "./requestState.js";
import { computeMeanSlowness } from "./serverRecords.js";
import {
    type AnswerReport,
    type BackendServer,
    formatServerRunId,
    type ReportedLoad,
    type ServerResponseHead,
    type StatedColdness,
} from "./types.js";

/** Status of a server that doesn't hold the model or adapter that the request selects. */
const misdirectedStatus = 421;
const lowestServerErrorStatus = 500;
/** Age from which on a stated load is not passed on to the holder of an engine's shard. */
const reportedLoadLifetimeMilliseconds = 1_000;
const log = createLogger("serving");

/**
 * Records the head of a response.
 *
 * @param parts - parts of the instance
 * @param state - state of the request, which is updated
 * @param selected - server of the present attempt
 * @param head - the head
 */
export function recordResponseHead(
    parts: RequestParts,
    state: RequestState,
    selected: SelectedServer,
    head: ServerResponseHead,
): void {
    const run = formatServerRunId(selected.server);
    const now = parts.clock.now();
    const record = parts.records.getRecord(run);
    if (head.load) {
        record.slowness = computeMeanSlowness(record, head.load, now);
        record.load = head.load;
        record.loadReceivedAt = now;
    }
    if (head.retryAfter !== undefined) {
        log.info("server wants no requests", { run, duration: head.retryAfter, id: state.request.attemptId });
        parts.servers.markShedding(run, now + head.retryAfter);
    }
    // an answer of another run says nothing of this one
    if (head.status !== misdirectedStatus) {
        recordLimit(parts, selected.server, head.requestLimit);
        recordColdness(parts, selected, head.coldFor);
    }
    else if (!selected.release && selected.permit?.until !== undefined) {
        parts.permits.returnPermit(selected.server);
    }
    if (head.isNotRun) {
        state.refusedBy.add(run);
        if (state.request.choice && head.status === misdirectedStatus) {
            state.placeOutcome = "missing";
        }
        else {
            state.excludedServers.add(run);
        }
        return;
    }
    if (head.status >= lowestServerErrorStatus || !head.isSigned) {
        state.excludedServers.add(run);
        state.placeOutcome = "failed";
        parts.records.markFailure(run, false, now);
        return;
    }
    state.placeOutcome = "answered";
    parts.guard.markServerAnswered(run, state.sentAt, now);
    parts.records.markSuccess(run, now);
}

// the holder of the server's shard learns of a change, as it grants the permits
function recordColdness(
    parts: RequestParts,
    { server, permit }: SelectedServer,
    coldFor: StatedColdness | undefined,
): void {
    // the holder alone may hold the server for cold
    const wasPaced = permit?.until !== undefined || parts.cold.needsPermit(formatServerRunId(server));
    parts.cold.recordResponse(server, coldFor);
    if (typeof coldFor === "number" && (coldFor > 0 || wasPaced)) {
        parts.permits.recordCold(server, coldFor);
    }
}

function recordLimit(parts: RequestParts, server: BackendServer, requestsPerSecond: number | undefined): void {
    const run = formatServerRunId(server);
    const record = parts.records.getRecord(run);
    if (record.requestLimit !== requestsPerSecond) {
        log.info("limit of a server", { run, previous: record.requestLimit, requestsPerSecond });
        record.requestLimit = requestsPerSecond;
    }
    parts.permits.recordLimit(server, requestsPerSecond);
}

/**
 * Describes what the present attempt has shown of its engine's speed and load.
 *
 * @param parts - parts of the instance
 * @param state - state of the request
 * @param selected - server of the attempt
 * @returns the report for the holder of the engine's shard
 */
export function describeAnswer(
    parts: Pick<RequestParts, "clock" | "records">,
    { sentAt, beganAt, pace }: Pick<RequestState, "sentAt" | "beganAt" | "pace">,
    { server }: SelectedServer,
): AnswerReport {
    const { firstAt: firstEventAt, lastAt, gaps, wasHeldBack, isFirstReported } = pace;
    const firstAt = firstEventAt ?? beganAt;
    const hasPace = firstEventAt !== undefined && gaps > 0 && !wasHeldBack;
    const load = describeLoad(parts, server);
    // fields without a value would be sent
    return {
        ...firstAt !== undefined && !isFirstReported && { firstEventAfter: Math.round(firstAt - sentAt) },
        ...hasPace && { eventGap: Math.round((lastAt - firstEventAt) / gaps) },
        ...load && { load },
    };
}

function describeLoad(
    { clock, records }: Pick<RequestParts, "clock" | "records">,
    server: BackendServer,
): ReportedLoad | undefined {
    const { load, loadReceivedAt, slowness } = records.getRecord(formatServerRunId(server));
    const age = Math.round(Math.max(0, clock.now() - loadReceivedAt));
    return load && age <= reportedLoadLifetimeMilliseconds
        ? { running: load.running, waiting: load.waiting, age, ...load.slowness !== undefined && { slowness } }
        : undefined;
}
