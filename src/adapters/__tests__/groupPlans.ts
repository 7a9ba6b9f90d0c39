/**
 * Draws plans of disturbances from seeds, and shortens a plan while it still fails.
 *
 * @packageDocumentation
 */
import { createSeededRandom, type SeededRandom } from "../../shared/index.js";
import {
    describeEvent,
    type GroupInvariant,
    type GroupPlan,
    type MemberEventKind,
    type PlanEvent,
    runGroupPlan,
} from "./restoredGroupModel.js";

const memberEventKinds: readonly MemberEventKind[] = [
    "kill",
    "kill",
    "freeze",
    "freezeAtAnswer",
    "freezeAtAnswer",
    "stop",
    "reject",
    "slow",
    "lose",
    "stepAside",
    "delayOrders",
    "tellEra",
];
const firstEventMilliseconds = 2_000;
const lastEventMilliseconds = 12_000;
const longestMilliseconds = 6_000;

/**
 * Draws a plan.
 *
 * @param seed - any integer
 * @param restores - how many times the store comes back older
 * @returns the plan, with the events in the order of their times
 */
export function drawGroupPlan(seed: number, restores: number): GroupPlan {
    const random = createSeededRandom(seed);
    const members = random.between(2, 6);
    const shards = random.between(1, 4);
    const drawAt = (): number => random.between(firstEventMilliseconds, lastEventMilliseconds);
    const others = Array.from({ length: random.between(0, 10) }, () => drawEvents(random, drawAt(), members, shards));
    const restored = Array.from({ length: restores }, () => drawRestore(random, drawAt(), members));
    return {
        seed,
        members,
        shards,
        group: { isReserved: random.chance(0.5), isSticky: random.chance(0.4), doTimesPause: random.chance(0.5) },
        isEraChecked: random.chance(0.5),
        events: [...others.flat(), ...restored.flat()].sort((left, right) => left.at - right.at),
    };
}

// an answer to a member may be on its way over the restore, while another call tells the member the new era
function drawRestore(random: SeededRandom, at: number, members: number): readonly PlanEvent[] {
    const away = random.between(0, random.chance(0.5) ? 100 : 2_000);
    const restore: PlanEvent = { kind: "restore", at, away, age: random.between(500, 10_000) };
    if (random.chance(0.5)) {
        return [restore];
    }
    const member = random.between(0, members - 1);
    const frozenAt = at - random.between(0, 600);
    const backAt = at + away;
    return [
        { kind: "freezeAtAnswer", at: frozenAt, member, duration: backAt - frozenAt + random.between(10, 2_500) },
        restore,
        { kind: "tellEra", at: backAt + 1, member, duration: 0 },
    ];
}

function drawEvents(random: SeededRandom, at: number, members: number, shards: number): readonly PlanEvent[] {
    const duration = random.between(50, random.chance(0.3) ? longestMilliseconds : 1_500);
    const draw = random.next();
    if (draw < 0.15) {
        return [{ kind: "dealAgain", at }];
    }
    if (draw < 0.2) {
        return [{ kind: "restartEngine", at, shard: random.between(0, shards - 1) }];
    }
    if (draw < 0.25) {
        return [{ kind: "outage", at, away: duration }];
    }
    const kind = random.choose(memberEventKinds);
    // half of the members lose the store at once
    const hit = kind === "reject" && random.chance(0.5)
        ? Array.from({ length: members }, (unused, member) => member).filter(() => random.chance(0.5))
        : [random.between(0, members - 1)];
    return hit.map(member => ({ kind, at, member, duration }));
}

/**
 * Leaves out events and members while the plan still violates an invariant.
 *
 * @param plan - a plan that violates it
 * @param invariant - the invariant
 * @returns the shortest plan that was found
 */
export async function shrinkGroupPlan(plan: GroupPlan, invariant: GroupInvariant): Promise<GroupPlan> {
    const shorter = [
        ...plan.events.map(left => ({ ...plan, events: plan.events.filter(event => event !== left) })),
        ...plan.members > 2 ? [{ ...plan, members: plan.members - 1 }] : [],
        ...plan.shards > 1 ? [{ ...plan, shards: plan.shards - 1 }] : [],
    ];
    for (const candidate of shorter) {
        const { violations } = await runGroupPlan(candidate);
        if (violations.some(violation => violation.invariant === invariant)) {
            return await shrinkGroupPlan(candidate, invariant);
        }
    }
    return plan;
}

/**
 * Describes how a plan violates an invariant.
 *
 * @param plan - the plan
 * @param invariant - the invariant
 * @returns what was drawn, the violation, the events and the trace
 */
export async function describeGroupPlan(plan: GroupPlan, invariant: GroupInvariant): Promise<string> {
    const { events, ...drawn } = plan;
    const { violations, trace } = await runGroupPlan(plan);
    return [
        JSON.stringify(drawn),
        ...violations.filter(violation => violation.invariant === invariant).map(({ detail }) => detail),
        ...events.map(describeEvent),
        "trace:",
        ...trace,
    ].join("\n    ");
}
