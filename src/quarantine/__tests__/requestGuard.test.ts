import { expect } from "chai";
import type { KeyedRecord } from "../../serving/types.js";
import { createSystemClock, wrapError, wrapValue } from "../../shared/index.js";
import { encodeQuarantine } from "../quarantineList.js";
import { createRequestGuard, type RequestGuard } from "../requestGuard.js";
import { formatScopeKey, type RequestScope } from "../types.js";

interface TestGuard {
    readonly guard: RequestGuard;
    readonly written: string[];
    readonly state: { isDecider: boolean; isStoreAway: boolean; delay: number; };
}

function createGuard(): TestGuard {
    const written: string[] = [];
    const state = { isDecider: true, isStoreAway: false, delay: 0 };
    const guard = createRequestGuard({
        self: "front-1",
        clock: createSystemClock(),
        network: {
            self: "front-1",
            send: () => undefined,
            request: async () => wrapError({ kind: "timeout" }),
            handle: () => undefined,
        },
        holders: {
            find: () => "front-1",
            list: () => [],
            listOthers: () => [],
            findChangedAt: () => undefined,
            findFormer: () => undefined,
            markReleased: () => undefined,
            markSilent: () => undefined,
            markResponsive: () => undefined,
            isSilent: () => false,
            refresh: async () => undefined,
            reload: async () => undefined,
        },
        isHeld: () => state.isDecider,
        append: async (topic, key) => {
            if (state.isStoreAway) {
                return wrapError({ kind: "unreachable", detail: "away" });
            }
            written.push(key);
            await new Promise(resolve => setTimeout(resolve, state.delay));
            return wrapValue(undefined);
        },
    });
    return { guard, written, state };
}

function createRecord(digest: string): KeyedRecord {
    const scope: RequestScope = { kind: "request", digest, account: "acme" };
    return { key: formatScopeKey(scope), value: encodeQuarantine({ ...scope, trials: 0, crashes: 3 }), offset: 0 };
}

async function runTick({ guard }: TestGuard): Promise<void> {
    guard.tick();
    await new Promise(resolve => setTimeout(resolve, 10));
}

describe("quarantines that the store has lost", () => {
    // guards against a request that ends servers again, as the store came back from a copy without its quarantine (BUDGET)
    it("are written again by the instance that decides, once the store takes them", async () => {
        const test = createGuard();
        const { guard, state, written } = test;
        const records = [createRecord("d1"), createRecord("d2")];
        guard.replaceAll(records);
        state.isDecider = false;
        guard.markLost(records);
        await runTick(test);
        expect(written).to.deep.equal([]);
        state.isDecider = true;
        state.isStoreAway = true;
        await runTick(test);
        state.isStoreAway = false;
        guard.applyRecord(records[1]!);
        await runTick(test);
        await runTick(test);
        expect(written).to.deep.equal([records[0]!.key]);
    });

    // guards against a slow store that gets each lost record anew with each tick of the deciding instance
    it("are written once, also while the store is slow", async () => {
        const test = createGuard();
        test.state.delay = 20;
        test.guard.markLost([createRecord("d1")]);
        test.guard.tick();
        test.guard.tick();
        test.guard.tick();
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(test.written.length).to.equal(1);
    });
});
