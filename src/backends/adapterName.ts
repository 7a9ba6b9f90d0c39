/**
 * Adapter names in the protocol with model engines: `ADAPTER@VERSION` or `ADAPTER@VERSION#GENERATION`.
 *
 * @packageDocumentation
 */
import type { AdapterReference } from "./engineClient.js";

const adapterNamePattern = /^(.+)@([^@#]+)(?:#([^#]+))?$/;

/**
 * Formats the name under which engines know an adapter.
 *
 * @param reference - adapter and version; a generation is included if the name refers to one particular load
 * @returns the name, which `parseAdapterName` parses again
 */
export function formatAdapterName(reference: AdapterReference): string {
    const name = `${reference.adapter}@${reference.version}`;
    return reference.generation === undefined ? name : `${name}#${reference.generation}`;
}

/**
 * Parses an adapter name that an engine sent.
 *
 * @param name - name as received
 * @returns the adapter, or `undefined` if the name is not an adapter name, such as that of the base model
 */
export function parseAdapterName(name: string): AdapterReference | undefined {
    const parts = adapterNamePattern.exec(name);
    if (!parts) {
        return undefined;
    }
    const reference = { adapter: parts[1]!, version: parts[2]! };
    return parts[3] === undefined ? reference : { ...reference, generation: parts[3] };
}
