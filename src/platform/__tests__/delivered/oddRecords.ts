/**
 * Odd records of another writer, drawn from a seed: fields that lack, are of another type or out of any range, deep nesting,
 * and bytes that can't be read.
 */
import * as fc from "fast-check";

const deepNesting = 20_000;
const oddValue = fc.constantFrom<unknown>(
    undefined,
    true,
    -1,
    0.5,
    1e308,
    -1e308,
    2 ** 53,
    "",
    "__proto__",
    "\u0000",
    "x".repeat(10_000),
    "1e309",
    [],
    [[[]]],
    {},
    { constructor: 1 },
);

function createDeepText(): string {
    return `${"[".repeat(deepNesting)}${"]".repeat(deepNesting)}`;
}

/**
 * Draws records that spoil one field that a proper record must have, or the whole record.
 *
 * @param proper - a proper record
 * @param fields - its fields that may be spoiled
 * @returns texts and bytes, none of which names a server to use
 */
function createOddRecord(proper: Readonly<Record<string, unknown>>, fields: readonly string[]) {
    const spoiled = fc.tuple(fc.constantFrom(...fields), oddValue).map(([field, value]) =>
        Buffer.from(JSON.stringify({ ...proper, [field]: value }))
    );
    const truncated = fc.nat(JSON.stringify(proper).length - 2)
        .map(length => Buffer.from(JSON.stringify(proper).slice(0, length + 1)));
    const bytes = fc.uint8Array({ minLength: 1, maxLength: 200 }).map(drawn => Buffer.from(drawn));
    const whole = fc.constantFrom("{}", "[]", "1", "1e309", '"x"', "\u007b\u0000\u007d", createDeepText())
        .map(text => Buffer.from(text));
    return fc.oneof({ weight: 3, arbitrary: spoiled }, truncated, bytes, whole);
}

/**
 * Draws records.
 *
 * @param proper - a proper record
 * @param fields - its fields that may be spoiled
 * @param seed - seed of the draw
 * @param count - number of records
 * @returns contents of the records
 */
export function drawOddRecords(
    proper: Readonly<Record<string, unknown>>,
    fields: readonly string[],
    seed: number,
    count: number,
): readonly Uint8Array[] {
    return fc.sample(createOddRecord(proper, fields), { seed, numRuns: count });
}
