/**
 * Contents of the records of the configuration stream.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { LogOffset } from "../shared/index.js";
import { type NodeName, type SettingsNode, settingsNodeSchema } from "./schema.js";

/** Record format that this version writes, and the only one that it reads. */
export const configurationFormat = 1;

/** Version of a node for which no record is known. */
export const absentVersion: LogOffset = -1;

/** Unique identifier of an operator's change. */
export type ChangeId = string;

const offsetSchema = z.number().int().min(absentVersion);
const nameSchema = z.string().min(1);
const nodeChangeSchema = z.strictObject({
    name: nameSchema,
    baseVersion: offsetSchema,
    value: settingsNodeSchema.optional(),
});
const entrySchema = z.strictObject({
    name: nameSchema,
    version: offsetSchema,
    value: settingsNodeSchema.optional(),
});
const settledChangeSchema = z.strictObject({
    changeId: z.string().min(1),
    offset: offsetSchema,
    accepted: z.boolean(),
});

/** Schema of an operator's change. */
export const configurationChangeSchema = z.strictObject({
    changeId: z.string().min(1),
    author: z.string(),
    basedOn: offsetSchema,
    nodes: z.array(nodeChangeSchema).min(1),
});

/** Schema of one part of a snapshot. */
export const settingsPartSchema = z.strictObject({
    entries: z.array(entrySchema),
    settled: z.array(settledChangeSchema),
});

/** Change of one node. */
export interface NodeChange {
    readonly name: NodeName;
    /**
     * Version of the node that the operator saw: the offset of the record that last set or removed it, or -1 if no such
     * record is known.
     */
    readonly baseVersion: LogOffset;
    /** New value; `undefined` removes the node. */
    readonly value?: SettingsNode | undefined;
}

/** An operator's change of one or more nodes, accepted or rejected as a whole. */
export interface ConfigurationChange {
    readonly changeId: ChangeId;
    /** Name of the person or program that made the change, shown in the history. */
    readonly author: string;
    /** Last offset that was applied to the tree that the operator saw. */
    readonly basedOn: LogOffset;
    readonly nodes: readonly NodeChange[];
}

/** A node with the offset of the record that last set it, or removed it if there is no value. */
export interface SettingsEntry {
    readonly name: NodeName;
    readonly version: LogOffset;
    readonly value?: SettingsNode | undefined;
}

/** Decision on a recent change, kept so that a repeated record of the same change is recognized. */
export interface SettledChange {
    readonly changeId: ChangeId;
    readonly offset: LogOffset;
    readonly accepted: boolean;
}

/** Part of a snapshot: nodes and decisions as they were at one offset. */
export interface SettingsPart {
    readonly entries: readonly SettingsEntry[];
    readonly settled: readonly SettledChange[];
}
