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
    return { number, members, previousMembers, growAt: 0 };
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

describe("records of one holder", () => {
    it("grant a key to one claim, again to the same, and to another only when the first did not run", () => {
        const holder = createReadyReplica();
        expect(claimAt(holder, buildClaim("x"))).to.equal("granted");
        expect(claimAt(holder, buildClaim("x"))).to.equal("granted");
        expect(claimAt(holder, buildClaim("y"))).to.equal("held");
        holder.acceptSettlement(buildMessage("settle", 1, buildClaim("x", notRun)), 0);
        expect(claimAt(holder, buildClaim("x"))).to.equal("held");
        expect(claimAt(holder, buildClaim("y"))).to.equal("granted");
        holder.acceptSettlement(buildMessage("settle", 1, buildClaim("y", completed)), 0);
        expect(claimAt(holder, buildClaim("z"))).to.equal("held");
        expect(claimAt(holder, buildClaim("z"), lifetime)).to.equal("granted");
    });

    it("grant nothing outside the epoch's lease, in another epoch, or before it is handed over", () => {
        const holder = createReadyReplica();
        expect(holder.acceptClaim(buildMessage("claim", 1, buildClaim("x")), 10, 10).kind).to.equal("notReady");
        expect(claimAt(holder, buildClaim("x"), 0, 2)).to.equal("notReady");
        const newReplica = createRecordReplica("b", lifetime);
        newReplica.acceptEpoch(buildEpoch(2, ["b"], ["a"]), 0);
        expect(claimAt(newReplica, buildClaim("x"), 0, 2)).to.equal("notReady");
        newReplica.expire(lifetime - 1);
        expect(claimAt(newReplica, buildClaim("x"), lifetime - 1, 2)).to.equal("notReady");
        newReplica.expire(lifetime);
        expect(claimAt(newReplica, buildClaim("x"), lifetime, 2)).to.equal("granted");
    });

    it("move to the next group, which waits for them", () => {
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

    it("keep every claim that may have won when copies differ", () => {
        const merged = mergeClaims([buildClaim("x")], [buildClaim("y"), buildClaim("z", notRun)]);
        expect(merged.map(claim => claim.claimId)).to.deep.equal(["x", "y"]);
        const settled = mergeClaims(merged, [buildClaim("x", completed)]);
        expect(mergeClaims(settled, [buildClaim("x")])[0]!.result).to.deep.equal(completed);
        const holder = createReadyReplica();
        for (const claim of merged) {
            holder.acceptSettlement(buildMessage("settle", 1, claim), 0);
        }
        // either may be the one that won, so neither is granted again
        expect([claimAt(holder, buildClaim("x")), claimAt(holder, buildClaim("y"))]).to.deep.equal(["held", "held"]);
    });

    it("vouch for nothing after a missed epoch", () => {
        const holder = createReadyReplica();
        holder.acceptEpoch(buildEpoch(3, ["a"], ["a", "b"]), 0);
        expect(claimAt(holder, buildClaim("x"), 0, 3)).to.equal("notReady");
        expect(holder.listHandovers(0)).to.deep.equal([]);
    });
});

describe("groups of holders", () => {
    it("span failure domains when the epoch names them", () => {
        const members = ["a1", "a2", "a3", "b1", "c1"];
        const failureDomains = new Map(members.map(id => [id, id[0]!]));
        for (let index = 0; index < partitionCount; index++) {
            const domains = chooseReplicaGroup(index, { members, failureDomains }).map(id => id[0]);
            expect(domains).to.deep.equal(["a", "b", "c"]);
        }
        expect(chooseReplicaGroup(partition, { members: ["a1", "b1"] })).to.deep.equal(["a1", "b1"]);
    });

    it("read the time of a version 7 UUID only", () => {
        expect(parseKeyTimestamp("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")).to.equal(0x017f22e279b0);
        expect(parseKeyTimestamp("017f22e2-79b0-4cc3-98c4-dc0c0c07398f")).to.equal(undefined);
        expect(parseKeyTimestamp("order-17")).to.equal(undefined);
    });
});
