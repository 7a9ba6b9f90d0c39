import { expect } from "chai";
import type { OwnershipChange } from "../ownershipRecords.js";
import { createOwnershipModel, createOwnershipState, describeEpoch, type OwnershipState } from "../ownershipState.js";

const model = createOwnershipModel("ownership-r");

describe("agreed epochs", () => {
    const apply = (state: OwnershipState, change: OwnershipChange): ReturnType<typeof model.applyChange> =>
        model.applyChange(state, { offset: state.appliedOffset + 1, appendedAt: 0 }, change);
    const join = (state: OwnershipState, instance: string, after = -1): ReturnType<typeof model.applyChange> =>
        apply(state, { kind: "join", basedOn: state.appliedOffset, instance, failureDomain: `d-${instance}`, after });
    const removeMember = (state: OwnershipState, instance: string): ReturnType<typeof model.applyChange> => {
        const { joinedAt } = state.members.get(instance)!;
        return apply(state, { kind: "leave", basedOn: state.appliedOffset, instance, joinedAt });
    };

    it("contain the members of the previous epoch, also after the state is restored from its parts", () => {
        const state = createOwnershipState();
        expect(join(state, "a").epoch?.previousMembers).to.deep.equal([]);
        expect(join(state, "b").epoch?.previousMembers).to.deep.equal(["a"]);
        expect(removeMember(state, "a").epoch?.previousMembers).to.deep.equal(["a", "b"]);
        const restored = model.restoreState(model.listParts(state), state.appliedOffset);
        expect(describeEpoch(restored)).to.deep.equal(describeEpoch(state));
        expect(describeEpoch(state).members.map(member => member.failureDomain)).to.deep.equal(["d-b"]);
    });

    it("have no known previous members after all members have left, because what they held is lost", () => {
        const state = createOwnershipState();
        join(state, "a");
        const left = removeMember(state, "a").epoch!;
        expect(left.previousMembers).to.deep.equal(["a"]);
        expect(join(state, "a", left.number).epoch?.previousMembers).to.equal(undefined);
        const other = createOwnershipState();
        join(other, "a");
        removeMember(other, "a");
        expect(join(other, "b").epoch?.previousMembers).to.equal(undefined);
    });
});
