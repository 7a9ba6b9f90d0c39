import { expect } from "chai";
import fc from "fast-check";
import {
    type CallerKind,
    type CallerRequest,
    createQuotaCallers,
    findSmallestWindow,
    sumCallerUnits,
} from "../../bench/limits/quotaCallers.js";
import type { Milliseconds } from "../../shared/index.js";
import { createAccountShards } from "../quotaClient.js";
import type { ServingAccount } from "../types.js";
import { createQuotaFleet, findLargestWindow, type QuotaFleet } from "./quotaFleet.js";

const window = 8_000;
const bounds = { window, excessRatio: 0.1, excessUnits: 17_000 };
const settleMilliseconds = 12_000;
const surgeMilliseconds = 16_000;
const peak = settleMilliseconds + 5_000;
const end = settleMilliseconds + surgeMilliseconds;
/** Time from a kill until its process has started again, and until clients are sent there. */
const restartMilliseconds = 700;
const usualRatio = 0.6;
const requiredShare = 0.97;

interface Load {
    readonly seed: number;
    readonly size?: number;
    readonly accounts?: number;
    readonly rate?: number;
    /** Rate of the account in the surge, against its usual one of 0.6 of its quota; a single kind surges. */
    readonly multiple: number;
    readonly surging?: "urgent" | "patient";
    readonly isOrdered?: boolean;
    readonly applyFault?: (fleet: QuotaFleet) => void;
}

function createAccount(name: string, rate: number): ServingAccount {
    const quota = { unit: "tokens", ratePerSecond: rate, burst: rate, defaultTokens: 1 } as const;
    return { name, keys: [], priority: undefined, quota };
}

function createKinds({ rate = 20_000, multiple, surging = "patient" }: Load): readonly CallerKind[] {
    const usual = rate * usualRatio / 3;
    const create = (name: string, priority: number, objective: Milliseconds, deadline: Milliseconds): CallerKind => ({
        name,
        priority,
        objective,
        deadline,
        units: rate * 0.015,
        readRate: now => name === surging && now >= settleMilliseconds ? usual * (3 * multiple - 2) : usual,
    });
    return [
        create("urgent", 0, 500, 5_000),
        create("middle", 1, 1_000, 8_000),
        create("patient", 2, 2_000, 20_000),
    ];
}

interface Played {
    readonly fleet: QuotaFleet;
    readonly kinds: readonly CallerKind[];
    readonly accounts: readonly ServingAccount[];
    readonly requests: readonly CallerRequest[];
}

async function runRush(load: Load): Promise<Played> {
    const { seed, size = 20, rate = 20_000, accounts: count = 1, isOrdered = true, applyFault } = load;
    const accounts = Array.from({ length: count }, (unused, index) => createAccount(`account-${index}`, rate));
    const fleet = createQuotaFleet({ seed, size, accounts, bounds });
    fleet.names.forEach(name => {
        fleet.start(name);
        fleet.rotation.add(name);
    });
    const { history, random } = fleet;
    const callers = createQuotaCallers({
        history,
        random,
        take: (account, units, urgency) => fleet.take(account, units, isOrdered ? urgency : undefined),
    });
    const kinds = createKinds(load);
    accounts.forEach(account => callers.send(account, kinds, end));
    history.schedule(peak, () => applyFault?.(fleet));
    await history.runAsync(end);
    return { fleet, kinds, accounts, requests: callers.requests };
}

// parts of what each kind asks for, most urgent first; the first seconds use up the burst
function measureOnTime({ kinds, requests }: Played, account: string): readonly number[] {
    return kinds.map(kind => {
        const span = { from: settleMilliseconds + 2_000, until: end - 2_000 };
        const { asked, onTime } = sumCallerUnits(requests, { account, kind, ...span });
        return onTime / asked;
    });
}

// part of the quota that is given in the window of the surge in which it is least
function measureLeastGiven({ requests }: Played, { name, quota }: ServingAccount): number {
    const own = requests.filter(request => request.account === name);
    return findSmallestWindow(own, window, [settleMilliseconds, end]) / (quota!.ratePerSecond * window / 1_000);
}

function expectQuotaKept({ fleet, accounts }: Played): void {
    for (const { name, quota } of accounts) {
        const limit = (quota!.ratePerSecond * window / 1_000 + quota!.burst) * (1 + bounds.excessRatio);
        expect(findLargestWindow(fleet.admitted.get(name)!, window)).to.be.at.most(limit + bounds.excessUnits);
    }
}

function endHolder(fleet: QuotaFleet, account: string, downtime: Milliseconds): void {
    const owner = fleet.store.findOwner(createAccountShards(4)(account));
    if (owner !== undefined && fleet.isRunning(owner)) {
        fleet.kill(owner);
        fleet.history.schedule(downtime, () => fleet.start(owner));
        fleet.history.schedule(downtime + restartMilliseconds, () => fleet.rotation.add(owner));
    }
}

describe("quota of an account whose least urgent kind surges to six times its usual rate", function() {
    this.timeout(120_000);

    // guards against urgent requests that are refused because another kind of the same account surges
    for (const accounts of [1, 2]) {
        it(`goes to the urgent kinds first, ${accounts} accounts at once`, async () => {
            const before = await runRush({ seed: 1, accounts, multiple: 6, isOrdered: false });
            const played = await runRush({ seed: 1, accounts, multiple: 6 });
            for (const { name } of played.accounts) {
                expect(measureOnTime(before, name)[0]).to.be.below(0.5);
                const [urgent, middle, patient] = measureOnTime(played, name);
                expect(urgent).to.be.above(0.98);
                expect(middle).to.be.above(0.98);
                // 12,000 tokens/s are left for 64,000
                expect(patient).to.be.above(0.8 * 12 / 64);
            }
            played.accounts.forEach(account =>
                expect(measureLeastGiven(played, account)).to.be.at.least(requiredShare)
            );
            expectQuotaKept(played);
        });
    }

    // guards against kinds that get nothing while a more urgent one asks for more than the quota
    it("leaves each kind a quarter of its share by demand while the most urgent one surges", async () => {
        const load: Load = { seed: 2, multiple: 6, surging: "urgent" };
        const played = await runRush(load);
        const shareByDemand = 1 / (6 * usualRatio);
        const [urgent, middle, patient] = played.kinds.map(kind => {
            const span = { from: settleMilliseconds + 2_000, until: end - 2_000 };
            const { asked, given } = sumCallerUnits(played.requests, { account: "account-0", kind, ...span });
            return given / asked;
        });
        expect(middle).to.be.at.least(0.25 * shareByDemand);
        expect(patient).to.be.at.least(0.25 * shareByDemand);
        expect(urgent).to.be.above(0.9 * shareByDemand);
        expect(measureLeastGiven(played, played.accounts[0]!)).to.be.at.least(requiredShare);
    });

    // guards against tokens that nobody gets between two holders
    for (const downtime of [700, 2_500, 60_000]) {
        it(`is given through the loss of its holder at the peak, back after ${downtime} ms`, async () => {
            for (const seed of [1, 2, 3]) {
                const applyFault = (fleet: QuotaFleet): void => endHolder(fleet, "account-0", downtime);
                const played = await runRush({ seed, multiple: 6, applyFault });
                expect(measureLeastGiven(played, played.accounts[0]!), `seed ${seed}`).to.be.at.least(requiredShare);
                const [urgent] = measureOnTime(played, "account-0");
                expect(urgent, `seed ${seed}`).to.be.above(0.85);
                expectQuotaKept(played);
            }
        });
    }

    it("is given through a planned stop of its holder at the peak", async () => {
        const played = await runRush({
            seed: 1,
            multiple: 6,
            applyFault: fleet => fleet.stop(fleet.store.findOwner(createAccountShards(4)("account-0"))!),
        });
        expect(measureLeastGiven(played, played.accounts[0]!)).to.be.at.least(requiredShare);
        expect(measureOnTime(played, "account-0")[0]).to.be.above(0.9);
        expectQuotaKept(played);
    });

    it("is given while the store says nothing to any instance throughout the surge", async () => {
        const load: Load = {
            seed: 1,
            accounts: 2,
            multiple: 6,
            applyFault: fleet => fleet.names.forEach(name => fleet.store.cut.add(name)),
        };
        const played = await runRush(load);
        for (const account of played.accounts) {
            expect(measureLeastGiven(played, account)).to.be.at.least(requiredShare);
            expect(measureOnTime(played, account.name)[0]).to.be.above(0.98);
        }
        expectQuotaKept(played);
    });

    // guards against units that are made up for twice: rates, sizes and holders lost one after the other
    it("is kept as holders are killed again and again", async () => {
        const scenario = fc.record({
            seed: fc.integer({ min: 1, max: 1_000_000 }),
            size: fc.constantFrom(3, 8, 40),
            rate: fc.constantFrom(4_200, 20_000, 100_000),
            downtime: fc.constantFrom(100, 700, 3_000),
            pause: fc.integer({ min: 500, max: 4_000 }),
        });
        await fc.assert(
            fc.asyncProperty(scenario, async ({ downtime, pause, ...load }) => {
                const applyFault = (fleet: QuotaFleet): void =>
                    [0, 1, 2].forEach(turn =>
                        fleet.history.schedule(turn * pause, () => endHolder(fleet, "account-0", downtime))
                    );
                expectQuotaKept(await runRush({ ...load, multiple: 6, applyFault }));
            }),
            { seed: 5, numRuns: Number(process.env.QUOTA_RUNS ?? 10), endOnFailure: true },
        );
    });
});

describe("quota of an account that stays within it", function() {
    this.timeout(120_000);

    // guards against 429 within the quota in the first seconds after a start
    for (const size of [3, 20, 60]) {
        it(`refuses nothing from the start of ${size} instances on`, async () => {
            const { fleet } = await runRush({ seed: size, size, multiple: 1 });
            expect(fleet.refused).to.deep.equal([]);
        });
    }

    it("gives the same with and without the order", async () => {
        const [ordered, before] = await Promise.all([true, false].map(async isOrdered => {
            const { fleet } = await runRush({ seed: 9, multiple: 1.4, isOrdered });
            return [...fleet.admitted.values()];
        }));
        expect(ordered).to.deep.equal(before);
    });
});
