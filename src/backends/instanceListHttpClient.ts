/**
 * HTTP client of the platform's instance list.
 *
 * @packageDocumentation
 */
import { Pool } from "undici";
import * as z from "zod";
import { type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";
import type { InstanceList, InstanceListError, Listing } from "./instanceList.js";

/** Options of the HTTP client of the instance list. */
export interface InstanceListHttpClientOptions {
    /** IP and port of the instance list. */
    readonly address: string;
    /** Maximum time to connect, to receive the response headers, and between parts of the body. @default 2_000 */
    readonly responseTimeout?: Milliseconds;
}

/** Client of the instance list with its own sockets. */
export interface InstanceListHttpClient extends InstanceList {
    /** Closes all sockets and aborts the requests on them. */
    readonly close: () => Promise<void>;
}

const defaultResponseTimeoutMilliseconds = 2_000;

const entryFields = {
    id: z.string().min(1),
    address: z.string().min(1),
    failureDomain: z.string(),
    region: z.string(),
    state: z.enum(["live", "leaving"]),
};
const instanceEntry = z.object({ ...entryFields, kind: z.literal("instance") });
const backendServerEntry = z.discriminatedUnion("kind", [
    z.object({
        ...entryFields,
        kind: z.literal("engine"),
        baseModel: z.string(),
        pool: z.string(),
        adapterSlots: z.int().nonnegative(),
        batchLimit: z.int().positive(),
        fencing: z.enum(["checked", "ignored"]),
    }),
    z.object({ ...entryFields, kind: z.literal("service"), pool: z.string() }),
]);

/** Schema of the response body with the list. */
export const listingSchema = z.object({
    instances: z.array(instanceEntry),
    backendServers: z.array(backendServerEntry),
});

/**
 * Creates an HTTP client of the instance list.
 *
 * @param options - address and timeout
 * @returns the client; it connects on demand, and the creator must close it
 */
export function createInstanceListHttpClient(options: InstanceListHttpClientOptions): InstanceListHttpClient {
    const responseTimeout = options.responseTimeout ?? defaultResponseTimeoutMilliseconds;
    const pool = new Pool(`http://${options.address}`, { connections: 2, connectTimeout: responseTimeout });
    const list = async (signal?: AbortSignal): Promise<Result<Listing, InstanceListError>> => {
        try {
            const response = await pool.request({
                method: "GET",
                path: "/instances",
                headersTimeout: responseTimeout,
                bodyTimeout: responseTimeout,
                signal,
            });
            const text = await response.body.text();
            return response.statusCode === 200
                ? parseListing(text)
                : wrapError({
                    kind: "unavailable",
                    detail: `the instance list responded with status ${response.statusCode}`,
                });
        }
        catch (error) {
            return wrapError({ kind: "unavailable", detail: error instanceof Error ? error.message : String(error) });
        }
    };
    return { list, close: () => pool.destroy() };
}

function parseListing(text: string): Result<Listing, InstanceListError> {
    const parsed = listingSchema.safeParse(JSON.parse(text));
    return parsed.success
        ? wrapValue(parsed.data)
        : wrapError({
            kind: "unavailable",
            detail: `the instance list is malformed: ${z.prettifyError(parsed.error)}`,
        });
}
