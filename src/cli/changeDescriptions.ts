/**
 * Texts that describe changes of settings, the decisions on them and their outcomes.
 *
 * @packageDocumentation
 */
import { isDeepStrictEqual } from "node:util";
import {
    type ConfigurationChange,
    type Decision,
    describeFault,
    type NodeChange,
    type PublishOutcome,
    type Rejection,
    type SettingsNode,
    type SettingsState,
} from "../config/index.js";
import { type CommandReport, exitCodes } from "./types.js";

/** How a change affects one node; printed by `--json`. */
export interface NodeDifference {
    readonly name: string;
    readonly kind: "added" | "changed" | "removed";
    readonly before: SettingsNode | undefined;
    readonly after: SettingsNode | undefined;
}

/**
 * Compares the nodes of a change with the tree that it is based on.
 *
 * @param state - state of the tree before the change
 * @param change - the change, or `undefined` when nothing changes
 * @returns one entry per node of the change, in the same order
 */
export function listDifferences(
    state: SettingsState,
    change: ConfigurationChange | undefined,
): readonly NodeDifference[] {
    return (change?.nodes ?? []).map((node: NodeChange) => {
        const before = state.tree.get(node.name);
        const kind = node.value === undefined ? "removed" : before === undefined ? "added" : "changed";
        return { name: node.name, kind, before, after: node.value };
    });
}

/**
 * Formats differences for the terminal.
 *
 * @param differences - nodes that differ
 * @returns one line per node, followed by one line per changed field unless the node is removed
 */
export function formatDifferences(differences: readonly NodeDifference[]): string {
    if (differences.length === 0) {
        return "no differences";
    }
    return differences.flatMap(formatDifference).join("\n");
}

/**
 * Describes the outcome of publishing a change.
 *
 * @param outcome - outcome that the publisher determined
 * @param changeId - id of the change
 * @returns a report whose exit code follows from the kind of outcome
 */
export function describeOutcome(outcome: PublishOutcome, changeId: string): CommandReport {
    const value = { changeId, ...outcome };
    switch (outcome.kind) {
        case "accepted":
            return { exitCode: exitCodes.done, value, text: `accepted at offset ${outcome.offset}` };
        case "rejected": {
            const reason = outcome.rejection ? describeRejection(outcome.rejection) : "the reason is no longer stored";
            return { exitCode: exitCodes.refused, value, text: `rejected at offset ${outcome.offset}: ${reason}` };
        }
        case "notPublished":
            return { exitCode: exitCodes.unreachable, value, text: `not published: ${outcome.detail}` };
        case "unknownYet": {
            const remedy = `check again with: oriolehatch config settle ${changeId}`;
            return {
                exitCode: exitCodes.unknownYet,
                value,
                text: `outcome not known yet: ${outcome.detail}\n    ${remedy}`,
            };
        }
    }
}

/**
 * Describes whether a change was accepted.
 *
 * @param decision - decision that every instance derives from the log
 * @returns `accepted`, or `rejected` with the reason
 */
export function describeDecision(decision: Decision): string {
    switch (decision.kind) {
        case "accepted":
            return "accepted";
        case "rejected":
            return `rejected: ${describeRejection(decision.rejection)}`;
    }
}

/**
 * Describes why a change was rejected.
 *
 * @param rejection - reason for the rejection
 * @returns one line that also says what to do, where something can be done
 */
export function describeRejection(rejection: Rejection): string {
    switch (rejection.kind) {
        case "stale": {
            const nodes = rejection.nodes.map(node => `${node.name} (set at offset ${node.currentVersion})`);
            return `another change came first: ${nodes.join(", ")}; review the differences and publish again`;
        }
        case "invalid": {
            const { message, remedy } = describeFault(rejection.fault);
            return `${message}; ${remedy}`;
        }
        case "tooOld":
            return `based on offset ${rejection.basedOn}, the oldest allowed is ${rejection.oldestAllowed}; publish again`;
        case "repeated":
            return `the same change was recorded before, at offset ${rejection.first.offset}; that outcome applies`;
        case "senseless":
            return rejection.detail;
    }
}

const markers = { added: "+", changed: "~", removed: "-" } as const;

function formatDifference(difference: NodeDifference): readonly string[] {
    const title = `${markers[difference.kind]} ${difference.name} (${(difference.after ?? difference.before)?.kind})`;
    const before = collectFields(difference.before);
    const after = collectFields(difference.after);
    if (difference.kind === "removed") {
        return [title];
    }
    const fields = [...new Set([...before.keys(), ...after.keys()])]
        .filter(field => field !== "kind" && !isDeepStrictEqual(before.get(field), after.get(field)))
        .map(field => `    ${field}: ${formatValue(before.get(field))} -> ${formatValue(after.get(field))}`);
    return [title, ...fields];
}

function formatValue(value: unknown): string {
    return value === undefined ? "unset" : JSON.stringify(value);
}

function collectFields(node: SettingsNode | undefined): ReadonlyMap<string, unknown> {
    const fields = new Map<string, unknown>();
    for (const [name, value] of Object.entries(node ?? {})) {
        if (typeof value === "object" && !Array.isArray(value)) {
            Object.entries(value as object).forEach(([nestedName, part]) => fields.set(`${name}.${nestedName}`, part));
        }
        else {
            fields.set(name, value);
        }
    }
    return fields;
}
