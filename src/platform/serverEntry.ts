/**
 * Entries of backend servers in the platform's list.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { BackendServer, HeldModel, RecordError } from "../serving/types.js";
import { type Result, wrapError, wrapValue } from "../shared/index.js";

const loadedAdapterSchema = z.string().transform(decodeLoadedAdapter);

/** Models as servers list them. */
export const loadedModelsSchema = z.array(z.object({
    name: z.string(),
    version: z.number().default(1),
    // the server writes NAME@VERSION
    adapters: z.array(loadedAdapterSchema).default([]),
}));

const serverEntrySchema = z.object({
    service: z.string().min(1),
    address: z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/),
    zone: z.string(),
    slots: z.number().default(1),
    state: z.enum(["ready", "draining"]),
    born: z.number().int().default(0),
    models: loadedModelsSchema.default([]),
});

/**
 * Decodes the entry of a server.
 *
 * @param id - key of the entry
 * @param value - its bytes, of whoever wrote them
 * @returns the server, or why the entry names none
 */
export function decodeServerEntry(id: string, value: Uint8Array): Result<BackendServer, RecordError> {
    try {
        const entry = serverEntrySchema.parse(JSON.parse(Buffer.from(value).toString("utf8")));
        return wrapValue({
            id,
            startedAt: entry.born,
            service: entry.service,
            address: entry.address,
            failureDomain: entry.zone,
            isDraining: entry.state === "draining",
            slots: entry.slots,
            models: entry.models as readonly HeldModel[],
        });
    }
    catch (error) {
        return wrapError({ kind: "unreadable", detail: error instanceof Error ? error.message : String(error) });
    }
}

function decodeLoadedAdapter(text: string): { readonly name: string; readonly version: number; } {
    const [name, version] = text.split("@");
    return { name: name!, version: Number(version ?? 1) || 1 };
}
