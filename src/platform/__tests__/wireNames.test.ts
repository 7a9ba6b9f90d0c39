import { expect } from "chai";
import { readdirSync, readFileSync } from "node:fs";
import { join, relative } from "node:path";
import { fileURLToPath } from "node:url";

const sourceFolder = fileURLToPath(new URL("../../../src", import.meta.url));
const wireNames = [
    new RegExp(
        "x-oriolehatch-(attempt-id|deadline-ms|prompt-prefix|response-signature|tenant|expect-|server-load|not-executed" +
            "|instance-id|model|token-counts|request-priority|weight-|pin-ms|hold|length-hint|kv-|key)",
        "i",
    ),
    /\bkeyed\./,
    /\/log-(read|append|newest|join|leave|owners|trim|commit)/,
    /\/(kv-move|hold-take|kv-list|kv-events)\b/,
    /\b(fencing_token|path_prefix|adapter_slots|cold_remaining_ms|allowed_regions|evacuation_ms|can_resume|rate_per_s|end_offset|member_id)\b/,
];

function listSources(folder: string): string[] {
    return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const path = join(folder, entry.name);
        if (entry.isDirectory()) {
            return entry.name === "__tests__" ? [] : listSources(path);
        }
        return entry.name.endsWith(".ts") ? [path] : [];
    });
}

// src/platform decodes the wire names into typed fields; the other folders must use only those fields
describe("wire names of the platform", () => {
    it("appear only in src/platform", () => {
        const violations = listSources(sourceFolder)
            .filter(path => !relative(sourceFolder, path).startsWith("platform"))
            .flatMap(path => {
                const text = readFileSync(path, "utf8");
                return wireNames.filter(name => name.test(text)).map(name =>
                    `${relative(sourceFolder, path)}: ${name}`
                );
            });
        expect(violations).to.deep.equal([]);
    });
});
