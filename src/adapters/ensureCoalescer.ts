/**
 * Coalesces the ensure requests of this instance: client requests that wait for the same adapter on the same engine
 * share one ensure request.
 *
 * @packageDocumentation
 */
import { type BackendServer, formatServerRunId, type ModelChoice, type ServerRunId } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import { type EnsureRequest, type EnsureResult, formatAdapterKey } from "./messages.js";

/** Adapter that a client request waits for. Times are on the instance's clock. */
export interface AdapterRequest {
    readonly choice: ModelChoice & { readonly adapter: string; };
    /** Priority of the client request; lower numbers go first. */
    readonly priority: number;
    /** Time at which the client request stops waiting. */
    readonly until: Milliseconds;
    /** Latest end of the load with which the client request can still be answered within its target latency. */
    readonly usefulUntil: Milliseconds;
    /** Newest announced version; `undefined` when none was announced. */
    readonly version: number | undefined;
}

/** Coalescer of ensure requests. */
export interface EnsureCoalescer {
    /** Joins the pending ensure request for the same adapter and engine, or sends a new one. */
    readonly request: (server: BackendServer, request: AdapterRequest, now: Milliseconds) => Promise<EnsureResult>;
    /** Records that the engine has refused a request for the adapter; the next ensure request passes this on. */
    readonly markDenied: (server: BackendServer, choice: ModelChoice) => void;
}

interface PendingEnsure {
    readonly result: Promise<EnsureResult>;
    readonly usefulUntil: Milliseconds;
}

/** A new ensure request is sent when the client request's `usefulUntil` exceeds the pending one's by at least this. */
const joinToleranceMilliseconds = 100;

/**
 * Creates a coalescer without pending requests.
 *
 * @param sendEnsure - sends an ensure request to the holder of the engine's shard
 * @returns the coalescer, owned by the caller
 */
export function createEnsureCoalescer(
    sendEnsure: (server: BackendServer, request: EnsureRequest) => Promise<EnsureResult>,
): EnsureCoalescer {
    const pending = new Map<string, PendingEnsure>();
    const denied = new Set<string>();
    const formatPendingKey = (run: ServerRunId, choice: ModelChoice): string =>
        `${run} ${formatAdapterKey(choice.model, choice.adapter ?? "")}`;
    return {
        request: (server, request, now) => {
            const key = formatPendingKey(formatServerRunId(server), request.choice);
            const known = pending.get(key);
            if (known && request.usefulUntil - known.usefulUntil < joinToleranceMilliseconds) {
                return known.result;
            }
            const result = sendEnsure(server, {
                ...request.choice,
                version: request.version,
                wasDenied: denied.delete(key),
                priority: request.priority,
                usefulFor: request.usefulUntil - now,
                patience: request.until - now,
            });
            const entry: PendingEnsure = { result, usefulUntil: request.usefulUntil };
            const forget = (): boolean => pending.get(key) === entry && pending.delete(key);
            pending.set(key, entry);
            void result.then(forget, forget);
            return result;
        },
        markDenied: (server, choice) => void denied.add(formatPendingKey(formatServerRunId(server), choice)),
    };
}
