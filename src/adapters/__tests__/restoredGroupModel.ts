/**
 * Model of who may order at engines while the store comes back older: real tasks of members, engines that check fencing
 * numbers, and a plan of disturbances. A run is the same for the same plan.
 *
 * @packageDocumentation
 */
import { createStoreEras, type StoreEras } from "../../serving/storeEras.js";
import type { StoreError } from "../../serving/types.js";
import {
    type Clock,
    createSeededRandom,
    type Milliseconds,
    type Result,
    wrapError,
    wrapValue,
} from "../../shared/index.js";
import { createHistory, createNodeClock, startDetached, type VirtualMessage } from "../../testing/index.js";
import { createShardHolders } from "../shardHolders.js";
import { createShardTask, type ShardTask } from "../shardTask.js";
import type { ShardGroup } from "../types.js";
import { createFencedEngine, type FencedEngine } from "./fencedEngine.js";
import { createDisturbances, type Disturbances, findTurns } from "./holderTurns.js";
import { createRestorableGroup, type GroupVariant } from "./restorableGroup.js";

/** A disturbance of the plan; durations and ages are in milliseconds. */
export type PlanEvent =
    & { readonly at: Milliseconds; }
    & (
        | { readonly kind: "restore"; readonly away: Milliseconds; readonly age: Milliseconds; }
        | { readonly kind: "outage"; readonly away: Milliseconds; }
        | { readonly kind: "dealAgain"; }
        | { readonly kind: "restartEngine"; readonly shard: number; }
        | { readonly kind: MemberEventKind; readonly member: number; readonly duration: Milliseconds; }
    );

/**
 * What happens to one member: its process is killed, or stops in order, and starts again; it is frozen, at once or while
 * the next answer is on its way; the store rejects it, is slow for it or loses its answers; it leaves the group for a
 * time; its orders arrive late; another call than a join tells it the era.
 */
export type MemberEventKind =
    | "kill"
    | "freeze"
    | "freezeAtAnswer"
    | "stop"
    | "reject"
    | "slow"
    | "lose"
    | "stepAside"
    | "delayOrders"
    | "tellEra";

/** One run, as drawn from a seed. */
export interface GroupPlan {
    readonly seed: number;
    readonly members: number;
    readonly shards: number;
    readonly group: GroupVariant;
    /** Whether the store's client drops answers of an earlier era than it has seen, and joins with generation 0 then. */
    readonly isEraChecked: boolean;
    readonly events: readonly PlanEvent[];
}

/** Invariant that a run may violate. */
export type GroupInvariant = "oneHolderPerNumber" | "ordersOnceCalm" | "noTurns";

/** A violated invariant. */
export interface GroupViolation {
    readonly invariant: GroupInvariant;
    readonly detail: string;
}

/** Outcome of a run. */
export interface GroupRun {
    readonly violations: readonly GroupViolation[];
    readonly acceptedOrders: number;
    readonly trace: readonly string[];
}

interface Member {
    readonly name: string;
    readonly stopping: AbortController;
    readonly task: ShardTask;
    readonly handleReleased: (shard: number, number: number, lastOrderAt: Milliseconds) => void;
}

interface MemberState {
    readonly name: string;
    member: Member | undefined;
    isMember: boolean;
    eras: StoreEras;
    /** Time for which it is frozen if the store executes its next call soon. */
    freezeNext: { readonly duration: Milliseconds; readonly until: Milliseconds; } | undefined;
    readonly until: Record<"reject" | "slow" | "lose" | "delayOrders", Milliseconds>;
}

const ttlMilliseconds = 1_500;
/** Minimum time between the orders of two holders, and time after a disturbance for which holders may take turns. */
export const orderLeaseMilliseconds = 3_000;
const requestTimeoutMilliseconds = 700;
const lateMilliseconds = 3_000;
const orderIntervalMilliseconds = 120;
const tickMilliseconds = 100;
const startMilliseconds = 1_500;
/** Lifetime of members that the copy still holds, the lease of the next holder, and joins between them. */
const settlingMilliseconds = 8_000;
const checkedMilliseconds = 2_000;

/**
 * Runs a plan until the members have been calm for some seconds.
 *
 * @param plan - members, group and disturbances
 * @returns violated invariants and a trace of the run
 */
export async function runGroupPlan(plan: GroupPlan): Promise<GroupRun> {
    const history = createHistory<VirtualMessage>({ seed: plan.seed });
    const { random } = history;
    const readNow = history.now;
    const trace: string[] = [];
    const recordLine = (line: string): void => void trace.push(`${(readNow() / 1_000).toFixed(3)} ${line}`);
    const group = createRestorableGroup(plan.shards, plan.group, createSeededRandom(-plan.seed), readNow, recordLine);
    const engines = Array.from({ length: plan.shards }, (unused, shard) => createFencedEngine(shard, recordLine));
    const disturbances = createDisturbances();
    const states = Array.from({ length: plan.members }, (unused, index) => createMemberState(`m${index}`));
    let isAway = false;
    let awayCount = 0;

    const isLasting = (state: MemberState, kind: keyof MemberState["until"]): boolean => state.until[kind] > readNow();
    const drawDelay = (isLate: boolean): Milliseconds => random.between(1, isLate ? lateMilliseconds : 5);
    const pauseAtAnswer = (state: MemberState): void => {
        const next = state.freezeNext;
        state.freezeNext = undefined;
        if (next && next.until > readNow()) {
            const { duration } = next;
            disturbances.add(state.name, readNow(), readNow() + duration);
            recordLine(`${state.name} is frozen for ${duration}`);
            history.pause(state.name, duration);
        }
    };
    const callStore = <Value>(state: MemberState, isLive: () => boolean, run: () => Value) =>
        new Promise<Result<Value, StoreError>>(resolve => {
            const sendAnswer = (delay: Milliseconds, result: Result<Value, StoreError>): void =>
                history.scheduleOn(state.name, delay, () => isLive() && resolve(result));
            sendAnswer(requestTimeoutMilliseconds, wrapError({ kind: "unreachable", detail: "no answer" }));
            history.schedule(drawDelay(isLasting(state, "slow")), () => {
                if (isAway || isLasting(state, "reject")) {
                    if (random.chance(0.5)) {
                        sendAnswer(drawDelay(false), wrapError({ kind: "unreachable", detail: "rejected" }));
                    }
                    return;
                }
                const value = run();
                pauseAtAnswer(state);
                if (!isLasting(state, "lose") || random.chance(0.5)) {
                    sendAnswer(
                        isLasting(state, "slow") ? random.between(1, requestTimeoutMilliseconds) : drawDelay(false),
                        wrapValue(value),
                    );
                }
            });
        });
    const createGroupClient = (state: MemberState, isLive: () => boolean): ShardGroup => {
        return {
            join: async (name, known, ttl) => {
                const answer = await callStore(state, isLive, () => group.join(name, known, ttl));
                if (!answer.ok) {
                    return answer;
                }
                const membership = answer.value;
                return state.eras.observe(membership.era) === "past" && plan.isEraChecked
                    ? wrapError({ kind: "unreachable", detail: "earlier era" })
                    : wrapValue(membership);
            },
            leave: name => callStore(state, isLive, () => group.leave(name)),
            listOwners: () => callStore(state, isLive, group.listOwners),
        };
    };
    const sendOrder = (state: MemberState, member: Member, shard: number, fencingNumber: number): void => {
        const order = { holder: state.name, fencingNumber, sentAt: readNow() };
        history.schedule(drawDelay(isLasting(state, "delayOrders")), () => {
            const isAccepted = engines[shard]!.accept(order, readNow());
            history.scheduleOn(
                state.name,
                2,
                () => isAccepted || state.member !== member || member.task.markFenced(`engine-${shard}`),
            );
        });
    };
    const runOrders = async (state: MemberState, member: Member, clock: Clock): Promise<void> => {
        while (!member.stopping.signal.aborted) {
            for (const shard of member.task.list()) {
                const held = member.task.find(shard)!;
                if (held.activeAt <= readNow()) {
                    sendOrder(state, member, shard, held.fencingNumber);
                }
            }
            await clock.sleep(orderIntervalMilliseconds, member.stopping.signal);
        }
    };
    const startMember = (state: MemberState): void => {
        state.eras = createStoreEras();
        const clock = createNodeClock(history, state.name);
        disturbances.add(state.name, readNow(), readNow());
        const stopping = new AbortController();
        const isLive = (): boolean => !stopping.signal.aborted;
        const client = createGroupClient(state, isLive);
        const releases = new Map<number, { readonly number: number; readonly lastOrderAt: Milliseconds; }>();
        const sendRelease = (shard: number, holder: string): void => {
            const release = releases.get(shard);
            if (!release || holder === state.name) {
                return;
            }
            releases.delete(shard);
            const sinceLastOrder = readNow() - release.lastOrderAt;
            recordLine(`${state.name} tells ${holder} of ${shard}, last order ${Math.round(sinceLastOrder)} ms ago`);
            history.scheduleOn(
                holder,
                drawDelay(false),
                () =>
                    states.find(({ name }) => name === holder)?.member?.handleReleased(
                        shard,
                        release.number,
                        readNow() - sinceLastOrder,
                    ),
            );
        };
        const holders = createShardHolders({
            self: state.name,
            clock,
            random,
            askInstance: () => Promise.resolve(undefined),
            readStore: async () => {
                const owners = await client.listOwners();
                return owners.ok ? owners.value.map(({ shard, member }) => [shard, member] as const) : undefined;
            },
            onMoved: sendRelease,
        });
        const task = createShardTask({
            group: client,
            member: state.name,
            ttl: ttlMilliseconds,
            orderLease: orderLeaseMilliseconds,
            isFenced: true,
            clock,
            ...plan.isEraChecked && { eras: state.eras },
            startedAt: readNow(),
            findHolderChangedAt: holders.findChangedAt,
            isMember: () => state.isMember,
            onShardGained: shard => recordLine(`${state.name} gains ${shard}`),
            onShardLost: (shard, { fencingNumber, previousOrderAt }) => {
                recordLine(`${state.name} loses ${shard}`);
                holders.markReleased(shard);
                const lastOrderAt = Math.max(previousOrderAt, engines[shard]!.findLastSent(state.name));
                releases.set(shard, { number: fencingNumber, lastOrderAt });
            },
            onMembershipChange: () => startDetached(holders.reload()),
        });
        const member: Member = { name: state.name, stopping, task, handleReleased: task.markReleased };
        state.member = member;
        state.isMember = true;
        startDetached(task.run(stopping.signal));
        startDetached(runOrders(state, member, clock));
    };
    const endMember = (state: MemberState): void => {
        state.member?.stopping.abort();
        state.member = undefined;
        history.crash(state.name);
    };
    const restartAfter = (state: MemberState, duration: Milliseconds): void => {
        const killed = state.member;
        history.schedule(duration, () => {
            if (state.member === killed) {
                endMember(state);
                startMember(state);
            }
        });
    };
    const stopStore = (away: Milliseconds, age: Milliseconds | undefined): void => {
        disturbances.add(undefined, readNow(), readNow() + away);
        isAway = true;
        const count = ++awayCount;
        history.schedule(away, () => {
            if (count === awayCount) {
                isAway = false;
                group.resume(away, age);
            }
        });
    };
    const applyMemberEvent = (state: MemberState, kind: MemberEventKind, duration: Milliseconds): void => {
        disturbances.add(state.name, readNow(), readNow() + duration);
        switch (kind) {
            case "kill":
                endMember(state);
                restartAfter(state, duration);
                return;
            case "freeze":
                history.pause(state.name, duration);
                return;
            case "freezeAtAnswer":
                state.freezeNext = { duration, until: readNow() + lateMilliseconds };
                return;
            case "stop":
                startDetached(state.member?.task.leave());
                restartAfter(state, duration);
                return;
            case "stepAside":
                state.isMember = false;
                history.schedule(duration, () => {
                    state.isMember = true;
                });
                return;
            case "tellEra":
                if (!isAway) {
                    state.eras.observe(group.readEra());
                }
                return;
            case "reject":
            case "slow":
            case "lose":
            case "delayOrders":
                state.until[kind] = Math.max(state.until[kind], readNow() + duration);
                return;
        }
    };
    const applyEvent = (event: PlanEvent): void => {
        recordLine(describeEvent(event));
        switch (event.kind) {
            case "restore":
                stopStore(event.away, event.age);
                return;
            case "outage":
                stopStore(event.away, undefined);
                return;
            case "dealAgain":
                return isAway ? undefined : group.dealAgain();
            case "restartEngine":
                disturbances.add(undefined, readNow(), readNow());
                engines[event.shard]?.restart();
                return;
            case "kill":
            case "freeze":
            case "freezeAtAnswer":
            case "stop":
            case "reject":
            case "slow":
            case "lose":
            case "stepAside":
            case "delayOrders":
            case "tellEra": {
                const state = states[event.member];
                return state && applyMemberEvent(state, event.kind, event.duration);
            }
        }
    };
    const runTick = (): void => {
        if (!isAway) {
            group.tick();
        }
        history.schedule(tickMilliseconds, runTick);
    };

    states.forEach((state, index) => history.schedule(index * 50, () => startMember(state)));
    plan.events.forEach(event => history.schedule(event.at, () => applyEvent(event)));
    runTick();
    const calmAt = Math.max(startMilliseconds, ...plan.events.map(findEnd));
    const checkedFrom = calmAt + settlingMilliseconds;
    await history.runAsync(checkedFrom + checkedMilliseconds);
    states.forEach(endMember);
    return {
        violations: [
            ...engines.flatMap(engine => engine.listSharedNumbers().map(createViolation("oneHolderPerNumber"))),
            ...engines.flatMap(engine => describeUncalm(engine, checkedFrom)).map(createViolation("ordersOnceCalm")),
            ...findAllTurns(engines, disturbances).map(createViolation("noTurns")),
        ],
        acceptedOrders: engines.reduce((sum, engine) => sum + engine.listAccepted().length, 0),
        trace,
    };
}

/**
 * Describes an event of a plan in one line.
 *
 * @param event - the event
 * @returns its kind and its figures
 */
export function describeEvent(event: PlanEvent): string {
    const { at, kind, ...figures } = event;
    const rest = Object.entries(figures).map(([name, value]) => `${name} ${value}`);
    return [`[${at}] ${kind}`, ...rest].join(", ");
}

function createMemberState(name: string): MemberState {
    return {
        name,
        member: undefined,
        isMember: true,
        eras: createStoreEras(),
        freezeNext: undefined,
        until: { reject: 0, slow: 0, lose: 0, delayOrders: 0 },
    };
}

function createViolation(invariant: GroupInvariant): (detail: string) => GroupViolation {
    return detail => ({ invariant, detail });
}

// calls and orders that were slow end later than the disturbance
function findEnd(event: PlanEvent): Milliseconds {
    switch (event.kind) {
        case "restore":
        case "outage":
            return event.at + event.away;
        case "dealAgain":
        case "restartEngine":
            return event.at;
        case "freezeAtAnswer":
        case "slow":
        case "delayOrders":
            return event.at + event.duration + 2 * lateMilliseconds;
        case "kill":
        case "freeze":
        case "stop":
        case "reject":
        case "lose":
        case "stepAside":
        case "tellEra":
            return event.at + event.duration;
    }
}

function describeUncalm(engine: FencedEngine, from: Milliseconds): readonly string[] {
    const accepted = new Set(engine.listAccepted().filter(({ at }) => at >= from).map(({ holder }) => holder));
    const refused = new Set(engine.listRefused().filter(({ at }) => at >= from).map(({ holder }) => holder));
    return accepted.size === 1 && refused.size === 0
        ? []
        : [`engine ${engine.shard} accepts orders of [${[...accepted].join(" ")}], refuses [${
            [...refused].join(" ")
        }]`];
}

function findAllTurns(engines: readonly FencedEngine[], disturbances: Disturbances): readonly string[] {
    return engines.flatMap(engine => findTurns(engine, disturbances, orderLeaseMilliseconds));
}
