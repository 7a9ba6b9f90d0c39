import { expect } from "chai";
import { describeGroupPlan, drawGroupPlan, shrinkGroupPlan } from "./groupPlans.js";
import { type GroupInvariant, type GroupPlan, runGroupPlan } from "./restoredGroupModel.js";

const seedCount = Number(process.env["RESTORED_GROUP_SEEDS"] ?? 160);
const firstSeed = Number(process.env["RESTORED_GROUP_FIRST_SEED"] ?? 1);

const undisturbedCount = Math.ceil(seedCount / 2);

interface FailedPlan {
    readonly plan: GroupPlan;
    readonly invariants: ReadonlySet<GroupInvariant>;
}

async function findFailedPlans(drawPlan: (seed: number) => GroupPlan, count: number): Promise<readonly FailedPlan[]> {
    const failed: FailedPlan[] = [];
    for (let seed = firstSeed; seed < firstSeed + count; seed++) {
        const plan = drawPlan(seed);
        const run = await runGroupPlan(plan);
        expect(run.acceptedOrders, `orders of seed ${seed}`).to.be.greaterThan(0);
        if (run.violations.length > 0) {
            failed.push({ plan, invariants: new Set(run.violations.map(({ invariant }) => invariant)) });
        }
    }
    return failed;
}

async function expectKept(failed: readonly FailedPlan[], invariant: GroupInvariant): Promise<void> {
    const plans = failed.filter(({ invariants }) => invariants.has(invariant)).map(({ plan }) => plan);
    const [first] = plans;
    if (first) {
        const seeds = plans.map(({ seed }) => seed).join(", ");
        const description = await describeGroupPlan(await shrinkGroupPlan(first, invariant), invariant);
        expect.fail(
            `${invariant} is violated by ${plans.length} seeds from ${firstSeed} on: ${seeds}\n    ${description}`,
        );
    }
}

describe("holders of shards, searched over orders of events,", () => {
    let failed: readonly FailedPlan[] = [];

    before(async () => {
        failed = await findFailedPlans(seed => drawGroupPlan(seed, 1 + seed % 3), seedCount);
    });

    // the generation goes back with the store, and rises to the same number with another holder
    it("use a fencing number once, also where the store comes back older", async () => {
        await expectKept(failed, "oneHolderPerNumber");
    });

    // engines that have seen a number of before the restore refuse the lower ones of the next holders for good
    it("order at every engine once all is calm after the store came back older", async () => {
        await expectKept(failed, "ordersOnceCalm");
    });

    // a copy names former holders, who would order again beside the present ones
    it("take no turns within the order lease without a disturbance, after the store came back older", async () => {
        await expectKept(failed, "noTurns");
    });
});

describe("holders of shards, searched over orders of events without a restore,", () => {
    let failed: readonly FailedPlan[] = [];

    before(async () => {
        failed = await findFailedPlans(seed => drawGroupPlan(seed, 0), undisturbedCount);
    });

    // a model that shares numbers by itself would blame restores for it
    it("use a fencing number once", async () => {
        await expectKept(failed, "oneHolderPerNumber");
    });

    // a shard whose holder is refused for good, or that nobody holds, gets no adapters
    it("order at every engine once all is calm", async () => {
        await expectKept(failed, "ordersOnceCalm");
    });

    // a holder that never ordered told the next one of no last order, though the one before it had just ordered
    it("take no turns within the order lease without a disturbance", async () => {
        await expectKept(failed, "noTurns");
    });
});
