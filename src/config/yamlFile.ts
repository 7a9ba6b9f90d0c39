/**
 * Parses operators' YAML files and validates them with a schema. Each mistake is reported with its line and a remedy.
 *
 * @packageDocumentation
 */
import { type Document, isMap, isNode, isScalar, LineCounter, parseDocument } from "yaml";
import type { z } from "zod";
import { type Result, wrapError, wrapValue } from "../shared/index.js";
import type { SettingsMistake } from "./mistakes.js";

/** Texts for the remedies of one kind of file. */
export interface YamlFormat {
    /** Path of the documentation page that lists the fields of this kind of file. */
    readonly page: string;
    /** Appended to the sentence "PAGE lists the fields", such as " of each kind". */
    readonly fieldScope?: string;
    /** Remedy for a value that matches none of several schemas. */
    readonly unionRemedy?: string;
    /** Remedy for a field name that is not allowed. */
    readonly keyRemedy?: string;
}

/** Message and remedy of a mistake, without its position in the file. */
export interface MistakeText {
    readonly message: string;
    readonly remedy: string;
}

/** A parsed file that passed its schema. */
export interface YamlFile<Value> {
    readonly value: Value;
    /** Creates a mistake at the position of a field, for checks that go beyond the schema. */
    readonly createMistake: (path: YamlPath, mistakeText: MistakeText) => SettingsMistake;
}

/** Field names and list indexes from the root of the file. */
export type YamlPath = readonly (string | number)[];

interface ParsedFile {
    readonly fileName: string;
    readonly document: Document.Parsed;
    readonly lines: LineCounter;
    readonly format: YamlFormat;
}

/**
 * Parses a YAML file and validates it.
 *
 * @param text - content of the file
 * @param fileName - name shown in mistakes
 * @param schema - schema that the content must pass
 * @param format - texts for the remedies
 * @returns the parsed file, or every mistake found
 */
export function parseYamlFile<Schema extends z.ZodType>(
    text: string,
    fileName: string,
    schema: Schema,
    format: YamlFormat,
): Result<YamlFile<z.output<Schema>>, readonly SettingsMistake[]> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, uniqueKeys: true, prettyErrors: false });
    const file: ParsedFile = { fileName, document, lines, format };
    if (document.errors.length > 0) {
        return wrapError(document.errors.map(error => describeYamlError(file, error)));
    }
    const parsed = schema.safeParse(document.toJS(), { reportInput: true });
    if (!parsed.success) {
        return wrapError(parsed.error.issues.flatMap(issue => describeIssue(file, issue)));
    }
    return wrapValue({
        value: parsed.data,
        createMistake: (path, mistakeText) => createMistake(file, path, mistakeText),
    });
}

function describeYamlError(
    file: ParsedFile,
    error: { code: string; message: string; pos: [number, number]; },
): SettingsMistake {
    const { line, col } = file.lines.linePos(error.pos[0]);
    const duplicate = error.code === "DUPLICATE_KEY";
    return {
        file: file.fileName,
        line,
        column: col,
        path: "",
        message: duplicate ? "the same name appears twice in one map" : `not valid YAML: ${error.message}`,
        remedy: duplicate ? "remove or rename one of the two" : "mend the YAML at this place",
    };
}

function describeIssue(file: ParsedFile, issue: z.core.$ZodIssue): readonly SettingsMistake[] {
    const path = issue.path.filter(part => typeof part !== "symbol");
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key =>
            createMistake(file, [...path, key], {
                message: `unknown field ${key}`,
                remedy: `correct its name, or remove it; ${file.format.page} lists the fields${
                    file.format.fieldScope ?? ""
                }`,
            })
        );
    }
    const field = path.at(-1);
    const missing = issue.code === "invalid_type" && issue.input === undefined && field !== undefined;
    return missing
        ? [createMistake(file, path, { message: `${field} is missing`, remedy: `add ${field} (${issue.expected})` })]
        : [createMistake(file, path, { message: issue.message, remedy: chooseRemedy(file.format, issue) })];
}

function chooseRemedy(format: YamlFormat, issue: z.core.$ZodIssue): string {
    switch (issue.code) {
        case "invalid_type":
            return `give a value of type ${issue.expected}`;
        case "too_small":
            return `give a value of at least ${issue.minimum}${issue.inclusive === false ? " (excluded)" : ""}`;
        case "too_big":
            return `give a value of at most ${issue.maximum}`;
        case "invalid_value":
            return `give ${issue.values.map(value => JSON.stringify(value)).join(" or ")}`;
        case "invalid_union":
            return format.unionRemedy ?? `see ${format.page} for what this field takes`;
        case "invalid_key":
            return format.keyRemedy ?? `see ${format.page} for what this field takes`;
        case "custom":
        case "invalid_element":
        case "invalid_format":
        case "not_multiple_of":
        case "unrecognized_keys":
            return `see ${format.page} for what this field takes`;
    }
}

function createMistake(file: ParsedFile, path: YamlPath, mistakeText: MistakeText): SettingsMistake {
    const { line, col } = file.lines.linePos(findPosition(file.document, path));
    return { file: file.fileName, line, column: col, path: path.join("."), ...mistakeText };
}

// returns the position of the path's last name or, if it is missing, of the nearest part of the path that exists
function findPosition(document: Document.Parsed, path: YamlPath): number {
    for (let length = path.length; length > 0; length--) {
        const parent = length === 1 ? document.contents : document.getIn(path.slice(0, length - 1), true);
        const name = path[length - 1]!;
        if (isMap(parent)) {
            const pair = parent.items.find(item => isScalar(item.key) && item.key.value === name);
            if (pair && isScalar(pair.key) && pair.key.range) {
                return pair.key.range[0];
            }
        }
        const value = document.getIn(path.slice(0, length), true);
        if (isNode(value) && value.range) {
            return value.range[0];
        }
    }
    return document.contents?.range?.[0] ?? 0;
}
