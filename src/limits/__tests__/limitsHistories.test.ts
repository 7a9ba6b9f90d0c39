import { expect } from "chai";
import fc from "fast-check";
import { createLimitsWorld, type LimitsWorld, type LimitsWorldOptions } from "../../bench/limits/limitsWorld.js";
import { createOracle } from "../../bench/limits/oracle.js";
import { createSeededRandom, type Milliseconds } from "../../shared/index.js";
import {
    createFaultCommands,
    createHistoryCommand,
    type HistoryCommand,
    type SystemUnderTest,
} from "../../testing/index.js";
import { defaultLimitTimes, type ResourceId, type ResourceLimits } from "../index.js";

const historyCount = 1_000;
const longestFaultMilliseconds = 4_000;
const warmUpMilliseconds = 4_000;
const limits = new Map<ResourceId, ResourceLimits>([
    ["account/large", { kind: "settled", rate: 1_000, burst: 3_000 }],
    ["account/small", { kind: "settled", rate: 200, burst: 400 }],
    ["loads/rate", { kind: "consumed", rate: 5, burst: 4 }],
    ["loads/inFlight", { kind: "returned", rate: 0, burst: 8 }],
]);
const resources = [...limits.keys()];

interface TestedWorld extends SystemUnderTest {
    readonly world: LimitsWorld;
    readonly draw: (instance: string, resource: ResourceId, amount: number, wait: Milliseconds) => void;
    /**
     * Checks the resources whose units are spent against one ideal bucket each, from which the grants of all instances
     * are taken at their simulated times, and the in-flight slots against their limit.
     */
    readonly check: () => void;
}

interface Spending {
    readonly resource: ResourceId;
    readonly at: Milliseconds;
    tokens: number;
}

function computeMayReturn(resource: ResourceId, amount: number): number {
    switch (limits.get(resource)!.kind) {
        case "consumed":
            return 0;
        case "settled":
            return Math.floor(amount / 2);
        case "returned":
            return amount;
    }
}

// lost messages lose units and could hide units that a fault creates, so half of the histories lose none; the local
// floor is 0 in half of them, so that local buckets are spent completely
function chooseFaults(seed: number): Partial<LimitsWorldOptions> {
    const random = createSeededRandom(seed);
    return {
        maximumDelay: random.choose([2, 20, 400]),
        lossRate: random.choose([0, 0.03]),
        duplicateRate: random.choose([0.1, 0.3]),
        longestUseDelay: random.choose([0, 300]),
        times: { localFloorRatio: random.choose([0, 0.5]) },
    };
}

// counts in-flight loads independently of the limiter: a started load continues when its instance crashes or pauses
function createSlotCheck(): { readonly open: (now: Milliseconds) => void; readonly readPeak: () => number; } {
    let endTimes: Milliseconds[] = [];
    let peak = 0;
    return {
        open: now => {
            endTimes = [...endTimes.filter(end => end > now), now + defaultLimitTimes.longestLoadDuration];
            peak = Math.max(peak, endTimes.length);
        },
        readPeak: () => peak,
    };
}

function createTestedWorld(seed: number, instances: number, granted: Map<ResourceId, number>): TestedWorld {
    const slots = createSlotCheck();
    const spendings: Spending[] = [];
    const world = createLimitsWorld({
        seed,
        instances,
        limits,
        minimumDelay: 1,
        ...chooseFaults(seed),
        onGrant: (resource, amount, at) => {
            granted.set(resource, (granted.get(resource) ?? 0) + 1);
            spendings.push({ resource, at, tokens: amount });
            if (resource === "loads/inFlight") {
                slots.open(at);
            }
        },
    });
    const settle = (amount: number, release: (unspent: number) => void): void => {
        const spending = spendings.at(-1)!;
        const unspent = world.history.random.between(0, computeMayReturn(spending.resource, amount));
        // in-flight slots are not released early, because the check counts every load for the longest duration
        world.history.schedule(world.history.random.between(0, longestFaultMilliseconds), () => {
            if (limits.get(spending.resource)!.kind === "settled") {
                spending.tokens -= unspent;
                release(unspent);
            }
        });
    };
    const findInstance = (place: string): string => {
        const running = world.listInstances();
        return running[Number(place) % Math.max(1, running.length)] ?? "none";
    };
    return {
        world,
        draw: (instance, resource, amount, wait) =>
            world.draw(instance, { resource, amount, mayReturn: computeMayReturn(resource, amount), wait }, end => {
                if (end.kind === "granted") {
                    settle(amount, end.release);
                }
            }),
        check: () => {
            expect(slots.readPeak()).to.be.at.most(8);
            for (const [resource, whole] of limits) {
                if (whole.kind !== "returned") {
                    const oracle = createOracle(whole.rate, whole.burst);
                    const own = spendings.filter(spending => spending.resource === resource);
                    own.forEach(spending => oracle.take(spending.tokens, spending.at));
                    expect(oracle.readExcess(), resource).to.be.below(1e-3);
                }
            }
        },
        history: {
            now: world.history.now,
            run: world.history.run,
            pause: (place, duration) => world.history.pause(findInstance(place), duration),
            cut: (left, right, duration) => {
                world.history.cut(left.map(findInstance), right.map(findInstance), duration);
                left.slice(0, 2).forEach(place => world.isolate(findInstance(place), duration));
            },
        },
        restart: (place, downFor) => world.restart(findInstance(place), downFor),
    };
}

function createDemandCommands(): fc.Arbitrary<HistoryCommand<TestedWorld>>[] {
    const demand = fc.tuple(
        fc.nat({ max: 3 }),
        fc.integer({ min: 5, max: 40 }),
        fc.nat(),
        fc.integer({ min: 1, max: 3_000 }),
    );
    return [
        demand.map(([choice, count, seed, spread]) =>
            createHistoryCommand(`demand(${choice}, ${count}, ${seed}, ${spread})`, tested => {
                const random = createSeededRandom(seed);
                const resource = resources[choice]!;
                const whole = limits.get(resource)!;
                for (let index = 0; index < count; index++) {
                    const isWhole = resource.startsWith("loads/");
                    const amount = isWhole ? 1 : random.between(1, Math.ceil(whole.burst * 0.15));
                    tested.world.history.schedule(random.between(0, spread), () => {
                        const running = tested.world.listInstances();
                        if (running.length > 0) {
                            const wait = random.between(0, 2_000);
                            tested.draw(random.choose(running), resource, amount, wait);
                        }
                    });
                }
            })
        ),
        fc.integer({ min: 1, max: longestFaultMilliseconds }).map(duration =>
            createHistoryCommand(`logOutage(${duration})`, ({ world }) => {
                world.authority.setLogUp(false);
                world.history.schedule(duration, () => world.authority.setLogUp(true));
            })
        ),
    ];
}

describe("limits over all instances", () => {
    it("never grants more than rate x window + burst in 1,000 random histories with faults", () => {
        const faults = createFaultCommands<TestedWorld>(longestFaultMilliseconds);
        const demand = createDemandCommands();
        const commands = fc.commands([...faults, ...demand, demand[0]!, demand[0]!, demand[0]!, demand[0]!], {
            maxCommands: 24,
            size: "max",
        });
        const instances = fc.oneof(
            { weight: 8, arbitrary: fc.integer({ min: 1, max: 10 }) },
            { weight: 1, arbitrary: fc.integer({ min: 11, max: 50 }) },
        );
        const granted = new Map<ResourceId, number>();
        fc.assert(
            fc.property(fc.integer(), instances, commands, (seed, count, run) => {
                const tested = createTestedWorld(seed, count, granted);
                const nodes = Array.from({ length: count }, (unused, index) => String(index));
                tested.history.run(warmUpMilliseconds);
                fc.modelRun(() => ({ model: { nodes }, real: tested }), run);
                tested.history.run(tested.history.now() + longestFaultMilliseconds);
                tested.check();
            }),
            { seed: 20_261_203, numRuns: historyCount },
        );
        for (const resource of resources) {
            // without many grants of each resource the histories would not test its limit
            expect(granted.get(resource), resource).to.be.above(2 * historyCount);
        }
    });
});
