/**
 * Logs one structured line per finished request.
 *
 * @packageDocumentation
 */
import type { RequestReport } from "../requests/index.js";
import { createLogger, type Logger } from "../shared/index.js";

/**
 * Logs a finished request.
 *
 * @param report - data of the request; the prompt and the response text are not part of it
 * @param log - logger to write to; by default the logger of the scope `requests`
 */
export function writeRequestLine(report: RequestReport, log: Logger = requestLog): void {
    const { outcome, adapter, tokenGaps, ...fields } = report;
    log.info("request", {
        ...fields,
        adapter: adapter && `${adapter.adapter}@${adapter.version}`,
        outcome: outcome.kind,
        reason: outcome.kind === "completed" ? undefined : outcome.reason,
        longestGap: tokenGaps.reduce((longest, gap) => Math.max(longest, gap), 0),
    });
}

const requestLog = createLogger("requests");
