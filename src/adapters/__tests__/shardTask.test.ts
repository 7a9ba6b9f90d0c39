import { expect } from "chai";
import { createStoreEras, maximumStoreEra } from "../../serving/storeEras.js";
import { wrapValue } from "../../shared/index.js";
import { computeFencingNumber, maximumGeneration } from "../fencingNumbers.js";
import { createShardTask, type ShardTask, type ShardTaskOptions } from "../shardTask.js";
import type { ShardMembership } from "../types.js";

interface TestMembership {
    readonly task: ShardTask;
    readonly calls: string[];
    readonly joinedAt: number[];
    readonly lost: number[];
    readonly membership: { isMember: boolean; };
}

function createOptions(): Omit<ShardTaskOptions, "group"> {
    let now = 20_000;
    return {
        member: "front-1",
        ttl: 1_500,
        orderLease: 3_000,
        isFenced: true,
        clock: {
            now: () => now,
            sleep: duration => {
                now += duration;
                return new Promise(resolve => setImmediate(resolve));
            },
        },
        startedAt: 0,
        findHolderChangedAt: () => undefined,
        isMember: () => true,
        onShardGained: () => undefined,
        onShardLost: () => undefined,
        onMembershipChange: () => undefined,
    };
}

// a member to which the group assigns two shards
function createTask(changedAt?: number, isFenced = true): TestMembership {
    const calls: string[] = [];
    const lost: number[] = [];
    const joinedAt: number[] = [];
    const membership = { isMember: true };
    const options = createOptions();
    const task = createShardTask({
        ...options,
        group: {
            join: () => {
                calls.push("join");
                joinedAt.push(options.clock.now());
                return Promise.resolve(wrapValue({ generation: 3, shards: [4, 5] }));
            },
            leave: () => {
                calls.push("leave");
                return Promise.resolve(wrapValue(undefined));
            },
            listOwners: () => Promise.resolve(wrapValue([])),
        },
        isFenced,
        findHolderChangedAt: () => changedAt,
        isMember: () => membership.isMember,
        onShardLost: shard => lost.push(shard),
    });
    return { task, calls, joinedAt, lost, membership };
}

const waitTurns = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 10));

describe("membership of the shard group", () => {
    it("releases the shards once when the instance drains, and doesn't join again", async () => {
        const { task, calls, lost } = createTask();
        const stopping = new AbortController();
        const running = task.run(stopping.signal);
        await waitTurns();
        expect(task.list()).to.deep.equal([4, 5]);
        await task.leave();
        await waitTurns();
        expect(calls.slice(calls.indexOf("leave"))).to.deep.equal(["leave"]);
        expect(lost).to.deep.equal([4, 5]);
        expect(task.list()).to.deep.equal([]);
        stopping.abort();
        await running;
    });

    it("takes over a shard at once, except within the order lease after another change of its holder", async () => {
        const stopping = new AbortController();
        const quiet = createTask(10_000);
        const changing = createTask(19_000);
        const unfenced = createTask(undefined, false);
        const running = [quiet, changing, unfenced].map(({ task }) => task.run(stopping.signal));
        await waitTurns();
        expect(quiet.task.find(4)!.activeAt).to.equal(20_000);
        expect(changing.task.find(4)!.activeAt).to.equal(22_000);
        expect(unfenced.task.find(4)!.activeAt).to.equal(23_000);
        stopping.abort();
        await Promise.all(running);
    });

    // when all instances were killed, the first that restarts is assigned all shards and gives most of them up again,
    // one after the other, as the others join
    it("joins often until the assignment after a start has settled, then three times per ttl", async () => {
        const { task, joinedAt } = createTask();
        const stopping = new AbortController();
        const running = task.run(stopping.signal);
        while (joinedAt.length < 12) {
            await waitTurns();
        }
        stopping.abort();
        await running;
        expect(joinedAt[6]! - joinedAt[0]!).to.be.at.most(500);
        expect(joinedAt[11]! - joinedAt[10]!).to.equal(500);
    });

    // guards against orders of two holders with one fencing number, after the store has given a generation out again (ONE)
    it("gives a generation of a later era a higher fencing number than any of before", async () => {
        const numbers = [{ generation: 7 }, { era: 1, generation: 0 }, { era: 1, generation: 7 }, {
            era: 2,
            generation: 3,
        }]
            .map(computeFencingNumber);
        expect(numbers).to.deep.equal([...numbers].sort((left, right) => left - right));
        expect(new Set(numbers).size).to.equal(4);
        const highest = computeFencingNumber({ era: maximumStoreEra, generation: maximumGeneration });
        expect(Number.isSafeInteger(highest)).to.equal(true);
    });

    // guards against a shard that is held by an answer of before the store came back, when that comes late
    it("joins at once after a rise of the era, names no generation of before, and leaves out an answer of before", async () => {
        const eras = createStoreEras();
        const joins: { readonly generation: number; readonly finish: (answer: ShardMembership) => void; }[] = [];
        const task = createShardTask({
            ...createOptions(),
            eras,
            group: {
                join: (member, generation) =>
                    new Promise(resolve => joins.push({ generation, finish: answer => resolve(wrapValue(answer)) })),
                leave: () => Promise.resolve(wrapValue(undefined)),
                listOwners: () => Promise.resolve(wrapValue([])),
            },
        });
        const stopping = new AbortController();
        const running = task.run(stopping.signal);
        joins[0]!.finish({ era: 0, generation: 9, shards: [4, 5] });
        await waitTurns();
        expect(task.find(4)!.fencingNumber).to.equal(9);
        expect(joins[1]!.generation).to.equal(9);
        eras.observe(1);
        joins[1]!.finish({ era: 0, generation: 10, shards: [4, 5, 6] });
        await waitTurns();
        expect(task.list()).to.deep.equal([4, 5]);
        expect(task.isConfirmed()).to.equal(false);
        expect(joins[2]!.generation).to.equal(0);
        joins[2]!.finish({ era: 1, generation: 8, shards: [5] });
        await waitTurns();
        expect(task.list()).to.deep.equal([5]);
        expect(task.find(5)!.fencingNumber).to.equal(computeFencingNumber({ era: 1, generation: 8 }));
        expect(task.readEraJoinedAt()).to.be.greaterThan(20_000);
        expect(joins[3]!.generation).to.equal(8);
        stopping.abort();
        joins[3]!.finish({ era: 1, generation: 8, shards: [5] });
        await running;
    });

    // guards against a shard that is held for good after its loss, where the store names no era and comes back older
    it("gives up what the store no longer lists, also in a lower generation where the store names no era", async () => {
        const answers: readonly ShardMembership[] = [
            { era: 0, generation: 9, shards: [4, 5] },
            { era: 0, generation: 7, shards: [5] },
        ];
        let joins = 0;
        const task = createShardTask({
            ...createOptions(),
            eras: createStoreEras(),
            group: {
                join: () => Promise.resolve(wrapValue(answers[Math.min(joins++, 1)]!)),
                leave: () => Promise.resolve(wrapValue(undefined)),
                listOwners: () => Promise.resolve(wrapValue([])),
            },
        });
        const stopping = new AbortController();
        const running = task.run(stopping.signal);
        while (joins < 4) {
            await waitTurns();
        }
        expect(task.list()).to.deep.equal([5]);
        stopping.abort();
        await running;
    });
});
