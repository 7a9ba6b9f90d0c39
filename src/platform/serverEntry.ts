/**
 * Decodes the entries of the platform's list of backend servers.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { BackendServer, LoadedModel, RecordError } from "../serving/types.js";
import {
    addressSchema,
    createListSchema,
    maximumServerSlots,
    nameSchema,
    ordinalSchema,
    parseBoundedJson,
    type Result,
    startTimeSchema,
    wrapError,
    wrapValue,
} from "../shared/index.js";
import { describeRecordError } from "./recordError.js";

/** Largest entry that is read: the largest record of the store. */
const maximumEntryBytes = 262_144;
/** Ids that can be sent in a header, as each request names its server. */
const serverIdSchema = z.string().regex(/^[\x21-\x7e]{1,255}$/, "can't be sent in a header");
const loadedAdapterSchema = nameSchema.transform(decodeLoadedAdapter);

/** Base models that a server has loaded, with their adapters, as list entries and engine reports have them. */
export const loadedModelsSchema = createListSchema(z.object({
    name: nameSchema,
    version: ordinalSchema.default(1),
    // NAME@VERSION, or NAME for version 1
    adapters: createListSchema(loadedAdapterSchema).default([]),
}));

const unreadable = "unreadable" as const;

const serverEntrySchema = z.object({
    service: nameSchema.min(1),
    address: addressSchema,
    // failure domain
    zone: nameSchema,
    // version of its software
    version: z.union([nameSchema, z.number()]).optional(),
    // maximum number of requests that the server runs at a time
    slots: z.number().int().min(1).max(maximumServerSlots).default(1),
    state: z.enum(["ready", "draining"]),
    // start of the process as Unix time in milliseconds
    born: startTimeSchema.default(0),
    models: loadedModelsSchema.default([]),
    // how much longer the server stays cold; one that can't be read must not remove the server from the list
    cold_remaining_ms: z.union([z.number().min(0).optional(), z.unknown().transform(() => unreadable)]),
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
        const entry = serverEntrySchema.parse(parseBoundedJson(value, maximumEntryBytes));
        return wrapValue({
            id: serverIdSchema.parse(id),
            startedAt: entry.born,
            service: entry.service,
            address: entry.address,
            failureDomain: entry.zone,
            isDraining: entry.state === "draining",
            softwareVersion: entry.version,
            slots: entry.slots,
            models: entry.models as readonly LoadedModel[],
            ...entry.cold_remaining_ms !== undefined && { coldFor: entry.cold_remaining_ms },
        });
    }
    catch (error) {
        return wrapError(describeRecordError(error));
    }
}

/**
 * Decodes an adapter as servers list it.
 *
 * @param text - NAME@VERSION, or NAME for version 1
 * @returns name and version, which is 1 where it isn't written in digits
 */
export function decodeLoadedAdapter(text: string): { readonly name: string; readonly version: number; } {
    const [name, version = ""] = text.split("@");
    return { name: name!, version: (/^\d{1,15}$/.test(version) ? Number(version) : 1) || 1 };
}
