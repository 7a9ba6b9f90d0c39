/**
 * Report of a request that was refused before anything was done for it.
 *
 * @packageDocumentation
 */
import type { Milliseconds, RequestId } from "../shared/index.js";
import type { RequestOutcome } from "./outcome.js";
import type { RequestReport } from "./types.js";

/** What is known of such a request. */
export interface NotRunRequest {
    readonly requestId: RequestId;
    readonly route: string | undefined;
    readonly outcome: RequestOutcome;
    /** Time since its arrival. */
    readonly total: Milliseconds;
}

/**
 * Builds the report.
 *
 * @param request - what is known of the request
 * @returns a report without waits, tries and tokens
 */
export function buildNotRunReport(request: NotRunRequest): RequestReport {
    return {
        ...request,
        account: undefined,
        requestClass: undefined,
        adapter: undefined,
        backendServer: undefined,
        attempts: 0,
        queueWait: 0,
        loadStall: 0,
        timeToFirstToken: undefined,
        tokenGaps: [],
        promptTokens: 0,
        outputTokens: 0,
    };
}
