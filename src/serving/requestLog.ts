/**
 * Log entry written at the end of each request.
 *
 * @packageDocumentation
 */
import type { Logger, Milliseconds } from "../shared/index.js";
import type { RequestReport } from "./requestState.js";
import type { ClientRequest } from "./types.js";

/**
 * Writes the log entry of a request, at level `info` when the request was answered and `warn` otherwise.
 *
 * @param log - log that receives the entry
 * @param request - the request
 * @param report - report on the request; all its fields become fields of the entry
 * @param took - time from the arrival of the request to its end
 */
export function writeRequestLog(
    log: Logger,
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
        parts: request.prompt && [...request.prompt.shared, request.prompt.own].join(),
        took: Math.round(took),
    });
}
