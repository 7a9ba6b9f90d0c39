/**
 * Client of the platform's instance list over HTTP.
 *
 * @packageDocumentation
 */
import { Pool } from "undici";
import { z } from "zod";
import { type Milliseconds, type Result, wrapError, wrapValue } from "../shared/index.js";
import type { InstanceList, InstanceListError, Listing } from "./instanceList.js";

/** Settings of the client. */
export interface InstanceListHttpClientOptions {
    /** IP and port of the instance list. */
    readonly address: string;
    /** Longest wait for an answer. @default 2_000 */
    readonly responseTimeout?: Milliseconds;
}

/** An instance list behind sockets of its own. */
export interface InstanceListHttpClient extends InstanceList {
    /** Closes the sockets, cutting what is under way. */
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

/** Schema of a listing, as the platform sends it. */
export const listingSchema = z.object({
    instances: z.array(instanceEntry),
    backendServers: z.array(backendServerEntry),
});

/**
 * Creates a client of the instance list.
 *
 * @param options - where the list is
 * @returns the client; connections are made as needed
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
                : wrapError({ kind: "unavailable", detail: `the instance list answered ${response.statusCode}` });
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
