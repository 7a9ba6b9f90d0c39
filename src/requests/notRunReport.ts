/**
 * Report of a request that was refused at admission, before it reserved tokens.
 *
 * @packageDocumentation
 */
import type { Milliseconds, RequestId } from "../shared/index.js";
import type { RequestOutcome } from "./outcome.js";
import type { RequestReport } from "./types.js";

/** Fields that are known of a refused request. */
export interface NotRunRequest {
    readonly requestId: RequestId;
    readonly route: string | undefined;
    readonly outcome: RequestOutcome;
    /** Milliseconds from the request's arrival to its refusal. */
    readonly total: Milliseconds;
}

/**
 * Builds the report of a request that was refused at admission.
 *
 * @param request - the known fields of the request
 * @returns a report in which waits, attempts and tokens are 0, and account, class and backend server are `undefined`
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
