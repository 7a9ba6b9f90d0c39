/**
 * Messages between instances about adapters on engines. An engine is a backend server that runs base models with LoRA
 * adapters. Engines are grouped into shards; only the instance that holds an engine's shard sends load and unload
 * orders to that engine, and gives places on it to the requests of all instances.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { AnswerReport, PlaceOutcome, PromptPartId, ServerRunId, SoftwareVersion } from "../serving/types.js";
import {
    addressSchema,
    ageSchema,
    amountSchema,
    createListSchema,
    type Milliseconds,
    nameSchema,
    ordinalSchema,
    shardNumberSchema,
    startTimeSchema,
    timeLeftSchema,
    waitSchema,
} from "../shared/index.js";

/** Key of an adapter: `MODEL/ADAPTER`. */
export type AdapterKey = string;

/** An adapter that became resident on an engine or was removed from it. */
export interface ResidencyChange {
    readonly run: ServerRunId;
    readonly model: string;
    readonly adapter: string;
    /** `undefined` when the adapter was removed. */
    readonly version: number | undefined;
}

/** Models and adapters that are resident on an engine. */
export interface EngineTable {
    readonly run: ServerRunId;
    readonly models: readonly {
        readonly name: string;
        readonly adapters: readonly (readonly [name: string, version: number])[];
    }[];
}

/**
 * Outcome of ensuring that an adapter is resident. `notHolder`: this instance doesn't hold the engine's shard;
 * `full`: the engine has no slot that can be freed now, or is busy with another order; `expired`: the load was not
 * started before the requests that waited for it stopped waiting; `failed`: the engine refused the load, or it isn't
 * known whether the load has ended; `unreachable`: the order was not sent, or another backend server answers at the
 * engine's address.
 */
export type EnsureOutcome = "resident" | "notHolder" | "full" | "expired" | "failed" | "unreachable";

/** Request to have a model or an adapter on an engine. */
export interface EnsureRequest {
    readonly model: string;
    readonly adapter: string | undefined;
    /** Oldest acceptable version; `undefined` for any. */
    readonly version: number | undefined;
    /** Whether the engine has refused a request because it doesn't hold the adapter that the request names. */
    readonly wasDenied: boolean;
    /** Priority of the waiting client request; 0 goes first. */
    readonly priority: number;
    /** Time left for the load if the client request is to be answered within its target latency. */
    readonly usefulFor: Milliseconds;
    /** Time until the client request stops waiting for the load. */
    readonly patience: Milliseconds;
    /** Aborted when the client request ends sooner; `undefined` for a load that no client request asks for. */
    readonly signal?: AbortSignal;
}

/** Result of ensuring that an adapter is resident. */
export interface EnsureResult {
    readonly outcome: EnsureOutcome;
    /** Version of the adapter that the outcome is about; `undefined` when there is none, as for a base model. */
    readonly version: number | undefined;
}

/** What a holder weighs of a client request. All fields are missing in requests of instances that run an older build. */
export interface PlaceDemand {
    /** Name of the route, which is the kind of the request. */
    readonly route?: string | undefined;
    /** Client account; missing for requests without a key. */
    readonly account?: string | undefined;
    /** Prompt tokens, and the maximum of output tokens. */
    readonly tokens?: { readonly prompt: number; readonly output: number; } | undefined;
    /** Parts of the prompt in their order, with their tokens; the last one belongs to the request or its session. */
    readonly parts?: readonly (readonly [id: PromptPartId, tokens: number])[] | undefined;
    /** Time left of the latency objective, counted from the client's first attempt; negative when it has passed. */
    readonly objective?: Milliseconds | undefined;
    /** Regions of which the engine must be in one; any where this is missing. */
    readonly regions?: readonly string[] | undefined;
}

/** Request to the holder of a shard for a place on one of its engines. */
export interface PlaceRequest extends PlaceDemand {
    /** Unique over all instances; the request may be sent again under the same id. */
    readonly id: string;
    readonly service: string;
    readonly model: string;
    readonly adapter?: string | undefined;
    /** Software version that the engine must have; any where this is missing. */
    readonly softwareVersion?: SoftwareVersion | undefined;
    /** Engines that must not be used. */
    readonly excluded: readonly ServerRunId[];
    /** Engines of which one must be used; all where this is missing. */
    readonly allowed?: readonly ServerRunId[] | undefined;
    readonly priority: number;
    /** Time left for a load if the client request is to be answered within its target latency. */
    readonly usefulFor: Milliseconds;
    /** Time until the client request stops waiting. */
    readonly patience: Milliseconds;
    /** Time until the client request has ended at the latest. */
    readonly deadline: Milliseconds;
    /** Whether engines may be used that are fuller than others. */
    readonly isLoadIgnored: boolean;
}

/** What the holder of a server that can be cold decided on a request to it. */
export interface PlacePermit {
    /** Whether the request has one of the few permits of a server that is cold or was so a moment ago. */
    readonly isPaced: boolean;
    /** Time since the decision. */
    readonly age: Milliseconds;
}

/** Response to a request for a place. */
export type PlaceResponse =
    /** `version` is the one that the engine must have; any is allowed where it is missing. */
    | {
        readonly kind: "placed";
        readonly server: { readonly id: string; readonly startedAt: number; readonly address: string; };
        readonly version?: number | undefined;
        /** How the holder decided where servers of the service can be cold; missing otherwise and from older builds. */
        readonly permit?: PlacePermit | undefined;
        /** Whether the holder knows the message `began` and wants it at the first event. @default false */
        readonly isFirstEventWanted?: boolean | undefined;
    }
    /** Not decided yet: send the request again under the same id. */
    | { readonly kind: "waiting"; }
    /** All engines of the holder are fuller than others; `load` is that of the emptiest, where 1 is full. */
    | { readonly kind: "busy"; readonly load: number; }
    /**
     * There is no room in time for the request, which must not be sent elsewhere; `wait` is the time until there is, of
     * its own for each request. Only requests that name a route get this answer, as older instances don't know it.
     */
    | { readonly kind: "refused"; readonly wait: Milliseconds; }
    /** None of the holder's engines can be used, or the time for waiting is over. */
    | { readonly kind: "unavailable"; }
    | { readonly kind: "notHolder"; };

/** Loads of one instance from the weight store, and the load of its engines. */
export interface HolderLoad {
    readonly running: number;
    /** Waiting loads that can still end before their `usefulUntil`. */
    readonly waiting: number;
    /** Requests and slots of the engines of each service. */
    readonly engines: readonly (readonly [service: string, requests: number, slots: number])[];
}

const placeRequestSchema = z.object({
    kind: z.literal("place"),
    shard: shardNumberSchema,
    id: nameSchema,
    service: nameSchema,
    model: nameSchema,
    adapter: nameSchema.optional(),
    softwareVersion: z.union([nameSchema, z.number()]).optional(),
    excluded: createListSchema(nameSchema),
    allowed: createListSchema(nameSchema).optional(),
    priority: amountSchema,
    usefulFor: timeLeftSchema,
    patience: timeLeftSchema,
    deadline: timeLeftSchema,
    isLoadIgnored: z.boolean(),
    route: nameSchema.optional(),
    account: nameSchema.optional(),
    tokens: z.object({ prompt: amountSchema, output: amountSchema }).optional(),
    parts: createListSchema(z.tuple([nameSchema, amountSchema])).optional(),
    objective: timeLeftSchema.optional(),
    regions: createListSchema(nameSchema).optional(),
});
const placeOutcomeSchema = z.enum(["answered", "failed", "unreachable", "missing", "unknown"]) satisfies z.ZodType<
    PlaceOutcome
>;

// missing in messages of instances that run an older build
const answerReportFields = {
    firstEventAfter: ageSchema.optional(),
    eventGap: ageSchema.optional(),
    load: z.object({
        running: amountSchema,
        waiting: amountSchema,
        age: ageSchema,
        slowness: amountSchema.optional(),
    }).optional(),
} satisfies Record<keyof AnswerReport, z.ZodType>;

/** Schema of the messages between instances about adapters. */
export const adapterMessageSchema = z.discriminatedUnion("kind", [
    placeRequestSchema,
    z.object({
        kind: z.literal("placed"),
        server: z.object({ id: nameSchema, startedAt: startTimeSchema, address: addressSchema }),
        version: ordinalSchema.optional(),
        permit: z.object({ isPaced: z.boolean(), age: ageSchema }).optional(),
        isFirstEventWanted: z.boolean().optional(),
    }),
    z.object({ kind: z.literal("waiting") }),
    z.object({ kind: z.literal("busy"), load: amountSchema }),
    z.object({ kind: z.literal("unavailable") }),
    z.object({ kind: z.literal("refused"), wait: waitSchema }),
    z.object({ kind: z.literal("notHolder") }),
    // the request with this id has ended, or gave up waiting for a place
    z.object({ kind: z.literal("ended"), id: nameSchema, outcome: placeOutcomeSchema, ...answerReportFields }),
    // the answer to the request with this id has begun; only sent where `placed` asked for it
    z.object({ kind: z.literal("began"), id: nameSchema, ...answerReportFields }),
    // requests a second that a server takes from all instances together; missing when it no longer names a limit
    z.object({
        kind: z.literal("limit"),
        run: nameSchema,
        requestsPerSecond: amountSchema.optional(),
        // how much longer the server stays cold, as its response stated
        coldFor: waitSchema.optional(),
    }),
    // a server has announced that it is about to stop
    z.object({ kind: z.literal("leaving"), run: nameSchema }),
    // asks to have adapters of an engine that takes no more requests loaded elsewhere, busiest first
    z.object({ kind: z.literal("prepare"), service: nameSchema, adapters: createListSchema(nameSchema) }),
    z.object({
        kind: z.literal("askPermit"),
        shard: shardNumberSchema,
        run: nameSchema,
        requestsPerSecond: amountSchema,
        // how much longer the sender holds the server for cold; missing when the server has only named a limit
        coldFor: waitSchema.optional(),
    }),
    // time until the server takes a request; 0 grants it now
    z.object({
        kind: z.literal("permit"),
        wait: waitSchema.optional(),
        // whether the permit may be returned by the message below
        isReturnable: z.boolean().optional(),
    }),
    // the server has not taken the request of a permit; sent only to instances that have said that permits are returnable
    z.object({ kind: z.literal("returnPermit"), shard: shardNumberSchema, run: nameSchema }),
    z.object({ kind: z.literal("askHolders") }),
    z.object({ kind: z.literal("holders"), holders: createListSchema(z.tuple([shardNumberSchema, nameSchema])) }),
    z.object({
        kind: z.literal("loads"),
        running: amountSchema,
        waiting: amountSchema,
        engines: createListSchema(z.tuple([nameSchema, amountSchema, amountSchema])),
    }),
    // the sender has released a shard; `sinceLastOrder` is the time since it last sent an order for it
    z.object({
        kind: z.literal("released"),
        shard: shardNumberSchema,
        generation: ordinalSchema,
        // the largest safe integer where it has sent none
        sinceLastOrder: z.number().min(0).max(Number.MAX_SAFE_INTEGER),
    }),
]);

/** Message between instances about adapters. */
export type AdapterMessage = z.infer<typeof adapterMessageSchema>;

/**
 * Formats the key under which an adapter is stored in maps and messages.
 *
 * @param model - name of its base model
 * @param adapter - name of the adapter
 * @returns `MODEL/ADAPTER`
 */
export function formatAdapterKey(model: string, adapter: string): AdapterKey {
    return `${model}/${adapter}`;
}

/**
 * Parses the key of an adapter.
 *
 * @param key - key as `formatAdapterKey` returns it
 * @returns names of its base model, which has no slash, and of the adapter
 */
export function parseAdapterKey(key: AdapterKey): { readonly model: string; readonly adapter: string; } {
    const slash = key.indexOf("/");
    return { model: key.slice(0, slash), adapter: key.slice(slash + 1) };
}
