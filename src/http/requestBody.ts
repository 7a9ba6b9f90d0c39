/**
 * Reads the body of a request within limits of size and time.
 *
 * @packageDocumentation
 */
import type { IncomingMessage } from "node:http";
import type { Milliseconds, Result } from "../shared/index.js";
import { wrapError, wrapValue } from "../shared/index.js";

/** Limits of a body. */
export interface BodyLimits {
    readonly bodyBytes: number;
    readonly bodyTimeout: Milliseconds;
}

/** Why there is no body. */
export type BodyError = "tooLarge" | "tooSlow" | "callerGone";

/**
 * Reads a body whole. On an error the rest of it is left unread.
 *
 * @param request - the request
 * @param limits - size and time
 * @returns the body
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
