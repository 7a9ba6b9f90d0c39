/**
 * Decodes the entries of the platform's list of backend servers.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { BackendServer, LoadedModel, RecordError } from "../serving/types.js";
import { parseNetworkAddress, type Result, wrapError, wrapValue } from "../shared/index.js";
import { describeRecordError } from "./recordError.js";

const loadedAdapterSchema = z.string().transform(decodeLoadedAdapter);

/** Base models that a server has loaded, with their adapters, as list entries and engine reports have them. */
export const loadedModelsSchema = z.array(z.object({
    name: z.string(),
    version: z.number().default(1),
    // NAME@VERSION, or NAME for version 1
    adapters: z.array(loadedAdapterSchema).default([]),
}));

const serverEntrySchema = z.object({
    service: z.string().min(1),
    address: z.string().refine(text => parseNetworkAddress(text) !== undefined, "no IP address and port"),
    // failure domain
    zone: z.string(),
    // version of its software
    version: z.union([z.string(), z.number()]).optional(),
    // maximum number of requests that the server runs at a time
    slots: z.number().default(1),
    state: z.enum(["ready", "draining"]),
    // start of the process as Unix time in milliseconds
    born: z.number().int().default(0),
    models: loadedModelsSchema.default([]),
});

/**
 * Decodes one entry of the list.
 *
 * @param id - key of the entry, which is the id of the server
 * @param value - content of the entry, JSON in UTF-8; not trusted, as any writer to the topic can have written it
 * @returns the server; an error when the content is not a valid entry
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
            softwareVersion: entry.version,
            slots: entry.slots,
            models: entry.models as readonly LoadedModel[],
        });
    }
    catch (error) {
        return wrapError(describeRecordError(error));
    }
}

function decodeLoadedAdapter(text: string): { readonly name: string; readonly version: number; } {
    const [name, version] = text.split("@");
    return { name: name!, version: Number(version ?? 1) || 1 };
}
