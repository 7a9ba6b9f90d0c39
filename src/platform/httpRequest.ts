/**
 * One call with a time limit, shared by the clients of the store and of engines.
 *
 * @packageDocumentation
 */
import type { Dispatcher } from "undici";
import { type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";

/** A call. */
export interface HttpRequest {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array;
    /** After it the connection is given up, as it may have gone silent. */
    readonly timeout: Milliseconds;
}

/** An answer with its whole body. */
export interface HttpResponse {
    readonly status: number;
    readonly body: Buffer;
}

/** Why there is no answer. The call may have been carried out, or may be later, unless it was never sent. */
export interface HttpRequestError {
    readonly kind: "unanswered";
    readonly wasSent: boolean;
    readonly detail: string;
}

/**
 * Makes a call.
 *
 * @param dispatcher - connections to the server
 * @param httpRequest - what to call
 * @returns the answer, or why there is none
 */
export async function sendHttpRequest(
    dispatcher: Dispatcher,
    httpRequest: HttpRequest,
): Promise<Result<HttpResponse, HttpRequestError>> {
    try {
        const answer = await dispatcher.request({
            method: httpRequest.method,
            path: httpRequest.path,
            headers: httpRequest.headers,
            body: httpRequest.body,
            signal: AbortSignal.timeout(httpRequest.timeout),
        });
        const body = Buffer.from(await answer.body.arrayBuffer());
        return wrapValue({ status: answer.statusCode, body });
    }
    catch (error) {
        const detail = (error as NodeJS.ErrnoException).code ?? String(error);
        const wasSent = detail !== "ECONNREFUSED" && detail !== "UND_ERR_CONNECT_TIMEOUT";
        return wrapError({ kind: "unanswered", wasSent, detail });
    }
}
