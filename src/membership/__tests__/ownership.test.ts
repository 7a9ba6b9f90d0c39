import { expect } from "chai";
import { startDetached } from "../../testing/index.js";
import {
    advanceEpochEffect,
    createEpochEffectState,
    type EpochEffectEvent,
    type EpochEffectState,
    readEffectiveAt,
} from "../epochEffect.js";
import { createWatchRing, decideRemovals } from "../failureDetection.js";
import { formatEngineShard } from "../index.js";
import { hasMajority, isEligibleToConfirm } from "../lease.js";
import type { OwnershipChange } from "../ownershipRecords.js";
import { createOwnershipModel, createOwnershipState, type OwnershipState } from "../ownershipState.js";
import { chooseWitnesses } from "../witnesses.js";
import { createOwnershipWorld, type OwnershipWorld } from "./ownershipWorld.js";

const model = createOwnershipModel("ownership-r");
const wait = 100;

function applyAll(state: OwnershipState, changes: readonly Record<string, unknown>[]): OwnershipState {
    for (const change of changes) {
        const offset = state.appliedOffset + 1;
        const whole = { basedOn: offset - 1, ...change } as unknown as OwnershipChange;
        model.applyChange(state, { offset, appendedAt: 0 }, whole);
    }
    return state;
}

const join = (instance: string): Record<string, unknown> => ({
    kind: "join",
    instance,
    failureDomain: "d",
    after: -1,
});
const claim = (instance: string, shard: string, version: number): Record<string, unknown> => ({
    kind: "claim",
    instance,
    shards: [{ shard, version }],
});

describe("ownership rules", () => {
    it("give a shard to the writer of the first claim, and ignore a duplicate or outdated claim", () => {
        const state = applyAll(createOwnershipState(), [
            join("a"),
            join("b"),
            claim("a", "s", -1),
            claim("b", "s", -1),
        ]);
        expect(state.shards.get("s")).to.deep.equal({ owner: "a", version: 2, guard: -1 });
        applyAll(state, [
            { kind: "release", instance: "a", shards: [{ shard: "s", version: 2 }] },
            claim("a", "s", -1),
        ]);
        expect(state.shards.get("s")).to.deep.equal({ owner: undefined, version: 4, guard: -1 });
    });

    it("let the next owner act at once after a leave, but only under a guard after a removal", () => {
        const state = applyAll(createOwnershipState(), [
            join("a"),
            join("b"),
            join("c"),
            claim("a", "s", -1),
            claim("b", "t", -1),
            { kind: "leave", instance: "a", joinedAt: 0 },
            { kind: "remove", members: [{ instance: "b", joinedAt: 1 }] },
        ]);
        expect([state.shards.get("s")?.guard, state.shards.get("t")?.guard]).to.deep.equal([-1, 6]);
        expect(state.epoch).to.deep.equal({ number: 6, guard: 6 });
    });

    it("ignore a duplicate removal, join or leave record after the member has joined again", () => {
        const state = applyAll(createOwnershipState(), [
            join("a"),
            { kind: "remove", members: [{ instance: "a", joinedAt: 0 }] },
            { ...join("a"), after: 1 },
        ]);
        applyAll(state, [
            { kind: "remove", members: [{ instance: "a", joinedAt: 0 }] },
            { kind: "leave", instance: "a", joinedAt: 0 },
            join("a"),
        ]);
        expect(state.members.get("a")?.joinedAt).to.equal(2);
    });

    it("compute the same state for a reader that starts from a snapshot", () => {
        const changes = [join("a"), join("b"), claim("a", "s", -1), claim("b", "t", -1)];
        const state = applyAll(createOwnershipState(), changes);
        const restored = model.restoreState(model.listParts(state), state.appliedOffset);
        expect(model.listParts(restored)).to.deep.equal(model.listParts(state));
        expect([restored.shards, restored.members, restored.witnesses]).to.deep.equal([
            state.shards,
            state.members,
            state.witnesses,
        ]);
    });
});

describe("epochs in effect", () => {
    const apply = (state: EpochEffectState, now: number, event: EpochEffectEvent): EpochEffectState =>
        advanceEpochEffect(state, event, now, wait);
    const transition = { offset: 5, witnesses: ["a", "b", "c"] };

    it("take effect one lease after a majority of the ended epoch's witnesses has read them", () => {
        let state = apply(createEpochEffectState(4), 10, { kind: "read", transition, self: "a" });
        expect(readEffectiveAt(state, 5)).to.equal(Infinity);
        state = apply(state, 20, { kind: "answered", witness: "b", epoch: 4, effective: -1 });
        expect(readEffectiveAt(state, 5)).to.equal(Infinity);
        state = apply(state, 30, { kind: "answered", witness: "b", epoch: 5, effective: -1 });
        expect(readEffectiveAt(state, 5)).to.equal(130);
    });

    it("count a witness that has left or terminated, and take effect when another instance reports so", () => {
        const read = apply(createEpochEffectState(4), 10, { kind: "read", transition, self: "x" });
        const left = apply(read, 20, { kind: "read", transition: { ...transition, offset: 6, left: "a" }, self: "x" });
        const gone = apply(left, 40, { kind: "gone", instance: "c" });
        expect([readEffectiveAt(gone, 5), readEffectiveAt(gone, 6)]).to.deep.equal([140, 140]);
        const reported = apply(read, 50, { kind: "answered", witness: "b", epoch: 5, effective: 5 });
        expect(readEffectiveAt(reported, 5)).to.equal(-Infinity);
    });

    it("do not take effect before an earlier epoch", () => {
        const read = apply(createEpochEffectState(4), 10, { kind: "read", transition, self: "a" });
        const next = { offset: 6, witnesses: ["a"] };
        const both = apply(read, 20, { kind: "read", transition: next, self: "a" });
        expect(readEffectiveAt(both, 6)).to.equal(Infinity);
    });
});

describe("lease renewed by witnesses", () => {
    const witnesses = ["a", "b", "c"];
    const createAnswer = (witness: string, epoch = 5, mayConfirm = true) => ({ witness, epoch, mayConfirm });

    it("needs a majority that has read no later epoch", () => {
        expect(hasMajority(witnesses, 5, [createAnswer("a"), createAnswer("b", 3)])).to.equal(true);
        expect(hasMajority(witnesses, 5, [createAnswer("a"), createAnswer("b", 6)])).to.equal(false);
        expect(hasMajority(witnesses, 5, [createAnswer("a"), createAnswer("a"), createAnswer("x")])).to.equal(false);
        expect(hasMajority(witnesses, 5, [createAnswer("a"), createAnswer("b", 5, false)])).to.equal(false);
        expect(hasMajority([], 5, [])).to.equal(false);
    });

    it("is not confirmed by a witness that is leaving or that the instance list has omitted lately", () => {
        expect(isEligibleToConfirm({ leaving: false, selfListedAsOf: 1_000 }, 15_999)).to.equal(true);
        expect(isEligibleToConfirm({ leaving: false, selfListedAsOf: 1_000 }, 16_000)).to.equal(false);
        expect(isEligibleToConfirm({ leaving: false, selfListedAsOf: undefined }, 0)).to.equal(false);
        expect(isEligibleToConfirm({ leaving: true, selfListedAsOf: 1_000 }, 1_001)).to.equal(false);
    });

    it("depends on witnesses that are spread over the failure domains", () => {
        const members = Array.from({ length: 30 }, (unused, index) => ({
            instance: `i${index}`,
            failureDomain: `d${index % 3}`,
        }));
        const chosen = chooseWitnesses(members).map(id =>
            members.find(member => member.instance === id)!.failureDomain
        );
        const counts = ["d0", "d1", "d2"].map(domain => chosen.filter(other => other === domain).length);
        expect(counts.sort()).to.deep.equal([2, 2, 3]);
        expect(new Set(chosen.slice(0, 3)).size).to.equal(3);
    });
});

describe("failure detection", () => {
    it("assigns three watchers to each member, and the same members to each watcher", () => {
        const members = Array.from({ length: 9 }, (unused, index) => `i${index}`);
        const ring = createWatchRing(members);
        for (const member of members) {
            const watchers = ring.listWatchers(member);
            expect(watchers).to.have.length(3);
            const ranks = watchers.map(watcher =>
                ring.listWatched(watcher).find(assignment => assignment.instance === member)?.rank
            );
            expect(ranks).to.deep.equal([0, 1, 2]);
        }
        expect(createWatchRing(["a"]).listWatchers("a")).to.deep.equal([]);
    });

    it("removes a silent member only if it is unlisted or at least half of the heartbeats arrive", () => {
        const watched = ["a", "b", "c"].map(instance => ({ instance, rank: 0, lastHeartbeatAt: 0, isListed: true }));
        expect(decideRemovals(watched, 20_000)).to.deep.equal([]);
        const mostlyHeard = watched.map(member => ({
            ...member,
            lastHeartbeatAt: member.instance === "a" ? 0 : 19_000,
        }));
        expect(decideRemovals(mostlyHeard, 20_000)).to.deep.equal(["a"]);
        const unlisted = watched.map(member => ({ ...member, isListed: member.instance !== "a" }));
        expect(decideRemovals(unlisted, 20_000)).to.deep.equal(["a"]);
    });
});

describe("ownership of a running fleet", () => {
    const engines = ["e1", "e2", "e3", "e4"];
    const hosts = ["one", "two", "three", "four", "five"];
    const createWorld = (used = hosts): OwnershipWorld =>
        createOwnershipWorld({ seed: 3, hosts: used, engines, controlInterval: 250 });
    const listHolders = (world: OwnershipWorld): readonly (string | undefined)[] =>
        engines.map(engine => world.findHolders(engine)[0]?.host);
    const runFor = (world: OwnershipWorld, duration: number): Promise<void> =>
        world.realHistory.runAsync(world.realHistory.now() + duration);

    it("keeps all owners during an outage of the log, because witnesses renew the leases", async () => {
        const world = createWorld();
        await runFor(world, 30_000);
        const before = listHolders(world);
        expect(before).to.not.include(undefined);
        world.log.stop(120_000);
        for (let second = 0; second < 120; second++) {
            await runFor(world, 1_000);
            expect(listHolders(world), `${second} s into the outage`).to.deep.equal(before);
        }
        const status = world.instances.get("one")!.task.readStatus(world.realHistory.now());
        expect([status.leaseSource, status.stream.logState]).to.deep.equal(["witnesses", "failing"]);
    });

    it("also keeps the owners that aren't witnesses during an outage of the log", async () => {
        const world = createWorld(Array.from({ length: 16 }, (unused, index) => `place-${index}`));
        await runFor(world, 40_000);
        const before = listHolders(world);
        expect(before).to.not.include(undefined);
        world.log.stop(60_000);
        for (let second = 0; second < 60; second++) {
            await runFor(world, 1_000);
            expect(listHolders(world), `${second} s into the outage`).to.deep.equal(before);
        }
        const sources = [...world.instances.values()].map(({ task }) => task.readStatus(world.realHistory.now()));
        expect(sources.filter(status => status.leaseSource === "witnesses" && status.leaseLeft > 0)).to.have.length(16);
    });

    it("moves a shard from an instance that can reach neither the log nor the witnesses", async () => {
        const world = createWorld();
        await runFor(world, 30_000);
        const host = listHolders(world)[0]!;
        const { node } = world.instances.get(host)!;
        const others = [...world.instances.values()].map(instance => instance.node).filter(other => other !== node);
        world.log.cutNode(node, 60_000);
        world.realHistory.cut([node], others, 60_000);
        await runFor(world, 8_000);
        expect(listHolders(world)[0]).to.equal(undefined);
        await runFor(world, 30_000);
        expect(listHolders(world)[0]).to.be.a("string").and.not.equal(host);
    });

    it("does not let a new owner act before a majority of the witnesses has read the new epoch", async () => {
        const world = createWorld();
        await runFor(world, 30_000);
        const host = listHolders(world)[0]!;
        const reader = hosts.find(other => other !== host)!;
        const rest = [...world.instances.values()].filter(running => running.host !== reader);
        const { node } = world.instances.get(reader)!;
        rest.forEach(running => world.log.cutNode(running.node, 30_000));
        world.realHistory.cut([node], rest.map(running => running.node), 30_000);
        world.suspect(host);
        for (let second = 0; second < 25; second++) {
            await runFor(world, 1_000);
            expect(listHolders(world)[0], `${second} s after`).to.equal(host);
        }
        await runFor(world, 45_000);
        expect(listHolders(world)).to.not.include(undefined);
    });

    it("does not treat witnesses as terminated that the instance list omits for a short time", async () => {
        const world = createWorld();
        await runFor(world, 30_000);
        const host = listHolders(world)[0]!;
        const reader = world.instances.get(hosts.find(other => other !== host)!)!;
        const rest = [...world.instances.values()].filter(running => running !== reader);
        rest.forEach(running => world.log.cutNode(running.node, 12_000));
        world.realHistory.cut([reader.node], rest.map(running => running.node), 12_000);
        world.suspect(host);
        world.list.update(listing => ({
            ...listing,
            instances: listing.instances.filter(entry => entry.id === reader.node),
        }));
        for (let second = 0; second < 11; second++) {
            await runFor(world, 1_000);
            expect(listHolders(world)[0], `${second} s after`).to.equal(host);
        }
    });

    it("stops acting as owner of a shard before the log holds the record that releases it", async () => {
        const world = createWorld();
        await runFor(world, 30_000);
        const holder = world.findHolders("e1")[0]!;
        const countRecords = (): number => world.log.listRecords(model.stream).length;
        const before = countRecords();
        holder.task.release(formatEngineShard("e1"));
        while (countRecords() === before) {
            await runFor(world, 1);
        }
        expect(world.findHolders("e1")).to.deep.equal([]);
        await runFor(world, 5_000);
        expect(world.findHolders("e1")).to.have.length(1);
    });

    it("reassigns the shards of a leaving instance and shows it as leaving within 3 s", async () => {
        const world = createWorld();
        await runFor(world, 30_000);
        const host = listHolders(world)[0]!;
        const leaving = world.instances.get(host)!;
        startDetached(leaving.task.leave());
        await runFor(world, 2_500);
        expect(listHolders(world)).to.not.include(undefined).and.not.include(host);
        for (const { task } of world.instances.values()) {
            const entry = task.membership.read().instances.find(instance => instance.id === leaving.node);
            expect(entry?.state ?? "leaving").to.equal("leaving");
        }
    });

    it("shows a leaving backend server within 3 s of its entry in the list", async () => {
        const world = createWorld();
        await runFor(world, 10_000);
        world.list.update(listing => ({
            ...listing,
            backendServers: listing.backendServers.map(server =>
                server.id === "e2" ? { ...server, state: "leaving" } : server
            ),
        }));
        await runFor(world, 3_000);
        for (const { task } of world.instances.values()) {
            const server = task.membership.read().backendServers.find(entry => entry.id === "e2");
            expect(server?.state).to.equal("leaving");
        }
    });

    it("reassigns all shards after most instances crashed at the same time", async () => {
        const world = createWorld();
        await runFor(world, 30_000);
        ["one", "two", "three", "four"].forEach(host => world.restart(host, 1_000));
        await runFor(world, 45_000);
        expect(listHolders(world)).to.not.include(undefined);
    });

    it("gives a shard that all instances claim to one of them, until they release it", async () => {
        const world = createWorld();
        await runFor(world, 20_000);
        const tasks = [...world.instances.values()].map(instance => instance.task);
        tasks.forEach(task => task.claim("budget"));
        await runFor(world, 3_000);
        const countHolders = (): number =>
            tasks.filter(task => task.ownership.findLease("budget", world.realHistory.now())).length;
        expect(countHolders()).to.equal(1);
        expect(formatEngineShard("e1")).to.equal("engine/e1");
        tasks.forEach(task => task.release("budget"));
        await runFor(world, 3_000);
        expect(countHolders()).to.equal(0);
    });
});
