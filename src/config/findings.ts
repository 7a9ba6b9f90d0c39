/**
 * Findings in a configuration that its schema accepts, and differences between two configurations.
 *
 * @packageDocumentation
 */
import { isDeepStrictEqual } from "node:util";
import { jsonNull } from "../shared/index.js";
import type { MistakeText, YamlPath } from "./yamlFile.js";

/** Something that has no effect, or that contradicts something else. */
export interface ConfigurationFinding extends MistakeText {
    readonly path: YamlPath;
}

/** A value that differs; fields of keys are shown as `(key)`. */
export interface ValueDifference {
    /** Field names joined by dots; items of a list that have names are in brackets. */
    readonly path: string;
    /** `undefined` where the value is missing. */
    readonly before: unknown;
    readonly after: unknown;
}

const secretFields: ReadonlySet<string> = new Set(["api_keys", "hash"]);
const shownSecret = "(key)";

/**
 * Lists the values that differ between two configurations. Items of lists are matched by their names where they have some.
 *
 * @param before - configuration in force
 * @param after - configuration that would replace it
 * @returns one entry for each differing value, in the order of the paths
 */
export function diffConfigurations(before: unknown, after: unknown): readonly ValueDifference[] {
    const old = new Map(listValues(before, "", false));
    const next = new Map(listValues(after, "", false));
    return [...new Set([...old.keys(), ...next.keys()])]
        .sort()
        .filter(path => !isDeepStrictEqual(old.get(path)?.value, next.get(path)?.value))
        .map(path => ({ path, before: old.get(path)?.shown, after: next.get(path)?.shown }));
}

interface ListedValue {
    readonly value: unknown;
    readonly shown: unknown;
}

function listValues(value: unknown, path: string, isSecret: boolean): readonly (readonly [string, ListedValue])[] {
    if (Array.isArray(value) && value.length > 0) {
        const names = value.map((item: unknown, index) => readName(item) ?? String(index));
        // equal names would hide each other
        const isNamed = new Set(names).size === names.length;
        return value.flatMap((item: unknown, index) =>
            listValues(item, `${path}[${isNamed ? names[index] : index}]`, isSecret)
        );
    }
    if (typeof value === "object" && value !== jsonNull && Object.keys(value).length > 0) {
        return Object.entries(value).flatMap(([name, part]) =>
            listValues(part, path === "" ? name : `${path}.${name}`, isSecret || secretFields.has(name))
        );
    }
    return [[path, { value, shown: isSecret ? shownSecret : value }]];
}

function readName(item: unknown): string | undefined {
    const name = typeof item === "object" && item !== jsonNull && "name" in item ? item.name : undefined;
    return typeof name === "string" ? name : undefined;
}
