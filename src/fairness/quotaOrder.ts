/**
 * Order in which the kinds of request of one client account use its quota while more is asked for than it allows. Urgent
 * kinds go first, each kind keeps a part of its share by demand, and refused requests are told times that differ.
 * Pure functions: the state, a request and the time give the next state.
 *
 * @packageDocumentation
 */
import { type Milliseconds, millisecondsPerSecond } from "../shared/index.js";

/** Request for units of a quota. */
export interface QuotaAsk {
    /** Name of its route. */
    readonly kind: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly units: number;
    /** Time left of its latency objective, 0 for one that can't be on time. */
    readonly objectiveLeft: Milliseconds;
    /** Time since the first attempt of its client. */
    readonly waited: Milliseconds;
    /** Time that its client still waits. */
    readonly timeLeft: Milliseconds;
}

/** What the bucket of the account has. */
export interface QuotaSupply {
    readonly level: number;
    readonly ratePerSecond: number;
    readonly capacity: number;
}

/** One kind of request of the account. */
export interface KindDemand {
    readonly kind: string;
    readonly priority: number;
    /** Time that its last new request had left of its objective. */
    readonly objective: Milliseconds;
    /** Mean units per second that its new requests ask for. */
    readonly demand: number;
    /** Units of its last request. */
    readonly size: number;
    /** Units that it may use before more urgent kinds, so that they don't starve it. */
    readonly credit: number;
    /** Latest time told to a refused request that can still be on time. */
    readonly promisedAt: Milliseconds;
}

/** Units that a refused request was told to return for. */
export interface PromisedUnits {
    readonly at: Milliseconds;
    readonly kind: string;
    readonly priority: number;
    readonly units: number;
    /** Whether the request can't be on time any more when it returns. */
    readonly isLate: boolean;
}

/** State of the order of one account. */
export interface QuotaOrder {
    readonly updatedAt: Milliseconds;
    /** Time until which the account counts as over its quota, unless another request is refused. */
    readonly rushUntil: Milliseconds;
    readonly kinds: readonly KindDemand[];
    /** By time, the earliest first. */
    readonly promises: readonly PromisedUnits[];
    /** Latest time told to a request that can't be on time. */
    readonly latePromisedAt: Milliseconds;
}

/** Part of its share by demand that a kind keeps whatever more urgent kinds ask for: a quarter, and what means vary by. */
const keptShareRatio = 0.3;
/** Time over which demand is averaged: surges begin and end within seconds. */
const averagingMilliseconds = 1_000;
/** Demand of more urgent kinds that less urgent requests leave in the bucket, as a time. */
const reserveMilliseconds = 50;
/** Part of the bucket that may be kept for others, so that requests as large as the burst can run. */
const reserveLimitRatio = 0.5;
/** Demand, as a multiple of the rate, from which on it counts as a surge. */
const surgeDemandRatio = 1.5;
/** Time without a refusal after which the order has no effect. */
const rushMilliseconds = 1_000;
/** Time after the first attempt from which on a request counts as a returning one; ages are known to 50 ms. */
const returnedMilliseconds = 60;
/** Objectives that differ by less than this ratio count as equally urgent. */
const equalObjectiveRatio = 0.75;
/** Part of its objective that must be left when a refused request is told to return in time; servers need the rest. */
const returnObjectiveRatio = 0.7;
/** Part of its objective below which a request can't be on time. */
const lateObjectiveRatio = 0.25;
/** Part of the time it has left up to which a client honours Retry-After. */
const patienceRatio = 1 / 3;
/** Part of a kind's units for returning requests while its new ones ask for all; new ones are on time more often. */
const returnedShareRatio = 0.5;
/** Least part of the rate that late requests are told to expect; most surges are over within seconds. */
const lateShareRatio = 0.25;
/** Time before which promised units are set aside. */
const promiseLeadMilliseconds = 150;
/** Time after which promised units are no longer kept for a client that hasn't returned. */
const promiseGraceMilliseconds = 200;
/** A request that returned sooner would look like a new one. */
const shortestWaitMilliseconds = 100;
const maximumKinds = 16;
const maximumPromises = 256;
/** Demand, in requests per second, below which a kind is forgotten. */
const forgottenRequestsPerSecond = 0.02;

/**
 * Creates the order of an account of which nothing is known.
 *
 * @param now - current time
 * @returns an order without kinds
 */
export function createQuotaOrder(now: Milliseconds): QuotaOrder {
    return { updatedAt: now, rushUntil: Number.NEGATIVE_INFINITY, kinds: [], promises: [], latePromisedAt: now };
}

/**
 * Tells whether requests of the account were refused a moment ago.
 *
 * @param order - order of the account
 * @param now - current time
 * @returns whether the account is over its quota
 */
export function isInRush(order: Pick<QuotaOrder, "rushUntil">, now: Milliseconds): boolean {
    return now < order.rushUntil;
}

/**
 * Tells whether an account asks for so much more than its rate that the order of its requests matters. One that is over its
 * quota by little has units for each request a moment later, and an order would only keep its clients waiting.
 *
 * @param order - order of the account
 * @param supply - what the bucket has
 * @returns whether the demand surges
 */
export function isSurge({ kinds }: Pick<QuotaOrder, "kinds">, { ratePerSecond }: QuotaSupply): boolean {
    return sumDemand(kinds) > ratePerSecond * surgeDemandRatio;
}

/**
 * Records that a request asks for units.
 *
 * @param order - order of the account
 * @param ask - the request
 * @param supply - what the bucket has
 * @param now - current time
 * @returns the next state
 */
export function recordAsk(order: QuotaOrder, ask: QuotaAsk, supply: QuotaSupply, now: Milliseconds): QuotaOrder {
    const kinds = advanceKinds(order, supply, now);
    const known = kinds.find(({ kind }) => kind === ask.kind);
    const isNew = !isReturned(ask);
    const added = isNew ? ask.units * millisecondsPerSecond / averagingMilliseconds : 0;
    const next: KindDemand = {
        kind: ask.kind,
        priority: ask.priority,
        objective: isNew || !known ? ask.objectiveLeft : known.objective,
        demand: (known?.demand ?? 0) + added,
        size: ask.units,
        credit: known?.credit ?? 0,
        promisedAt: known?.promisedAt ?? now,
    };
    const others = kinds.filter(({ kind }) => kind !== ask.kind);
    // the kind with the least demand gives way
    const kept = others.length < maximumKinds
        ? others
        : [...others].sort((left, right) => right.demand - left.demand).slice(0, maximumKinds - 1);
    return {
        ...order,
        updatedAt: now,
        kinds: [...kept, next],
        promises: order.promises.length === 0
            ? order.promises
            : order.promises.filter(({ at }) => now - at < promiseGraceMilliseconds),
    };
}

/**
 * Computes the units that a request must leave in the bucket for others.
 *
 * @param order - order of the account, in which the request is recorded
 * @param ask - the request
 * @param supply - what the bucket has
 * @param now - current time
 * @returns units, 0 for an account within its quota
 */
export function computeReserve(order: QuotaOrder, ask: QuotaAsk, supply: QuotaSupply, now: Milliseconds): number {
    if (!isInRush(order, now) || sumDemand(order.kinds) <= supply.ratePerSecond || hasCredit(order, ask)) {
        return 0;
    }
    const others = order.kinds.filter(({ kind }) => kind !== ask.kind);
    const waiting = isLate(ask) ? order.kinds : others.filter(other => isMoreUrgent(other, ask));
    const urgent = waiting.reduce((sum, { demand, size }) => sum + Math.max(size, computeKept(demand)), 0);
    const owed = others.filter(other => other.credit >= other.size && !waiting.includes(other))
        .reduce((sum, { size }) => sum + size, 0);
    return Math.min(supply.capacity * reserveLimitRatio, urgent + owed + sumPromised(order, ask, now));
}

/**
 * Records that a request got its units.
 *
 * @param order - order of the account, in which the request is recorded
 * @param ask - the request
 * @param now - current time
 * @returns the next state
 */
export function recordGiven(order: QuotaOrder, ask: QuotaAsk, now: Milliseconds): QuotaOrder {
    if (!isInRush(order, now)) {
        return order;
    }
    return {
        ...order,
        kinds: order.kinds.map(kind =>
            kind.kind === ask.kind ? { ...kind, credit: Math.max(0, kind.credit - ask.units) } : kind
        ),
        promises: removePromise(order, ask, now),
    };
}

/**
 * Records that a request was refused, and computes when it should return.
 *
 * @param order - order of the account, in which the request is recorded
 * @param ask - the request
 * @param supply - what the bucket has
 * @param now - current time
 * @returns the next state and the time until there will be units for this request
 */
export function recordRefused(
    order: QuotaOrder,
    ask: QuotaAsk,
    supply: QuotaSupply,
    now: Milliseconds,
): { readonly order: QuotaOrder; readonly wait: Milliseconds; } {
    const rushUntil = now + rushMilliseconds;
    const next = { ...order, rushUntil, promises: removePromise(order, ask, now) };
    const own = order.kinds.find(({ kind }) => kind === ask.kind)!;
    const rate = Math.max(1, supply.ratePerSecond);
    const missing = Math.max(0, Math.min(ask.units, supply.capacity) - supply.level);
    const earliest = now + Math.max(shortestWaitMilliseconds, missing / rate * millisecondsPerSecond);
    const schedule = (last: Milliseconds, available: number): Milliseconds =>
        Math.max(earliest, Math.max(now, last) + ask.units / available * millisecondsPerSecond);
    const patience = ask.timeLeft * patienceRatio;
    const soon = schedule(own.promisedAt, estimateReturnRate(order, own, rate));
    if (soon - now <= Math.min(patience, ask.objectiveLeft - measureObjective(ask) * returnObjectiveRatio)) {
        const kinds = order.kinds.map(kind => kind === own ? { ...own, promisedAt: soon } : kind);
        return { order: addPromise({ ...next, kinds }, ask, soon, false), wait: soon - now };
    }
    const late = schedule(
        order.latePromisedAt,
        Math.max(rate - sumDemand(order.kinds), rate * lateShareRatio),
    );
    // a client that doesn't wait so long doesn't return for these units
    return late - now <= patience
        ? { order: addPromise({ ...next, latePromisedAt: late }, ask, late, true), wait: late - now }
        : { order: next, wait: late - now };
}

function advanceKinds(order: QuotaOrder, supply: QuotaSupply, now: Milliseconds): readonly KindDemand[] {
    const elapsed = Math.max(0, now - order.updatedAt);
    if (elapsed === 0) {
        return order.kinds;
    }
    const decay = Math.exp(-elapsed / averagingMilliseconds);
    const total = sumDemand(order.kinds);
    const isEarned = isInRush(order, now) && total > supply.ratePerSecond;
    return order.kinds
        .filter(({ demand, size }) => demand * decay > size * forgottenRequestsPerSecond)
        .map(kind => {
            const keptRate = keptShareRatio * supply.ratePerSecond * kind.demand / total;
            const limit = Math.max(kind.size, computeKept(keptRate));
            const credit = isEarned ? Math.min(limit, kind.credit + keptRate * elapsed / millisecondsPerSecond) : 0;
            return { ...kind, demand: kind.demand * decay, credit };
        });
}

function sumDemand(kinds: readonly KindDemand[]): number {
    return kinds.reduce((sum, { demand }) => sum + demand, 0);
}

function computeKept(ratePerSecond: number): number {
    return ratePerSecond * reserveMilliseconds / millisecondsPerSecond;
}

function isReturned(ask: QuotaAsk): boolean {
    return ask.waited > returnedMilliseconds;
}

// the objective counts from the first attempt
function measureObjective({ objectiveLeft, waited }: QuotaAsk): Milliseconds {
    return objectiveLeft + waited;
}

function isLate(ask: QuotaAsk): boolean {
    return ask.objectiveLeft <= measureObjective(ask) * lateObjectiveRatio;
}

function isMoreUrgent(kind: KindDemand, ask: Pick<QuotaAsk, "priority" | "objectiveLeft">): boolean {
    return kind.priority < ask.priority ||
        (kind.priority === ask.priority && kind.objective < ask.objectiveLeft * equalObjectiveRatio);
}

// late requests use what their kind keeps only where its new ones ask for nothing
function hasCredit({ kinds }: QuotaOrder, ask: QuotaAsk): boolean {
    const own = kinds.find(({ kind }) => kind === ask.kind);
    return own !== undefined && own.credit >= ask.units &&
        (!isLate(ask) || own.demand < ask.units);
}

function findPromise({ promises }: QuotaOrder, ask: QuotaAsk, now: Milliseconds): PromisedUnits | undefined {
    return isReturned(ask)
        ? promises.find(({ at, kind, units }) =>
            kind === ask.kind && units === ask.units && at <= now + promiseLeadMilliseconds
        )
        : undefined;
}

function removePromise(order: QuotaOrder, ask: QuotaAsk, now: Milliseconds): readonly PromisedUnits[] {
    const own = findPromise(order, ask, now);
    return own ? order.promises.filter(promise => promise !== own) : order.promises;
}

// one that returns for its own units leaves what was promised to earlier ones
function sumPromised(order: QuotaOrder, ask: QuotaAsk, now: Milliseconds): number {
    const own = findPromise(order, ask, now);
    const until = own?.at ?? now + promiseLeadMilliseconds;
    return order.promises
        .filter(promise =>
            promise !== own && promise.at <= until &&
            (isLate(ask) || (!promise.isLate && promise.priority <= ask.priority))
        )
        .reduce((sum, { units }) => sum + units, 0);
}

function addPromise(order: QuotaOrder, ask: QuotaAsk, at: Milliseconds, isLate: boolean): QuotaOrder {
    // clients return once or twice: after its second refusal a request may not come again
    if (isReturned(ask) || order.promises.length >= maximumPromises) {
        return order;
    }
    const promise = { at, kind: ask.kind, priority: ask.priority, units: ask.units, isLate };
    const index = order.promises.findIndex(other => other.at > at);
    const place = index < 0 ? order.promises.length : index;
    return { ...order, promises: [...order.promises.slice(0, place), promise, ...order.promises.slice(place)] };
}

// units per second that returning requests of a kind can expect
function estimateReturnRate({ kinds }: QuotaOrder, own: KindDemand, rate: number): number {
    const total = Math.max(1, sumDemand(kinds));
    const ask = { priority: own.priority, objectiveLeft: own.objective };
    const urgent = kinds.filter(kind => kind !== own && isMoreUrgent(kind, ask));
    const equal = kinds.filter(({ priority, objective }) => priority === own.priority && objective === own.objective);
    const left = (rate - sumDemand(urgent)) * own.demand / Math.max(1, sumDemand(equal));
    const available = Math.max(left, keptShareRatio * rate * own.demand / total, 1);
    return Math.max(available - own.demand, available * returnedShareRatio);
}
