/**
 * Model of the callers of client accounts with quotas, in virtual time: kinds of request with objectives, and clients that
 * return after a refusal.
 *
 * @packageDocumentation
 */
import type { QuotaDecision, QuotaUrgency } from "../../serving/quotaMessages.js";
import type { ServingAccount } from "../../serving/types.js";
import { type Milliseconds, millisecondsPerSecond, type SeededRandom } from "../../shared/index.js";
import { type History, startDetached } from "../../testing/index.js";

/** A kind of request, and how much of it is asked for. */
export interface CallerKind {
    readonly name: string;
    /** 0 is the highest. */
    readonly priority: number;
    readonly objective: Milliseconds;
    /** Time that its clients wait. */
    readonly deadline: Milliseconds;
    readonly units: number;
    /** Units per second that new requests ask for. */
    readonly readRate: (now: Milliseconds) => number;
}

/** What became of one request of a client, its returns included. */
export interface CallerRequest {
    readonly account: string;
    readonly kind: string;
    readonly units: number;
    readonly askedAt: Milliseconds;
    /** `undefined` when it was refused for good. */
    givenAt: Milliseconds | undefined;
    /** Times told to it after a refusal. */
    readonly toldTimes: Milliseconds[];
    refusals: number;
}

/** Callers of some accounts. */
export interface QuotaCallers {
    readonly requests: readonly CallerRequest[];
    readonly send: (account: ServingAccount, kinds: readonly CallerKind[], until: Milliseconds) => void;
}

/** What the callers need. */
export interface QuotaCallersOptions {
    readonly history: History<unknown>;
    readonly random: SeededRandom;
    /** Asks any instance for units; `undefined` when the connection is lost. */
    readonly take: (
        account: ServingAccount,
        units: number,
        urgency: QuotaUrgency,
    ) => Promise<QuotaDecision | undefined>;
}

const maximumReturns = 2;
const patienceRatio = 1 / 3;
const lostRetryMilliseconds = 50;
/** What the front door adds to a wait that isn't told in order. */
const jitterRatio = 0.5;

/**
 * Creates callers that send nothing yet.
 *
 * @param options - virtual time and the instances
 * @returns the callers and what became of their requests
 */
export function createQuotaCallers({ history, random, take }: QuotaCallersOptions): QuotaCallers {
    const requests: CallerRequest[] = [];
    const requestUnits = async (
        account: ServingAccount,
        kind: CallerKind,
        request: CallerRequest,
        returns: number,
    ): Promise<void> => {
        const waited = history.now() - request.askedAt;
        const timeLeft = kind.deadline - waited;
        const decision = await take(account, kind.units, {
            kind: kind.name,
            priority: account.priority ?? kind.priority,
            objectiveLeft: Math.max(0, kind.objective - waited),
            waited,
            timeLeft,
        });
        if (decision?.kind === "admitted") {
            request.givenAt = history.now() + decision.delay;
            return;
        }
        request.refusals += decision ? 1 : 0;
        const wait = decision
            ? decision.wait * (decision.isOrdered ? 1 : 1 + jitterRatio * random.next())
            : lostRetryMilliseconds;
        request.toldTimes.push(history.now() + wait);
        if (returns < maximumReturns && wait <= timeLeft * patienceRatio) {
            history.schedule(wait, () => startDetached(requestUnits(account, kind, request, returns + 1)));
        }
    };
    const sendNext = (account: ServingAccount, kind: CallerKind, until: Milliseconds): void => {
        const now = history.now();
        const request: CallerRequest = {
            account: account.name,
            kind: kind.name,
            units: kind.units,
            askedAt: now,
            givenAt: undefined,
            toldTimes: [],
            refusals: 0,
        };
        requests.push(request);
        startDetached(requestUnits(account, kind, request, 0));
        // an even rate, with some chance in it
        const pause = kind.units / kind.readRate(now) * millisecondsPerSecond * (0.5 + random.next());
        if (now + pause < until) {
            history.schedule(pause, () => sendNext(account, kind, until));
        }
    };
    return {
        requests,
        send: (account, kinds, until) => kinds.forEach(kind => sendNext(account, kind, until)),
    };
}

/** What a kind of request got in a span of time. */
export interface CallerFigures {
    readonly asked: number;
    readonly given: number;
    /** Given before half of the objective was over, so that the rest is left to the servers. */
    readonly onTime: number;
}

/**
 * Sums what the requests of a kind got that were sent for the first time in a span of time.
 *
 * @param requests - requests of all accounts
 * @param select - the account, the kind with its objective, and the span
 * @returns units
 */
export function sumCallerUnits(
    requests: readonly CallerRequest[],
    select: {
        readonly account: string;
        readonly kind: Pick<CallerKind, "name" | "objective">;
        readonly from: Milliseconds;
        readonly until: Milliseconds;
    },
): CallerFigures {
    const { account, kind, from, until } = select;
    const selected = requests.filter(request =>
        request.account === account && request.kind === kind.name && request.askedAt >= from && request.askedAt < until
    );
    const sum = (isCounted: (request: CallerRequest) => boolean): number =>
        selected.filter(isCounted).reduce((total, { units }) => total + units, 0);
    return {
        asked: sum(() => true),
        given: sum(({ givenAt }) => givenAt !== undefined),
        onTime: sum(({ givenAt, askedAt }) => givenAt !== undefined && givenAt - askedAt <= kind.objective / 2),
    };
}

/**
 * Finds the window of a span in which least units were given.
 *
 * @param requests - requests of one account
 * @param window - length of the windows
 * @param span - begin and end of the span
 * @returns units given in that window
 */
export function findSmallestWindow(
    requests: readonly CallerRequest[],
    window: Milliseconds,
    [from, until]: readonly [Milliseconds, Milliseconds],
): number {
    const given = requests.filter(({ givenAt }) => givenAt !== undefined);
    let smallest = Number.POSITIVE_INFINITY;
    for (let start = from; start + window <= until; start += windowStepMilliseconds) {
        const sum = given.filter(({ givenAt }) => givenAt! >= start && givenAt! < start + window)
            .reduce((total, { units }) => total + units, 0);
        smallest = Math.min(smallest, sum);
    }
    return smallest;
}

const windowStepMilliseconds = 100;
