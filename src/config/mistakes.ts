/**
 * Mistakes in settings files, with their position and a remedy.
 *
 * @packageDocumentation
 */
import type { TreeFault } from "./validate.js";

/** A mistake in a settings file, reported to the operator. */
export interface SettingsMistake {
    readonly file: string;
    /** Line number, from 1. */
    readonly line: number;
    /** Column number, from 1. */
    readonly column: number;
    /** Field names from the root of the file, joined by dots; empty for the whole file. */
    readonly path: string;
    readonly message: string;
    readonly remedy: string;
}

/**
 * Formats a mistake for the terminal.
 *
 * @param mistake - mistake to show
 * @returns two lines without a final newline: position and message, then the indented remedy
 */
export function formatSettingsMistake(mistake: SettingsMistake): string {
    const place = `${mistake.file}:${mistake.line}:${mistake.column}`;
    const path = mistake.path === "" ? "" : ` ${mistake.path}:`;
    return `${place}:${path} ${mistake.message}\n    ${mistake.remedy}`;
}

/** Message and remedy for a fault of the settings tree. */
export interface FaultDescription {
    /** Field at which the fault is reported; `undefined` for the node itself. */
    readonly field: string | undefined;
    readonly message: string;
    readonly remedy: string;
}

/**
 * Describes a fault of the settings tree for the operator.
 *
 * @param fault - fault found by the checks of the tree
 * @returns what is wrong and how to correct it
 */
export function describeFault(fault: TreeFault): FaultDescription {
    switch (fault.kind) {
        case "unknownParent":
            return {
                field: "parent",
                message: `parent ${fault.parent} is not in the tree`,
                remedy: `add a node named ${fault.parent}, or choose another parent`,
            };
        case "cycle":
            return {
                field: "parent",
                message: `the parents of ${fault.node} form a cycle, or the chain of parents is too long`,
                remedy: "change one parent so that each chain of parents ends at a node without a parent",
            };
        case "danglingReference":
            return {
                field: fault.field,
                message: `${fault.target} does not name a node of kind ${fault.targetKind}`,
                remedy: `add a node of kind ${fault.targetKind} named ${fault.target}, or refer to another node`,
            };
        case "missingField":
            return {
                field: undefined,
                message: `${fault.field} is set neither on ${fault.node} nor on its parents`,
                remedy: `set ${fault.field} on the node or on one of its parents`,
            };
        case "duplicateKey":
            return {
                field: "hash",
                message: `node ${fault.other} has the same key`,
                remedy: "remove one of the two nodes, or grant a new key",
            };
        case "severalWeightStores":
            return {
                field: undefined,
                message: `${fault.other} is also a weight store`,
                remedy: "keep only one node of kind weightStore",
            };
    }
}
