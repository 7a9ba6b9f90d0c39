/**
 * Client of the tests over whole instances.
 */
import { request as sendHttpRequest } from "node:http";
import { testHost } from "./testHost.js";

/** Requests that a client of the fleet sends. */
export interface TestRequest {
    readonly id: string;
    /** Parts of the prompt; the last one is the request's own. */
    readonly parts: readonly string[];
    readonly key: string;
    /** @default "/x", a stream that can be resumed; paths that begin with "/lookup/" are idempotent requests */
    readonly path?: string;
    /** @default "body" */
    readonly body?: string;
    /** Last event that the client has of an earlier stream. */
    readonly lastEventId?: number;
    /** Attempt that brought the first event of that stream. */
    readonly resumes?: string;
    /** Number of events after which the client closes its connection. */
    readonly leaveAfter?: number;
    /** Time after which the client closes its connection, in milliseconds. */
    readonly leaveDelay?: number;
    /** Whether the last byte of the body is never sent. */
    readonly isBodyCut?: boolean;
}

/** An event that a client got. */
export interface TestEvent {
    readonly id: number;
    /** Software version of the server that wrote it. */
    readonly version: string;
}

/** What a client got. */
export interface TestAnswer {
    /** `undefined` when the connection was closed without an answer. */
    readonly status: number | undefined;
    readonly isComplete: boolean;
    readonly retryAfter: string | undefined;
    readonly events: readonly TestEvent[];
    readonly took: number;
}

/**
 * Sends a request on a connection of its own.
 *
 * @param port - port of an instance on this machine
 * @param request - the request
 * @returns what the client got
 */
export function sendRequest(
    port: number,
    { id, parts, key, path = "/x", body = "body", lastEventId, resumes, leaveAfter, leaveDelay, isBodyCut }:
        TestRequest,
): Promise<TestAnswer> {
    const sentAt = performance.now();
    return new Promise(resolve => {
        let text = "";
        const finish = (answer: Omit<TestAnswer, "took" | "events">): void =>
            resolve({ ...answer, events: readEvents(text), took: performance.now() - sentAt });
        const sent = sendHttpRequest(
            {
                host: testHost,
                port,
                method: "POST",
                path,
                agent: false,
                headers: {
                    id,
                    key,
                    ...isBodyCut ? { "content-length": String(body.length) } : {},
                    ...parts.length === 0 ? {} : { parts: parts.join() },
                    ...lastEventId === undefined ? {} : { "last-event-id": String(lastEventId) },
                    ...resumes === undefined ? {} : { resumes },
                },
            },
            response => {
                const { statusCode: status, headers } = response;
                response.on("data", (chunk: Buffer) => {
                    text += chunk.toString();
                    if (leaveAfter !== undefined && readEvents(text).length >= leaveAfter) {
                        sent.destroy();
                    }
                });
                response.once(
                    "close",
                    () => finish({ status, isComplete: response.complete, retryAfter: headers["retry-after"] }),
                );
            },
        );
        sent.once("error", () => finish({ status: undefined, isComplete: false, retryAfter: undefined }));
        if (leaveDelay !== undefined) {
            setTimeout(() => sent.destroy(), leaveDelay);
        }
        if (isBodyCut) {
            sent.write(body.slice(0, -1));
        }
        else {
            sent.end(body);
        }
    });
}

function readEvents(text: string): TestEvent[] {
    return [...text.matchAll(/id: (\d+)\ndata: (.*)\n\n/g)].map(([, id, version]) => ({
        id: Number(id),
        version: version!,
    }));
}
