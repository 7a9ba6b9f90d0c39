/**
 * The settings tree: its schema, inheritance between nodes, the rule that accepts or rejects changes, and the readers
 * and writers of the configuration stream.
 *
 * @packageDocumentation
 */
export {
    applyChange,
    createSettingsState,
    type Decision,
    readResolvedSettings,
    type Rejection,
    retentionWindowOffsets,
    type SettingsState,
    type StaleNode,
} from "./acceptRule.js";
export * from "./changes.js";
export * from "./configTask.js";
export * from "./findings.js";
export * from "./logReader.js";
export * from "./messages.js";
export * from "./mistakes.js";
export * from "./model.js";
export * from "./parseSettings.js";
export * from "./publisher.js";
export * from "./records.js";
export * from "./resolvedSettings.js";
export * from "./schema.js";
export * from "./treeFindings.js";
export type { TreeFault } from "./validate.js";
export * from "./yamlFile.js";
