/**
 * What the system needs of a plain service.
 *
 * @packageDocumentation
 */
import type { RequestId, Result } from "../shared/index.js";
import type { BackendError } from "./engineClient.js";

/** A call of a plain service; headers hold no key of a caller. */
export interface ServiceRequest {
    readonly requestId: RequestId;
    readonly method: string;
    /** Path and query below the service's root. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

/** A whole answer of a plain service. */
export interface ServiceResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

/** A connection to one plain service. */
export interface ServiceClient {
    readonly call: (request: ServiceRequest, signal: AbortSignal) => Promise<Result<ServiceResponse, BackendError>>;
}
