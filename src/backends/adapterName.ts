/**
 * Names of adapters on the wire: `ADAPTER@VERSION#GENERATION`.
 *
 * @packageDocumentation
 */
import type { AdapterReference } from "./engineClient.js";

const adapterNamePattern = /^(.+)@([^@#]+)(?:#([^#]+))?$/;

/**
 * Formats an adapter's name as engines know it.
 *
 * @param reference - adapter, version and, when it is about one load, the generation
 * @returns the name
 */
export function formatAdapterName(reference: AdapterReference): string {
    const name = `${reference.adapter}@${reference.version}`;
    return reference.generation === undefined ? name : `${name}#${reference.generation}`;
}

/**
 * Parses a name that an engine gave.
 *
 * @param name - the name
 * @returns the adapter, or `undefined` when the name is none of an adapter
 */
export function parseAdapterName(name: string): AdapterReference | undefined {
    const parts = adapterNamePattern.exec(name);
    if (!parts) {
        return undefined;
    }
    const reference = { adapter: parts[1]!, version: parts[2]! };
    return parts[3] === undefined ? reference : { ...reference, generation: parts[3] };
}
