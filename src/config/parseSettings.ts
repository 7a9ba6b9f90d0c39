/**
 * Parses settings files and checks them against the schema and the rules of the tree. Each mistake is reported with its
 * line.
 *
 * @packageDocumentation
 */
import { type Result, wrapError, wrapValue } from "../shared/index.js";
import { describeFault, type SettingsMistake } from "./mistakes.js";
import { type SettingsDocument, settingsDocumentSchema } from "./schema.js";
import { createSettingsTree } from "./tree.js";
import { checkNode, type TreeFault } from "./validate.js";
import { parseYamlFile, type YamlFile, type YamlFormat } from "./yamlFile.js";

const settingsFileFormat: YamlFormat = {
    page: "docs/guide/configuration.md",
    fieldScope: " of each kind",
    unionRemedy: "give one of the kinds group, clientAccount, key, route, adapter, weightStore",
    keyRemedy: "rename the node: letters, digits and . _ / @ : - only, the first a letter or digit",
};

/**
 * Parses and checks a settings file.
 *
 * @param text - content of the file
 * @param fileName - name shown in mistakes
 * @returns the document, or every mistake found; the rules of the tree are checked only after the schema passes
 */
export function parseSettings(
    text: string,
    fileName: string,
): Result<SettingsDocument, readonly SettingsMistake[]> {
    const file = parseYamlFile(text, fileName, settingsDocumentSchema, settingsFileFormat);
    if (!file.ok) {
        return file;
    }
    const faults = listFaults(file.value.value);
    return faults.length > 0
        ? wrapError(faults.map(fault => createFaultMistake(file.value, fault)))
        : wrapValue(file.value.value);
}

/**
 * Lists the faults of the tree in a document.
 *
 * @param document - a document that passed the schema
 * @returns at most one fault per node, in the order of the document
 */
export function listFaults(document: SettingsDocument): readonly TreeFault[] {
    const tree = createSettingsTree();
    const names = Object.keys(document.nodes);
    for (const name of names) {
        tree.set(name, document.nodes[name]);
    }
    const faults = new Map<string, TreeFault>();
    for (const name of names) {
        const fault = checkNode(tree, name);
        if (fault) {
            faults.set(fault.node, faults.get(fault.node) ?? fault);
        }
    }
    return [...faults.values()];
}

function createFaultMistake(file: YamlFile<SettingsDocument>, fault: TreeFault): SettingsMistake {
    const { field, message, remedy } = describeFault(fault);
    const path = ["nodes", fault.node, ...(field === undefined ? [] : [field])];
    return file.createMistake(path, { message, remedy });
}
