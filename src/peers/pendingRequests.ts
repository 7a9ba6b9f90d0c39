/**
 * Keeps the requests to peers that have no response yet.
 *
 * @packageDocumentation
 */
import { type InstanceId, type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";
import type { PeerError } from "./types.js";

/** Requests without a response. */
export interface PendingRequests {
    /** Registers a new request; its `answer` resolves in any case, with a `timeout` error at the latest. */
    readonly open: (to: InstanceId, timeout: Milliseconds) => OpenedRequest;
    /** Completes a request with its response; a response that is late or from another peer is ignored. */
    readonly finish: (from: InstanceId, id: number, body: unknown) => void;
    /** Ends one request with an error. */
    readonly fail: (id: number, error: PeerError) => void;
    /** Ends all requests to a peer with an error. */
    readonly failAll: (to: InstanceId, error: PeerError) => void;
}

/** A registered request. */
export interface OpenedRequest {
    readonly id: number;
    /** Resolves with the body of the response, or with an error; never rejects. */
    readonly answer: Promise<Result<unknown, PeerError>>;
}

interface PendingRequest {
    readonly to: InstanceId;
    readonly settle: (result: Result<unknown, PeerError>) => void;
}

/**
 * Creates an empty table of pending requests.
 *
 * @returns the table; request ids are unique within it
 */
export function createPendingRequests(): PendingRequests {
    const waiting = new Map<number, PendingRequest>();
    let lastId = 0;
    const open = (to: InstanceId, timeout: Milliseconds): OpenedRequest => {
        const id = ++lastId;
        const answer = new Promise<Result<unknown, PeerError>>(resolve => {
            const timer = setTimeout(() => settle(wrapError({ kind: "timeout" })), timeout);
            const settle = (result: Result<unknown, PeerError>): void => {
                clearTimeout(timer);
                waiting.delete(id);
                resolve(result);
            };
            waiting.set(id, { to, settle });
        });
        return { id, answer };
    };
    return {
        open,
        finish: (from, id, body) => {
            const request = waiting.get(id);
            if (request?.to === from) {
                request.settle(wrapValue(body));
            }
        },
        fail: (id, error) => waiting.get(id)?.settle(wrapError(error)),
        failAll: (to, error) => {
            for (const request of [...waiting.values()]) {
                if (request.to === to) {
                    request.settle(wrapError(error));
                }
            }
        },
    };
}
