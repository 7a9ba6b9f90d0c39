/**
 * Wishes of this instance to have adapters on engines: requests that wait for the same adapter on the same engine share one.
 *
 * @packageDocumentation
 */
import { type BackendServer, formatServerRun, type ModelChoice, type ServerRun } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import { type EnsureResult, type EnsureWish, formatAdapterKey } from "./messages.js";

/** What a request waits for. */
export interface WishRequest {
    readonly choice: ModelChoice & { readonly adapter: string; };
    /** 0 goes first. */
    readonly priority: number;
    readonly until: Milliseconds;
    readonly usefulUntil: Milliseconds;
    /** Newest version that was named. */
    readonly version: number | undefined;
}

/** Wishes that wait for a result. */
export interface AdapterWishes {
    readonly request: (server: BackendServer, request: WishRequest, now: Milliseconds) => Promise<EnsureResult>;
    /** The engine has said that it doesn't hold the adapter. */
    readonly markDenied: (server: BackendServer, choice: ModelChoice) => void;
}

interface PendingWish {
    readonly result: Promise<EnsureResult>;
    readonly usefulUntil: Milliseconds;
}

/** A wish is told again when a request that can wait so much longer joins it. */
const renewalMilliseconds = 100;

/**
 * Creates the wishes.
 *
 * @param sendWish - brings a wish to the holder of the engine
 * @returns no wishes yet
 */
export function createAdapterWishes(
    sendWish: (server: BackendServer, wish: EnsureWish) => Promise<EnsureResult>,
): AdapterWishes {
    const pending = new Map<string, PendingWish>();
    const denied = new Set<string>();
    const formatWishKey = (run: ServerRun, choice: ModelChoice): string =>
        `${run} ${formatAdapterKey(choice.model, choice.adapter ?? "")}`;
    return {
        request: (server, request, now) => {
            const key = formatWishKey(formatServerRun(server), request.choice);
            const known = pending.get(key);
            if (known && request.usefulUntil - known.usefulUntil < renewalMilliseconds) {
                return known.result;
            }
            const result = sendWish(server, {
                ...request.choice,
                version: request.version,
                wasDenied: denied.delete(key),
                priority: request.priority,
                usefulFor: request.usefulUntil - now,
                patience: request.until - now,
            });
            const wish: PendingWish = { result, usefulUntil: request.usefulUntil };
            const forget = (): boolean => pending.get(key) === wish && pending.delete(key);
            pending.set(key, wish);
            void result.then(forget, forget);
            return result;
        },
        markDenied: (server, choice) => void denied.add(formatWishKey(formatServerRun(server), choice)),
    };
}
