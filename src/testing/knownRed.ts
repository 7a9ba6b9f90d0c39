/**
 * Reads KNOWN-RED.txt, the list of tests and bench bounds that are known to fail. Listed tests and benches still run: a
 * failure is printed and does not fail the run, and a pass means that the entry must be removed.
 *
 * @packageDocumentation
 */
import { existsSync, readFileSync } from "node:fs";

/** Kind of an entry: a test or a figure of a bench. */
export type KnownRedKind = "test" | "bench";

const file = new URL("../../KNOWN-RED.txt", import.meta.url);

/**
 * Reads the entries of one kind: the lines `test: FULL TITLE` or `bench: NAME FIGURE`.
 *
 * @param kind - kind of the entries to read
 * @returns the listed test titles, or bench names with their figure; empty when the file does not exist
 */
export function readKnownRed(kind: KnownRedKind): ReadonlySet<string> {
    if (!existsSync(file)) {
        return new Set();
    }
    const prefix = `${kind}: `;
    const lines = readFileSync(file, "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith(prefix)).map(line => line.slice(prefix.length).trim()));
}
