import { expect } from "chai";
import * as fc from "fast-check";
import { createSeededRandom, type Milliseconds, wrapError, wrapValue } from "../../shared/index.js";
import { createHistory, startDetached } from "../../testing/index.js";
import { createInstanceDirectory, type InstanceEntry } from "../instanceDirectory.js";
import { createRegistration } from "../registration.js";
import { createStoreEras } from "../storeEras.js";
import type { KeyedRecord } from "../types.js";

/** What the store does with one write; without an answer it may be done late. */
type WriteFate =
    | { readonly kind: "done"; }
    | { readonly kind: "refused"; }
    | { readonly kind: "unanswered"; readonly doneAfter: Milliseconds | undefined; };

/** One process of the name; the next one starts after it has ended. */
interface ProcessPlan {
    readonly runs: Milliseconds;
    readonly end: "stop" | "kill";
    readonly drains: Milliseconds;
    readonly isDownFor: Milliseconds;
    /** A process that starts elsewhere has another address. */
    readonly address: number;
    readonly readPause: Milliseconds;
    /** Whether it reads what has changed, or all that stands there, as through another instance. */
    readonly isReadingWhole: boolean;
}

interface Play {
    readonly fates: readonly WriteFate[];
    readonly processes: readonly ProcessPlan[];
    readonly last: ProcessPlan;
}

const callMilliseconds: Milliseconds = 1_000;
const latestMilliseconds: Milliseconds = 6_000;
/** Time in which an instance reads that its entry has gone, waits for its turn and writes it again, at most. */
const repairMilliseconds: Milliseconds = 6_000;
const calmMilliseconds: Milliseconds = 60_000;
const playCount = Number(process.env.LATE_ENTRY_RUNS ?? 400);

const fates: fc.Arbitrary<WriteFate> = fc.oneof(
    fc.constant<WriteFate>({ kind: "done" }),
    fc.constant<WriteFate>({ kind: "refused" }),
    fc.option(fc.integer({ min: 0, max: latestMilliseconds }), { nil: undefined })
        .map(doneAfter => ({ kind: "unanswered" as const, doneAfter })),
);
const plans: fc.Arbitrary<ProcessPlan> = fc.record({
    runs: fc.integer({ min: 0, max: 5_000 }),
    end: fc.constantFrom("stop" as const, "kill" as const),
    drains: fc.integer({ min: 0, max: 8_000 }),
    isDownFor: fc.integer({ min: 0, max: 1_000 }),
    address: fc.integer({ min: 1, max: 2 }),
    readPause: fc.integer({ min: 10, max: 600 }),
    isReadingWhole: fc.boolean(),
});
const plays: fc.Arbitrary<Play> = fc.record({
    fates: fc.array(fates, { maxLength: 12 }),
    processes: fc.array(plans, { maxLength: 4 }),
    last: plans,
});

const describeSelf = (address: number): InstanceEntry => ({
    id: "front-1",
    address: `10.0.0.${address}:7600`,
    failureDomain: "a",
    cores: 1,
});

// the store's list, of which the plays use one entry
function createStore(history: ReturnType<typeof createHistory>, drawn: readonly WriteFate[]) {
    const records: KeyedRecord[] = [];
    const counts = { writes: 0, lastUnusualAt: 0 };
    const apply = (key: string, value: Uint8Array | undefined): void => {
        records.push({ key, value, offset: records.length });
    };
    return {
        records,
        counts,
        append: async (topic: string, key: string, value: Uint8Array | undefined) => {
            const fate = drawn[counts.writes++] ?? { kind: "done" };
            switch (fate.kind) {
                case "done":
                    apply(key, value);
                    return wrapValue(undefined);
                case "refused":
                    counts.lastUnusualAt = Math.max(counts.lastUnusualAt, history.now());
                    return wrapError({ kind: "busy" as const, status: 503 });
                case "unanswered":
                    counts.lastUnusualAt = Math.max(counts.lastUnusualAt, history.now() + (fate.doneAfter ?? 0));
                    if (fate.doneAfter !== undefined) {
                        history.schedule(fate.doneAfter, () => apply(key, value));
                    }
                    await history.clock.sleep(callMilliseconds);
                    return wrapError({ kind: "unreachable" as const, detail: "no answer" });
            }
        },
    };
}

type TestStore = ReturnType<typeof createStore>;

function startProcess(
    history: ReturnType<typeof createHistory>,
    store: TestStore,
    plan: ProcessPlan,
    seed: number,
) {
    const { clock } = history;
    const self = describeSelf(plan.address);
    const directory = createInstanceDirectory(self);
    const state = { isStopping: false };
    const ended = new AbortController();
    const registration = createRegistration({
        clock,
        random: createSeededRandom(seed),
        // a process that has ended sends nothing more
        log: { append: (...call) => ended.signal.aborted ? new Promise(() => undefined) : store.append(...call) },
        eras: createStoreEras(),
        directory,
        self,
        isStopping: () => state.isStopping,
    });
    const readOn = async (): Promise<void> => {
        directory.replaceAll(store.records);
        for (let next = store.records.length; !ended.signal.aborted;) {
            await clock.sleep(plan.readPause, ended.signal);
            if (plan.isReadingWhole) {
                directory.replaceAll(store.records.slice(-1));
            }
            else {
                store.records.slice(next).forEach(directory.applyRecord);
            }
            next = store.records.length;
        }
    };
    startDetached(readOn());
    startDetached(registration.task.run(ended.signal));
    return {
        registration,
        stop: () => {
            state.isStopping = true;
            startDetached(registration.remove());
        },
        end: () => ended.abort(),
    };
}

// plays the processes one after the other, and returns the last one, which still runs
async function runProcesses({ fates: drawn, processes, last }: Play) {
    const history = createHistory({ seed: 1 });
    const store = createStore(history, drawn);
    for (const [index, plan] of processes.entries()) {
        const process = startProcess(history, store, plan, index);
        await history.runAsync(history.now() + plan.runs);
        if (plan.end === "stop") {
            process.stop();
            await history.runAsync(history.now() + plan.drains);
        }
        process.end();
        await history.runAsync(history.now() + plan.isDownFor);
    }
    const running = startProcess(history, store, last, processes.length);
    await history.runAsync(history.now() + last.runs);
    return { history, store, running };
}

describe("entry of an instance in a store that does writes late, over orders of starts, stops and kills", function() {
    this.timeout(600_000);

    // guards against an instance that nobody finds, as a late removal or entry of the process before it came last (QUOTA)
    it("stands soon after the last late write, and isn't written again in calm", () =>
        fc.assert(
            fc.asyncProperty(plays, async play => {
                const { history, store, running } = await runProcesses(play);
                // a write that is drawn late may itself be a repeat
                for (let until = -1; until !== store.counts.lastUnusualAt;) {
                    until = store.counts.lastUnusualAt;
                    await history.runAsync(Math.max(history.now(), until) + repairMilliseconds);
                }
                const { address, failureDomain, cores } = describeSelf(play.last.address);
                expect(JSON.parse(String(store.records.at(-1)?.value))).to.deep.equal({
                    address,
                    failureDomain,
                    cores,
                });
                expect(running.registration.measureMissing()).to.equal(0);
                const { writes } = store.counts;
                await history.runAsync(history.now() + calmMilliseconds);
                expect(store.counts.writes - writes, "writes in calm").to.equal(0);
                running.end();
            }),
            { seed: Number(process.env.LATE_ENTRY_SEED ?? 1), numRuns: playCount },
        ));

    // guards against two processes of one name that overwrite each other's entry for good
    it("is given up after a few repeats where another process holds the name", async () => {
        const history = createHistory({ seed: 1 });
        const store = createStore(history, []);
        const plan = { runs: 0, end: "kill", drains: 0, isDownFor: 0, readPause: 100, isReadingWhole: false } as const;
        const processes = [1, 2].map(address => startProcess(history, store, { ...plan, address }, address));
        await history.runAsync(calmMilliseconds);
        const { writes } = store.counts;
        await history.runAsync(calmMilliseconds * 10);
        expect(writes).to.be.at.most(2 * (1 + 4));
        expect(store.counts.writes - writes, "writes later").to.equal(0);
        processes.forEach(process => process.end());
    });

    // guards against an instance that is gone and stays in the list, as its removal was lost or its entry came late
    it("is gone when a stop has lasted longer than late writes", () =>
        fc.assert(
            fc.asyncProperty(plays, async play => {
                const { history, store, running } = await runProcesses(play);
                running.stop();
                for (let until = -1; until !== store.counts.lastUnusualAt;) {
                    until = store.counts.lastUnusualAt;
                    await history.runAsync(Math.max(history.now(), until) + repairMilliseconds);
                }
                running.end();
                expect(store.records.at(-1)?.value).to.equal(undefined);
            }),
            { seed: Number(process.env.LATE_ENTRY_SEED ?? 2), numRuns: playCount },
        ));
});
