/**
 * Entry of an instance in the stand-in of the instance list. A real platform lists its instances itself.
 *
 * @packageDocumentation
 */
import { request } from "undici";
import type { ListedInstance } from "../backends/index.js";
import { createLogger } from "../shared/index.js";

/** Keeps the entry of an instance. */
export interface InstanceAnnouncer {
    readonly publish: (entry: ListedInstance) => Promise<void>;
    readonly withdraw: (entry: ListedInstance) => Promise<void>;
}

const debug = createLogger("instance");

/**
 * Creates the announcement of an instance.
 *
 * @param address - IP and port of the instance list
 * @returns calls that never throw: a list that is down is met by the next one
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
