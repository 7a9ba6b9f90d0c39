/**
 * An account at six times its usual rate whose least urgent kind of request surges, at one holder and several instances,
 * in virtual time.
 *
 * @packageDocumentation
 */
import { createAccountLimits } from "../../serving/accountLimits.js";
import { createQuotaHolder } from "../../serving/quotaHolder.js";
import type { ServingAccount } from "../../serving/types.js";
import { createSeededRandom, type Milliseconds } from "../../shared/index.js";
import { createHistory } from "../../testing/index.js";
import { type CallerKind, createQuotaCallers, findSmallestWindow, sumCallerUnits } from "./quotaCallers.js";

/** What the kinds of request of the account got. */
export interface RushFigures {
    /** Part of what each kind asks for that it gets while half of its objective is left, by name. */
    readonly onTime: ReadonlyMap<string, number>;
    /** Part of the quota that is given in the window in which it is least. */
    readonly given: number;
}

const instances = 8;
const rate = 20_000;
const usual = rate * 0.2;
const multiple = 6;
const surgeAt = 12_000;
const until = 60_000;
const windowMilliseconds = 8_000;
const presenceMilliseconds = 1_600;
const messageMilliseconds = 4;

const account: ServingAccount = {
    name: "springs",
    keys: [],
    priority: undefined,
    quota: { unit: "tokens", ratePerSecond: rate, burst: rate, defaultTokens: 1 },
};

function createKind(name: string, priority: number, objective: Milliseconds, deadline: Milliseconds): CallerKind {
    const readRate = (now: Milliseconds): number =>
        name === "patient" && now >= surgeAt ? usual * (3 * multiple - 2) : usual;
    return { name, priority, objective, deadline, units: 300, readRate };
}

/** Kinds of request of the account, the most urgent first. */
export const rushKinds: readonly CallerKind[] = [
    createKind("urgent", 0, 500, 5_000),
    createKind("middle", 1, 1_000, 8_000),
    createKind("patient", 2, 2_000, 20_000),
];

/**
 * Runs the surge.
 *
 * @param seed - seed of the requests
 * @param isOrdered - whether instances say how urgent requests are; those of builds before don't
 * @returns what was given
 */
export async function runQuotaRush(seed: number, isOrdered: boolean): Promise<RushFigures> {
    const history = createHistory<unknown>({ seed });
    const random = createSeededRandom(seed);
    const holder = createQuotaHolder({ countInstances: () => instances, findShard: () => 0 });
    holder.update([account], 0);
    const names = Array.from({ length: instances }, (unused, index) => `i-${index}`);
    const limits = names.map(name =>
        createAccountLimits({
            now: history.now,
            random,
            bounds: { window: windowMilliseconds, excessRatio: 0.1, excessUnits: 17_000 },
            startDuration: 600,
            countInstances: () => instances,
            ask: async request => {
                await history.clock.sleep(messageMilliseconds);
                return holder.take(name, request, history.now());
            },
            giveBack: () => undefined,
        })
    );
    const markPresent = (): void => {
        names.forEach(name => holder.markPresent(name, [0], history.now()));
        history.schedule(presenceMilliseconds, markPresent);
    };
    markPresent();
    const callers = createQuotaCallers({
        history,
        random,
        take: (asked, units, urgency) =>
            limits[random.between(0, instances - 1)]!.take(asked, units, false, isOrdered ? urgency : undefined),
    });
    callers.send(account, rushKinds, until);
    await history.runAsync(until);
    const span = { account: account.name, from: surgeAt + 2_000, until: until - 2_000 };
    const sums = rushKinds.map(kind => [kind.name, sumCallerUnits(callers.requests, { ...span, kind })] as const);
    return {
        onTime: new Map(sums.map(([name, { asked, onTime }]) => [name, onTime / asked])),
        given: findSmallestWindow(callers.requests, windowMilliseconds, [surgeAt, until]) /
            (rate * windowMilliseconds / 1_000),
    };
}
