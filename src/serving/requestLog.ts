/**
 * The log line of a request's end.
 *
 * @packageDocumentation
 */
import type { Milliseconds, StructuredLog } from "../shared/index.js";
import type { RequestReport } from "./requestState.js";
import type { ClientRequest } from "./types.js";

/**
 * Writes the line.
 *
 * @param log - where to
 * @param request - the request
 * @param report - how it ended
 * @param took - time since its arrival
 */
export function writeRequestLog(
    log: StructuredLog,
    request: ClientRequest,
    report: RequestReport,
    took: Milliseconds,
): void {
    const writeLine = report.outcome === "answered" ? log.info : log.warn;
    writeLine("request", {
        id: request.attemptId,
        ...report,
        model: request.choice && `${request.choice.model}/${request.choice.adapter ?? ""}`,
        tokens: request.tokens && request.tokens.prompt + request.tokens.output,
        took: Math.round(took),
    });
}
