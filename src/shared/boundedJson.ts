/**
 * JSON from outside, whose size and depth are checked before it is walked.
 *
 * @packageDocumentation
 */

/** Deepest nesting of lists and objects that is read; what is used has less than ten levels. */
export const maximumNestingDepth = 64;
/** Largest number of lists and objects that is read, unless the caller names another one. */
export const maximumNodeCount = 100_000;

const utf8 = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true });

/**
 * Parses JSON, as `JSON.parse` does, and throws at what that refuses, too.
 *
 * @param json - text in UTF-8, or as it stands; not trusted
 * @param maximumBytes - largest size that is read
 * @param maximumNodes - largest number of lists and objects that is read
 * @returns the parsed value
 * @throws Error when the text is too large, nested too deeply, of too many lists and objects, no UTF-8 or no JSON
 */
export function parseBoundedJson(
    json: Uint8Array | string,
    maximumBytes: number,
    maximumNodes = maximumNodeCount,
): unknown {
    if (json.length > maximumBytes) {
        throw new Error(`larger than ${maximumBytes} bytes`);
    }
    const text = typeof json === "string" ? json : utf8.decode(json);
    if (!isNestedWithin(text, maximumNestingDepth, maximumNodes)) {
        throw new Error(`nested deeper than ${maximumNestingDepth} levels, or more than ${maximumNodes} nodes`);
    }
    return JSON.parse(text);
}

function isNestedWithin(text: string, maximumDepth: number, maximumNodes: number): boolean {
    let depth = 0;
    let nodes = 0;
    let isInText = false;
    for (let index = 0; index < text.length; index++) {
        switch (text.charAt(index)) {
            case "\\":
                // the next character has no meaning here; outside of texts it is no JSON anyway
                index++;
                break;
            case '"':
                isInText = !isInText;
                break;
            case "[":
            case "{":
                depth += isInText ? 0 : 1;
                nodes += isInText ? 0 : 1;
                break;
            case "]":
            case "}":
                depth -= isInText ? 0 : 1;
                break;
            default:
                break;
        }
        if (depth > maximumDepth || nodes > maximumNodes) {
            return false;
        }
    }
    return true;
}
