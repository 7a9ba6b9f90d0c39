/**
 * Wishes of this instance to have adapters on engines: requests that wait for the same adapter on the same engine share one.
 *
 * @packageDocumentation
 */
import { type BackendServer, formatServerRun, type ModelChoice, type ServerRun } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import { type EnsureRequest, type EnsureResult, formatAdapterKey } from "./messages.js";

/** What a request waits for. */
export interface AdapterRequest {
    readonly choice: ModelChoice & { readonly adapter: string; };
    /** 0 goes first. */
    readonly priority: number;
    readonly until: Milliseconds;
    readonly usefulUntil: Milliseconds;
    /** Newest version that was named. */
    readonly version: number | undefined;
}

/** Wishes that wait for a result. */
export interface EnsureCoalescer {
    readonly request: (server: BackendServer, request: AdapterRequest, now: Milliseconds) => Promise<EnsureResult>;
    /** The engine has said that it doesn't hold the adapter. */
    readonly markDenied: (server: BackendServer, choice: ModelChoice) => void;
}

interface PendingEnsure {
    readonly result: Promise<EnsureResult>;
    readonly usefulUntil: Milliseconds;
}

/** A wish is told again when a request that can wait so much longer joins it. */
const joinToleranceMilliseconds = 100;

/**
 * Creates the wishes.
 *
 * @param sendEnsure - brings a wish to the holder of the engine
 * @returns no wishes yet
 */
export function createEnsureCoalescer(
    sendEnsure: (server: BackendServer, request: EnsureRequest) => Promise<EnsureResult>,
): EnsureCoalescer {
    const pending = new Map<string, PendingEnsure>();
    const denied = new Set<string>();
    const formatPendingKey = (run: ServerRun, choice: ModelChoice): string =>
        `${run} ${formatAdapterKey(choice.model, choice.adapter ?? "")}`;
    return {
        request: (server, request, now) => {
            const key = formatPendingKey(formatServerRun(server), request.choice);
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
        markDenied: (server, choice) => void denied.add(formatPendingKey(formatServerRun(server), choice)),
    };
}
