/**
 * Turns the error of a decoder into the reason that is logged for a refused record.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { RecordError } from "../serving/types.js";

/**
 * Describes why a record can't be used.
 *
 * @param error - what the decoder threw
 * @returns the first field that isn't valid, and the reason
 */
export function describeRecordError(error: unknown): RecordError {
    const issue = error instanceof z.ZodError ? error.issues[0] : undefined;
    if (issue) {
        return { kind: "unreadable", field: issue.path.map(String).join("."), detail: issue.message };
    }
    return { kind: "unreadable", field: "", detail: error instanceof Error ? error.message : String(error) };
}
