/**
 * Schema of the settings tree as operators write it. The schema is part of the record format: every reader of the log
 * must reach the same decision, so a change to what the schema accepts needs a new `configurationFormat`.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import { longestDeadlineMilliseconds } from "../shared/index.js";

/** Format number of settings files, written in their `format` field. */
export const settingsFormat = 1;

const maximumNameLength = 128;
const nodeNameSchema = z.string().max(maximumNameLength).regex(
    /^[A-Za-z0-9][A-Za-z0-9._/@:-]*$/,
    "a name begins with a letter or digit and holds letters, digits and . _ / @ : -",
);
const limitsSchema = z.strictObject({
    rate: z.number().nonnegative().optional().describe("Tokens a second, over all instances."),
    burst: z.number().positive().optional().describe("Tokens that may be spent at once."),
});
const parentField = {
    parent: nodeNameSchema.optional().describe("Node whose fields are inherited where this one sets none."),
};
const weightField = {
    weight: z.number().positive().optional().describe(
        "Share in fair queueing, relative to other accounts; 1 when unset.",
    ),
};
const limitsField = {
    limits: limitsSchema.optional().describe("Rate and burst; a client account needs both, each may be inherited."),
};
const accountField = {
    account: nodeNameSchema.optional().describe(
        "Client account that a key belongs to; a client account above the key serves too.",
    ),
};
const baseModelField = {
    baseModel: z.string().min(1).optional().describe(
        "Base model; needed by an adapter, and by a model route without one.",
    ),
};
const routeFields = {
    access: z.enum(["open", "keyed"]).optional().describe("Whether a call without a key is served; keyed when unset."),
    accounts: z.array(nodeNameSchema).optional().describe(
        "Client accounts that may use a keyed route; all when unset.",
    ),
    openAccount: nodeNameSchema.optional().describe(
        "Client account that pays for calls without a key; an open route needs one.",
    ),
    pool: z.string().min(1).optional().describe("Pool of backend servers that serves the route; needed by a route."),
    requestClass: z.enum(["interactive", "overnight"]).optional().describe(
        "Which requests go first; interactive when unset.",
    ),
    deadlineMilliseconds: z.number().int().positive().max(longestDeadlineMilliseconds).optional().describe(
        "Longest time from arrival to the end, at most 600000; 60000 when unset.",
    ),
    retryBudget: z.number().min(0).max(1).optional().describe(
        "Part of the first tries that may be retried; 0.1 when unset.",
    ),
    repeat: z.enum(["idempotent", "once"]).optional().describe(
        "Whether a call of a service may run more than once; once when unset.",
    ),
    costTokens: z.number().nonnegative().optional().describe(
        "Tokens that one call of a service counts for; 1 when unset.",
    ),
    maximumOutputTokens: z.number().int().positive().optional().describe(
        "Hard stop on output tokens; 1024 when unset.",
    ),
};

/** Schema of a group, which sets fields that its descendants inherit. */
export const groupSchema = z.strictObject({
    kind: z.literal("group"),
    ...parentField,
    ...limitsField,
    ...weightField,
    ...accountField,
    ...baseModelField,
    ...routeFields,
});

/** Schema of a client account. */
export const clientAccountSchema = z.strictObject({
    kind: z.literal("clientAccount"),
    ...parentField,
    ...limitsField,
    ...weightField,
});

/** Schema of a client's API key; only the hash of the key is stored. */
export const keySchema = z.strictObject({
    kind: z.literal("key"),
    ...parentField,
    ...accountField,
    hash: z.string().regex(/^[0-9a-f]{64}$/, "expected the SHA-256 of the key in lower-case hex").describe(
        "SHA-256 of the key.",
    ),
});

/** Schema of a route to model engines or to a plain service. */
export const routeSchema = z.strictObject({
    kind: z.literal("route"),
    serves: z.enum(["model", "service"]).describe("Whether calls go to model engines or plain services."),
    adapter: nodeNameSchema.optional().describe("Adapter that a model route runs; the bare base model when unset."),
    ...parentField,
    ...baseModelField,
    ...routeFields,
});

/** Schema of an adapter with its current version. */
export const adapterSchema = z.strictObject({
    kind: z.literal("adapter"),
    version: z.string().min(1).describe("Version label in force."),
    ...parentField,
    ...baseModelField,
});

/** Schema of the weight store's limits; a tree has at most one node of this kind. */
export const weightStoreSchema = z.strictObject({
    kind: z.literal("weightStore"),
    loadsPerSecond: z.number().positive().describe("Loads that may start in a second, over all instances."),
    loadBurst: z.number().int().positive().describe("Loads that may start at once."),
    loadsInFlight: z.number().int().positive().describe("Loads in flight that still run at full speed."),
    ...parentField,
});

/** Schema of a node of any kind. */
export const settingsNodeSchema = z.discriminatedUnion("kind", [
    groupSchema,
    clientAccountSchema,
    keySchema,
    routeSchema,
    adapterSchema,
    weightStoreSchema,
]);

/** Schema of a whole settings file. */
export const settingsDocumentSchema = z.strictObject({
    format: z.literal(settingsFormat).describe("Format number of the file."),
    nodes: z.record(nodeNameSchema, settingsNodeSchema).describe("The nodes of the tree by name."),
});

/** A node as operators write it, before inheritance. */
export type SettingsNode = z.infer<typeof settingsNodeSchema>;

/** Kind of a node, such as `group` or `route`. */
export type SettingsNodeKind = SettingsNode["kind"];

/** Content of a settings file that passed the schema. */
export type SettingsDocument = z.infer<typeof settingsDocumentSchema>;

/** Name of a node, unique in the settings tree. */
export type NodeName = string;
