/**
 * Records of the ownership stream of one region, which hold the changes of its members and of the owners of its shards.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { FailureDomainId, InstanceId, LogOffset } from "../shared/index.js";
import type { ShardId } from "./types.js";

/** Number of the record format that this version of the program writes, and the only one that it reads. */
export const ownershipFormat = 1;

/** Offset that stands for a record that doesn't exist, such as the last record about a shard that was never claimed. */
export const absentVersion: LogOffset = -1;

const offset = z.number().int().min(absentVersion);
const name = z.string().min(1);
const basedOn = { basedOn: offset };
const shardVersions = z.array(z.strictObject({ shard: name, version: offset })).min(1);

/** Schema of {@link OwnershipChange}. */
export const ownershipChangeSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("join"), ...basedOn, instance: name, failureDomain: name, after: offset }),
    z.strictObject({ kind: z.literal("leave"), ...basedOn, instance: name, joinedAt: offset }),
    z.strictObject({
        kind: z.literal("remove"),
        ...basedOn,
        members: z.array(z.strictObject({ instance: name, joinedAt: offset })).min(1),
    }),
    z.strictObject({ kind: z.literal("claim"), ...basedOn, instance: name, shards: shardVersions }),
    z.strictObject({ kind: z.literal("release"), ...basedOn, instance: name, shards: shardVersions }),
]);

/** Schema of one part of a snapshot; the first part holds everything but the shards that don't fit into it. */
export const ownershipPartSchema = z.strictObject({
    members: z.array(z.strictObject({ instance: name, failureDomain: name, joinedAt: offset })),
    departed: z.array(z.strictObject({ instance: name, at: offset })),
    shards: z.array(z.strictObject({ shard: name, owner: name.optional(), version: offset, guard: offset })),
    epoch: z.strictObject({ number: offset, guard: offset }),
    forgottenGuard: offset,
    effective: offset,
    transitions: z.array(z.strictObject({ offset, witnesses: z.array(name), left: name.optional() })),
});

/** A shard with the offset of the latest record that changed it. */
export interface ShardVersion {
    readonly shard: ShardId;
    readonly version: LogOffset;
}

/** Field that all changes have. */
interface ChangeBase {
    /** Offset of the last record that the writer had applied when it wrote the change. */
    readonly basedOn: LogOffset;
}

/** A change of the members of a region or of the owners of its shards. */
export type OwnershipChange =
    & ChangeBase
    & (
        | {
            readonly kind: "join";
            readonly instance: InstanceId;
            readonly failureDomain: FailureDomainId;
            /** Offset of the record by which the instance last ceased to be a member; -1 for its first join. */
            readonly after: LogOffset;
        }
        /** Ends the membership of the writer, which has already stopped acting as owner and confirming leases. */
        | { readonly kind: "leave"; readonly instance: InstanceId; readonly joinedAt: LogOffset; }
        /** Ends the membership of instances that have failed; another member writes it. */
        | {
            readonly kind: "remove";
            readonly members: readonly { readonly instance: InstanceId; readonly joinedAt: LogOffset; }[];
        }
        /** Makes the writer the owner of shards that have none. */
        | { readonly kind: "claim"; readonly instance: InstanceId; readonly shards: readonly ShardVersion[]; }
        /** Ends the ownership of shards; the writer has already stopped acting as their owner. */
        | { readonly kind: "release"; readonly instance: InstanceId; readonly shards: readonly ShardVersion[]; }
    );

/** One part of a snapshot of the ownership state. */
export type OwnershipPart = z.infer<typeof ownershipPartSchema>;
