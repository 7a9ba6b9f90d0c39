/**
 * Reference implementation of the accept rule without indexes, rollback or snapshots. Tests compare the real reader
 * with it.
 *
 * @packageDocumentation
 */
import type { LogRecord } from "../../backends/index.js";
import { createRecordCodec } from "../../streams/index.js";
import type { ResolvedSettings, SettingsNode } from "../index.js";
import { configurationModel } from "../model.js";
import { createResolvedTables } from "../resolve.js";
import { createSettingsTree, type SettingsTree } from "../tree.js";
import { findFault } from "../validate.js";

/** A reader that checks the whole tree after each record. */
export interface NaiveReader {
    /** Whether the change with that id was accepted; `undefined` if the log does not hold it yet. */
    readonly findDecision: (changeId: string) => boolean | undefined;
    /** The resolved tree after the record at that offset, as returned by `describeTree`. */
    readonly readTree: (offset: number) => string;
}

/**
 * Creates a reference reader.
 *
 * @param listRecords - returns all records of the configuration stream so far
 * @returns a reader that has applied no record yet
 */
export function createNaiveReader(listRecords: () => readonly LogRecord[]): NaiveReader {
    const codec = createRecordCodec(configurationModel);
    const decisions = new Map<string, boolean>();
    const versions = new Map<string, number>();
    const trees: string[] = [];
    let nodes = new Map<string, SettingsNode>();

    const applyRecord = (record: LogRecord): void => {
        const decoded = codec.decode(record.payload);
        if (decoded.kind !== "record" || decoded.record.kind !== "change") {
            return;
        }
        const { change } = decoded.record;
        if (decisions.has(change.changeId)) {
            return;
        }
        const next = new Map(nodes);
        for (const { name, value } of change.nodes) {
            value ? next.set(name, value) : next.delete(name);
        }
        const current = change.nodes.every(node => (versions.get(node.name) ?? -1) === node.baseVersion);
        const sensible = change.nodes.every(({ name, value }) => value !== undefined || nodes.has(name));
        const tree = createTree(next);
        const accepted = current && sensible && findFault(tree, tree.names()) === undefined;
        decisions.set(change.changeId, accepted);
        if (accepted) {
            nodes = next;
            change.nodes.forEach(node => versions.set(node.name, record.offset));
        }
    };
    const advance = (offset: number): void => {
        while (trees.length <= offset) {
            applyRecord(listRecords()[trees.length]!);
            const tables = createResolvedTables();
            const tree = createTree(nodes);
            tables.update(tree, tree.names());
            trees.push(describeTree(tables.read(trees.length)));
        }
    };
    return {
        findDecision: changeId => {
            advance(listRecords().length - 1);
            return decisions.get(changeId);
        },
        readTree: offset => {
            advance(offset);
            return trees[offset] ?? describeTree(createResolvedTables().read(offset));
        },
    };
}

/**
 * Describes resolved settings as text, so that two trees can be compared.
 *
 * @param settings - settings to describe
 * @returns JSON with the entries of each table sorted by key; it does not include the offset or the weight store
 */
export function describeTree(settings: ResolvedSettings): string {
    const tables = [settings.accounts, settings.keys, settings.routes, settings.adapters];
    return JSON.stringify(tables.map(table => [...table].sort(([left], [right]) => (left < right ? -1 : 1))));
}

function createTree(nodes: ReadonlyMap<string, SettingsNode>): SettingsTree {
    const tree = createSettingsTree();
    nodes.forEach((node, name) => void tree.set(name, node));
    return tree;
}
