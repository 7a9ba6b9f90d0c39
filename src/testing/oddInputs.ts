/**
 * Generated input for decoders: valid values of which fields are replaced, removed or added, and bytes that are changed.
 *
 * @packageDocumentation
 */
import fc from "fast-check";

/** Runs of each property; a larger number is set by hand, as in `INPUTS=10000 npx mocha`. */
export const inputRuns = Number(process.env["INPUTS"] ?? 300);

/** Parameters of each property: seeded, so that a run finds the same inputs again. */
export const inputParameters = { seed: 41, numRuns: inputRuns };

/** Stands in JSON for a number that is larger than any that JavaScript has. */
const hugeNumber = "@huge";
const oddNumbers = [0, -0, -1, 0.5, 5e-324, 1e308, -1e308, 2 ** 31, 2 ** 53, 2 ** 53 + 2, 1e15, 8.64e15 + 1, 99_999];
const oddTexts = [
    "",
    "__proto__",
    "constructor",
    "127.0.0.1:99999",
    "999.1.1.1:80",
    "127.0.0.01:80",
    "a\r\nb: c",
    "\ud800",
    "\u0000",
    "\u0161",
    "NaN",
    "a@1e999",
    "/",
    hugeNumber,
    "x".repeat(2_000),
];
const oddValue: fc.Arbitrary<unknown> = fc.oneof(
    fc.constantFrom<unknown>(...oddNumbers),
    fc.constantFrom<unknown>(...oddTexts),
    fc.double(),
    fc.integer(),
    fc.string({ unit: "binary" }),
    fc.jsonValue(),
    fc.constantFrom<unknown>([], {}, [[]], [{}], true, false),
);
const unencodableValue: fc.Arbitrary<unknown> = fc.oneof(
    oddValue,
    fc.constantFrom<unknown>(NaN, Infinity, -Infinity, undefined, 1n, new Date(NaN), new Map(), Buffer.from("b")),
    fc.anything(),
);

type Path = readonly (string | number)[];

interface Change {
    readonly path: Path;
    readonly kind: "replace" | "remove" | "add";
    readonly value: unknown;
}

/**
 * Generates values like a valid one, which may hold what no encoding has.
 *
 * @param valid - a valid value
 * @returns the valid value, up to three of whose fields are changed
 */
export function createOddValues(valid: unknown): fc.Arbitrary<unknown> {
    return createChanges(valid, unencodableValue).map(changes => changes.reduce(applyChange, valid));
}

/**
 * Generates JSON like that of a valid value.
 *
 * @param valid - a valid value
 * @returns its JSON, of which fields or bytes are changed
 */
export function createOddJson(valid: unknown): fc.Arbitrary<Buffer> {
    const json = createChanges(valid, oddValue).map(changes => {
        const text = JSON.stringify(changes.reduce(applyChange, valid)) ?? "";
        return Buffer.from(text.replaceAll(`"${hugeNumber}"`, "1e999"), "utf8");
    });
    return fc.oneof(
        { weight: 4, arbitrary: json },
        { weight: 1, arbitrary: json.chain(createOddBytes) },
        { weight: 1, arbitrary: fc.uint8Array({ maxLength: 100 }).map(bytes => Buffer.from(bytes)) },
    );
}

/**
 * Generates bytes like valid ones.
 *
 * @param valid - valid bytes
 * @returns bytes of which up to three are set, removed or added, or that end earlier
 */
export function createOddBytes(valid: Buffer): fc.Arbitrary<Buffer> {
    const change = fc.record({
        kind: fc.constantFrom("set", "insert", "remove", "truncate"),
        position: fc.nat(valid.length),
        byte: fc.nat(255),
    });
    return fc.array(change, { minLength: 1, maxLength: 3 }).map(changes =>
        changes.reduce((bytes, { kind, position, byte }) => {
            const [before, after] = [bytes.subarray(0, position), bytes.subarray(position)];
            switch (kind) {
                case "set":
                    return Buffer.concat([before, Buffer.from([byte]), after.subarray(1)]);
                case "insert":
                    return Buffer.concat([before, Buffer.from([byte]), after]);
                case "remove":
                    return Buffer.concat([before, after.subarray(1)]);
                case "truncate":
                    return before;
            }
        }, valid)
    );
}

/**
 * Lists all numbers in a value, with the path of each.
 *
 * @param value - decoded value
 * @param path - path of the value itself
 * @returns paths and numbers
 */
export function listNumbers(value: unknown, path = ""): readonly (readonly [path: string, value: number])[] {
    if (typeof value === "number") {
        return [[path, value]];
    }
    if (value instanceof Uint8Array || typeof value !== "object" || !value) {
        return [];
    }
    const entries: Iterable<readonly [unknown, unknown]> = value instanceof Map ? value : Object.entries(value);
    return [...entries].flatMap(([key, entry]) => listNumbers(entry, `${path}/${String(key)}`));
}

function createChanges(valid: unknown, value: fc.Arbitrary<unknown>): fc.Arbitrary<Change[]> {
    const change = fc.record({
        path: fc.constantFrom(...listPaths(valid)),
        kind: fc.constantFrom("replace", "replace", "remove", "add"),
        value,
    });
    return fc.array(change, { maxLength: 3 });
}

function listPaths(value: unknown): readonly Path[] {
    if (typeof value !== "object" || !value || value instanceof Uint8Array) {
        return [[]];
    }
    const inner = Object.entries(value).flatMap(([key, entry]) => listPaths(entry).map(path => [key, ...path]));
    return [[], ...inner];
}

// the value itself is left as it is; a path that an earlier change removed changes nothing
function applyChange(value: unknown, change: Change): unknown {
    const [key, ...rest] = change.path;
    if (key === undefined) {
        return change.kind === "add" ? addField(value, change.value) : change.value;
    }
    if (typeof value !== "object" || !value || value instanceof Uint8Array || !Object.hasOwn(value, key)) {
        return value;
    }
    const entries = Object.entries(value).flatMap(([name, entry]) => {
        const isChanged = name === String(key);
        if (isChanged && change.kind === "remove" && rest.length === 0) {
            return [];
        }
        return [[name, isChanged ? applyChange(entry, { ...change, path: rest }) : entry] as const];
    });
    return Array.isArray(value) ? entries.map(([, entry]) => entry) : Object.fromEntries(entries);
}

function addField(value: unknown, added: unknown): unknown {
    if (Array.isArray(value)) {
        return [...value, added];
    }
    // `__proto__` as a field of its own, as JSON can have it
    return typeof value === "object" && value
        ? Object.fromEntries([...Object.entries(value), ["__proto__", added], ["later", added]])
        : value;
}
