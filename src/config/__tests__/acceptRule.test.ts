import { expect } from "chai";
import fc from "fast-check";
import { applyChange, createSettingsState, readVersion, type SettingsState } from "../acceptRule.js";
import {
    type ConfigurationChange,
    configurationModel,
    type Decision,
    readResolvedSettings,
    retentionWindowOffsets,
    type SettingsNode,
} from "../index.js";
import { createResolvedTables } from "../resolve.js";
import { findFault } from "../validate.js";
import { describeTree } from "./naiveReader.js";

const account: SettingsNode = { kind: "clientAccount", limits: { rate: 1, burst: 2 } };
const otherAccount: SettingsNode = { kind: "clientAccount", limits: { rate: 3, burst: 4 } };
let nextChange = 0;

function createChange(
    state: SettingsState,
    nodes: Readonly<Record<string, SettingsNode | undefined>>,
    base: Partial<ConfigurationChange> = {},
): ConfigurationChange {
    return {
        changeId: `change-${nextChange++}`,
        author: "test",
        basedOn: state.appliedOffset,
        nodes: Object.entries(nodes).map(([name, value]) => ({ name, baseVersion: readVersion(state, name), value })),
        ...base,
    };
}

function apply(state: SettingsState, change: ConfigurationChange, offset = state.appliedOffset + 1): string {
    return describeDecision(applyChange(state, offset, change));
}

function describeDecision(decision: Decision): string {
    return decision.kind === "accepted" ? "accepted" : decision.rejection.kind;
}

function restore(state: SettingsState): SettingsState {
    return configurationModel.restoreState(configurationModel.listParts(state), state.appliedOffset);
}

describe("accept rule", () => {
    it("accepts one of two concurrent changes and reports the node's current version in the other's rejection", () => {
        const state = createSettingsState();
        apply(state, createChange(state, { a: account }));
        const first = createChange(state, { a: otherAccount });
        const second = createChange(state, { a: undefined });
        expect(apply(state, first)).to.equal("accepted");
        const lost = applyChange(state, 2, second);
        expect(lost).to.deep.equal({
            kind: "rejected",
            rejection: { kind: "stale", nodes: [{ name: "a", baseVersion: 0, currentVersion: 1 }] },
        });
    });

    it("keeps the first decision of a repeated change, even a rejection that would be accepted later", () => {
        const state = createSettingsState();
        const key: SettingsNode = { kind: "key", account: "a", hash: "0".repeat(64) };
        const early = createChange(state, { k: key });
        expect(apply(state, early)).to.equal("invalid");
        expect(apply(state, createChange(state, { a: account }))).to.equal("accepted");
        expect(apply(state, early)).to.equal("repeated");
        expect(readResolvedSettings(state).keys.size).to.equal(0);
    });

    it("keeps versions of removed nodes after a restore, so that an old change can't recreate them", () => {
        const state = createSettingsState();
        apply(state, createChange(state, { a: account }));
        const old = createChange(state, { a: otherAccount });
        const changeOfAbsentNode = createChange(state, { a: account }, {
            nodes: [{ name: "a", baseVersion: -1, value: account }],
        });
        apply(state, createChange(state, { a: undefined }));
        const restored = restore(state);
        expect([apply(restored, old), apply(restored, changeOfAbsentNode)]).to.deep.equal(["stale", "stale"]);
    });

    it("rejects changes older than the retention window, and drops removed nodes only after it", () => {
        const state = createSettingsState();
        apply(state, createChange(state, { a: account }));
        apply(state, createChange(state, { a: undefined }));
        const late = createChange(state, { a: account });
        expect(apply(state, late, retentionWindowOffsets + 2)).to.equal("tooOld");
        expect([state.versions.size, state.removed.size, state.settled.size]).to.deep.equal([0, 0, 1]);
        expect(apply(state, createChange(state, { a: account }))).to.equal("accepted");
    });

    it("has the same result after each change as a check and resolution of the whole tree", () => {
        const names = ["n0", "n1", "n2", "n3", "n4", "n5"];
        const name = fc.constantFrom(...names);
        const parent = fc.constantFrom("n0", "n0", "n0", "n1", "n3", undefined);
        const node = fc.oneof(
            parent.map((parentName): SettingsNode => ({ kind: "group", parent: parentName, pool: "q" })),
            fc.tuple(parent, fc.nat({ max: 3 })).map(([parentName, model]): SettingsNode => ({
                kind: "group",
                parent: parentName,
                baseModel: `m${model}`,
            })),
            parent.map((parentName): SettingsNode => ({ kind: "clientAccount", parent: parentName })),
            fc.tuple(parent, fc.nat({ max: 1 })).map(([parentName, hash]): SettingsNode => ({
                kind: "key",
                parent: parentName,
                hash: String(hash).repeat(64),
            })),
            parent.map((parentName): SettingsNode => ({ kind: "adapter", parent: parentName, version: "1" })),
            fc.tuple(parent, name).map(([parentName, adapter]): SettingsNode => ({
                kind: "route",
                serves: "model",
                parent: parentName,
                adapter,
                pool: "p",
            })),
        );
        const change = fc.array(fc.tuple(name, fc.option(node, { nil: undefined })), { minLength: 1, maxLength: 3 });
        let accepted = 0;
        fc.assert(
            fc.property(fc.array(change, { maxLength: 40, size: "max" }), changes => {
                let state = createSettingsState();
                const base = { limits: { rate: 1, burst: 1 }, pool: "p", baseModel: "m" };
                apply(
                    state,
                    createChange(state, { n0: { kind: "group", ...base }, n1: { kind: "group", parent: "n0" } }),
                );
                for (const nodes of changes) {
                    const before = describeTree(readResolvedSettings(state));
                    const decision = apply(state, createChange(state, Object.fromEntries(nodes)));
                    accepted += decision === "accepted" ? 1 : 0;
                    const whole = createResolvedTables();
                    whole.update(state.tree, state.tree.names());
                    const after = describeTree(readResolvedSettings(state));
                    expect(findFault(state.tree, state.tree.names())).to.equal(undefined);
                    expect(after).to.equal(describeTree(whole.read(0)));
                    if (decision !== "accepted") {
                        expect(after).to.equal(before);
                    }
                    if (state.appliedOffset % 5 === 0) {
                        state = restore(state);
                        expect(describeTree(readResolvedSettings(state))).to.equal(after);
                    }
                }
            }),
            { numRuns: 300, seed: 4 },
        );
        expect(accepted).to.be.greaterThan(500);
    });
});
