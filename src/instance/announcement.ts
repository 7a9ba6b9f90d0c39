/**
 * Registers an instance in the local stand-in for the platform's instance list. A real platform lists its instances
 * itself, so this module is used only when `platform.announce` is set.
 *
 * @packageDocumentation
 */
import { request } from "undici";
import type { ListedInstance } from "../backends/index.js";
import { createLogger } from "../shared/index.js";

/**
 * Writes and removes an instance's entry in the instance list. Calls never reject: connection errors are logged, and
 * the status of the response is ignored.
 */
export interface InstanceAnnouncer {
    /** Adds the entry, or replaces the one with the same id. */
    readonly publish: (entry: ListedInstance) => Promise<void>;
    /** Removes the entry. */
    readonly withdraw: (entry: ListedInstance) => Promise<void>;
}

const debug = createLogger("instance");

/**
 * Creates an announcer over HTTP.
 *
 * @param address - IP and port of the instance list
 * @returns the announcer. A failed call is not retried; the next call sends the entry again.
 */
export function createInstanceAnnouncer(address: string): InstanceAnnouncer {
    const sendEntry = async (method: "PUT" | "DELETE", entry: ListedInstance): Promise<void> => {
        try {
            const answer = await request(`http://${address}/instances/${encodeURIComponent(entry.id)}`, {
                method,
                body: method === "PUT" ? JSON.stringify(entry) : undefined,
                headers: { "content-type": "application/json" },
            });
            await answer.body.dump();
        }
        catch (error) {
            debug.warn("the instance list took no announcement", { instance: entry.id, error: String(error) });
        }
    };
    return { publish: entry => sendEntry("PUT", entry), withdraw: entry => sendEntry("DELETE", entry) };
}
