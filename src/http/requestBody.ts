/**
 * Reads request bodies within size and time limits.
 *
 * @packageDocumentation
 */
import type { IncomingMessage } from "node:http";
import type { Milliseconds, Result } from "../shared/index.js";
import { wrapError, wrapValue } from "../shared/index.js";

/** Limits on a request body. */
export interface BodyLimits {
    /** Maximum size. */
    readonly bodyBytes: number;
    /** Maximum time from the start of reading until the body is complete. */
    readonly bodyTimeout: Milliseconds;
}

/** Why a body could not be read; `callerGone` means that the client closed the connection. */
export type BodyError = "tooLarge" | "tooSlow" | "callerGone";

/**
 * Reads the complete body of a request. After an error, data that still arrives is discarded, except that nothing is read
 * at all if the declared length is over the limit.
 *
 * @param request - request whose body has not been read yet
 * @param limits - maximum size and time
 * @returns the body, or why it could not be read; the promise never rejects
 */
export function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Result<Buffer, BodyError>> {
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    if (declaredBytes > limits.bodyBytes) {
        return Promise.resolve(wrapError("tooLarge"));
    }
    return new Promise(resolve => {
        const parts: Buffer[] = [];
        let size = 0;
        const finish = (result: Result<Buffer, BodyError>): void => {
            clearTimeout(timer);
            request.removeAllListeners("data");
            resolve(result);
        };
        const timer = setTimeout(() => finish(wrapError("tooSlow")), limits.bodyTimeout);
        request.on("data", (part: Buffer) => {
            size += part.length;
            parts.push(part);
            if (size > limits.bodyBytes) {
                finish(wrapError("tooLarge"));
            }
        });
        request.once("end", () => finish(wrapValue(parts.length === 1 ? parts[0]! : Buffer.concat(parts))));
        request.once("close", () => finish(wrapError("callerGone")));
        request.once("error", () => finish(wrapError("callerGone")));
    });
}
