/**
 * Describes why input from outside was refused. The report of a schema lists each fault of a long list, so that making a
 * text of all of them takes seconds; the first one is enough.
 *
 * @packageDocumentation
 */
import * as z from "zod";

const maximumDescriptionLength = 200;

/**
 * Describes what a decoder has thrown.
 *
 * @param error - error of a schema, or any other
 * @returns the first field that isn't valid and the reason, in a short line
 */
export function describeInputError(error: unknown): string {
    const issue = error instanceof z.ZodError ? error.issues[0] : undefined;
    if (issue) {
        return `${issue.path.map(String).join(".")}: ${issue.message}`.slice(0, maximumDescriptionLength);
    }
    return (error instanceof Error ? error.message : String(error)).slice(0, maximumDescriptionLength);
}
