/**
 * Compares two entries of a server as they stand in the store.
 *
 * @packageDocumentation
 */
import { isSameEntry } from "./serverList.js";
import type { RecordCodec } from "./types.js";

/**
 * Returns whether a new entry of a server means the same as the previous one, so that it needn't be passed on to other
 * instances. The entries of a cold server differ: each tells how much longer it stays cold, counted from its write.
 *
 * @param codec - decoder of entries
 * @param id - id of the server
 * @param previous - previous entry
 * @param next - new entry
 * @returns `false` also when one of them can't be decoded
 */
export function isSameServerValue(
    codec: Pick<RecordCodec, "decodeServerEntry">,
    id: string,
    previous: Uint8Array,
    next: Uint8Array,
): boolean {
    const [left, right] = [previous, next].map(value => codec.decodeServerEntry(id, value));
    if (!left!.ok || !right!.ok) {
        return false;
    }
    const isCold = (left!.value.coldFor ?? 0) !== 0 || (right!.value.coldFor ?? 0) !== 0;
    const isStatementNew = (left!.value.coldFor === undefined) !== (right!.value.coldFor === undefined);
    return !isCold && !isStatementNew && isSameEntry(left!.value, right!.value);
}
