import { expect } from "chai";
import type { MemberEpoch } from "../../membership/index.js";
import { mergeClaims } from "../executionClaims.js";
import type { AtMostOnceMessage, ExecutionClaim } from "../index.js";
import { createRecordReplica, type RecordReplica } from "../recordReplica.js";
import { chooseReplicaGroup, findPartition, parseKeyTimestamp, partitionCount } from "../replicaGroups.js";

const lifetime = 1_000;
const key = "some-key";
const partition = findPartition(key);
const notRun = { outcome: { kind: "notRun", reason: "noBackend", message: "", retryAfter: undefined } } as const;
const completed = { outcome: { kind: "completed" } } as const;

function buildClaim(claimId: string, result?: ExecutionClaim["result"]): ExecutionClaim {
    return { claimId, coordinator: claimId, fingerprint: "f", ...(result ? { result } : {}) };
}

function buildEpoch(number: number, members: readonly string[], previousMembers: readonly string[]): MemberEpoch {
    return { number, members, previousMembers, gainsAllowedAt: 0 };
}

function buildMessage<Kind extends "claim" | "settle">(kind: Kind, epoch: number, claim: ExecutionClaim) {
    return { kind, key, epoch, claim } as Extract<AtMostOnceMessage, { kind: Kind; }>;
}

function claimAt(replica: RecordReplica, claim: ExecutionClaim, now = 0, epoch = 1): string {
    return replica.acceptClaim(buildMessage("claim", epoch, claim), now, Infinity).kind;
}

function createReadyReplica(): RecordReplica {
    const replica = createRecordReplica("a", lifetime);
    replica.acceptEpoch(buildEpoch(1, ["a"], []), 0);
    return replica;
}

describe("record replica", () => {
    it("grants a key to one claim, repeats that grant, and grants another claim only if the first one did not run", () => {
        const replica = createReadyReplica();
        expect(claimAt(replica, buildClaim("x"))).to.equal("granted");
        expect(claimAt(replica, buildClaim("x"))).to.equal("granted");
        expect(claimAt(replica, buildClaim("y"))).to.equal("held");
        replica.acceptSettlement(buildMessage("settle", 1, buildClaim("x", notRun)), 0);
        expect(claimAt(replica, buildClaim("x"))).to.equal("held");
        expect(claimAt(replica, buildClaim("y"))).to.equal("granted");
        replica.acceptSettlement(buildMessage("settle", 1, buildClaim("y", completed)), 0);
        expect(claimAt(replica, buildClaim("z"))).to.equal("held");
        expect(claimAt(replica, buildClaim("z"), lifetime)).to.equal("granted");
    });

    it("grants nothing outside the epoch's lease, in another epoch, or before earlier records arrived or expired", () => {
        const replica = createReadyReplica();
        expect(replica.acceptClaim(buildMessage("claim", 1, buildClaim("x")), 10, 10).kind).to.equal("notReady");
        expect(claimAt(replica, buildClaim("x"), 0, 2)).to.equal("notReady");
        const newReplica = createRecordReplica("b", lifetime);
        newReplica.acceptEpoch(buildEpoch(2, ["b"], ["a"]), 0);
        expect(claimAt(newReplica, buildClaim("x"), 0, 2)).to.equal("notReady");
        newReplica.expire(lifetime - 1);
        expect(claimAt(newReplica, buildClaim("x"), lifetime - 1, 2)).to.equal("notReady");
        newReplica.expire(lifetime);
        expect(claimAt(newReplica, buildClaim("x"), lifetime, 2)).to.equal("granted");
    });

    it("hands its records over to the next group, which grants nothing before", () => {
        const old = createReadyReplica();
        claimAt(old, buildClaim("x"));
        const next = createRecordReplica("b", lifetime);
        const epoch = buildEpoch(2, ["b"], ["a"]);
        next.acceptEpoch(epoch, 0);
        old.acceptEpoch(epoch, 0);
        expect(claimAt(old, buildClaim("y"), 0, 1)).to.equal("notReady");
        const handovers = old.listHandovers(0);
        expect(handovers).to.have.length(partitionCount);
        for (const handover of handovers) {
            next.acceptHandover("a", {
                kind: "handover",
                partition: handover.partition,
                epoch: handover.epoch,
                previousGroup: [...handover.previousGroup],
                records: [...handover.records],
                isLast: true,
            }, 0);
            old.finishHandover(handover);
        }
        expect(claimAt(next, buildClaim("y"), 0, 2)).to.equal("held");
        expect(next.readStatus()).to.deep.equal({ records: 1, waitingPartitions: 0, pendingHandovers: 0 });
        expect(old.readStatus()).to.deep.equal({ records: 0, waitingPartitions: 0, pendingHandovers: 0 });
    });

    it("keeps every claim that may have won when replicas differ", () => {
        const merged = mergeClaims([buildClaim("x")], [buildClaim("y"), buildClaim("z", notRun)]);
        expect(merged.map(claim => claim.claimId)).to.deep.equal(["x", "y"]);
        const settled = mergeClaims(merged, [buildClaim("x", completed)]);
        expect(mergeClaims(settled, [buildClaim("x")])[0]!.result).to.deep.equal(completed);
        const replica = createReadyReplica();
        for (const claim of merged) {
            replica.acceptSettlement(buildMessage("settle", 1, claim), 0);
        }
        // each of the two claims may have won, so neither is granted
        expect([claimAt(replica, buildClaim("x")), claimAt(replica, buildClaim("y"))]).to.deep.equal(["held", "held"]);
    });

    it("hands nothing over after it missed an epoch", () => {
        const replica = createReadyReplica();
        replica.acceptEpoch(buildEpoch(3, ["a"], ["a", "b"]), 0);
        expect(claimAt(replica, buildClaim("x"), 0, 3)).to.equal("notReady");
        expect(replica.listHandovers(0)).to.deep.equal([]);
    });
});

describe("replica groups", () => {
    it("span different failure domains if the epoch lists them", () => {
        const members = ["a1", "a2", "a3", "b1", "c1"];
        const failureDomains = new Map(members.map(id => [id, id[0]!]));
        for (let index = 0; index < partitionCount; index++) {
            const domains = chooseReplicaGroup(index, { members, failureDomains }).map(id => id[0]);
            expect(domains).to.deep.equal(["a", "b", "c"]);
        }
        expect(chooseReplicaGroup(partition, { members: ["a1", "b1"] })).to.deep.equal(["a1", "b1"]);
    });

    it("read the creation time of a key only from a version 7 UUID", () => {
        expect(parseKeyTimestamp("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")).to.equal(0x017f22e279b0);
        expect(parseKeyTimestamp("017f22e2-79b0-4cc3-98c4-dc0c0c07398f")).to.equal(undefined);
        expect(parseKeyTimestamp("order-17")).to.equal(undefined);
    });
});
