/**
 * Interface to a plain service, the kind of backend server that is not a model engine.
 *
 * @packageDocumentation
 */
import type { RequestId, Result } from "../shared/index.js";
import type { BackendError } from "./engineClient.js";

/** A request to a plain service. Its headers must not contain a client's API key. */
export interface ServiceRequest {
    readonly requestId: RequestId;
    readonly method: string;
    /** Path and query relative to the root of the service; begins with `/`. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

/** Complete response of a plain service. */
export interface ServiceResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

/** Client of one plain service. */
export interface ServiceClient {
    /** Sends a request; resolves once the complete response has been received. */
    readonly call: (request: ServiceRequest, signal: AbortSignal) => Promise<Result<ServiceResponse, BackendError>>;
}
