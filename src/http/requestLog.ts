/**
 * One structured line for each request.
 *
 * @packageDocumentation
 */
import type { RequestReport } from "../requests/index.js";
import { createLogger, type Logger } from "../shared/index.js";

/**
 * Writes the line of a request that has ended.
 *
 * @param report - what is known of it
 * @param log - where to
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
