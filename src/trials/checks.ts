/**
 * Checks whether the guarantees of the serving layer held in a trial. The evidence is what callers received and what the
 * stand-ins recorded.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { makeTokenText, type Standins } from "../standins/index.js";
import type { TrialCall, TrialKey } from "./callers.js";

/** Evidence of a trial, on which the checks are based. Times are on the monotonic clock. */
export interface TrialEvidence {
    readonly standins: Standins;
    readonly calls: readonly TrialCall[];
    readonly keys: readonly TrialKey[];
    /** All versions that each adapter has had. */
    readonly versions: ReadonlyMap<string, readonly string[]>;
    /** Time at which each withdrawn key was withdrawn, by the name of the key. */
    readonly withdrawnAt: ReadonlyMap<string, Milliseconds>;
    /** Periods in which an engine was listed as leaving. */
    readonly leavingPeriods: readonly {
        readonly engine: string;
        readonly from: Milliseconds;
        readonly to: Milliseconds;
    }[];
    /** Outages of the instance list. During an outage, instances cannot learn which engines are leaving. */
    readonly listOutages: readonly { readonly from: Milliseconds; readonly to: Milliseconds; }[];
    /** Token limits of each client account: tokens per second and burst. */
    readonly limits: ReadonlyMap<string, { readonly rate: number; readonly burst: number; }>;
}

/** A guarantee with a line for each breach; without lines, it held. */
export interface GuaranteeCheck {
    readonly guarantee: string;
    readonly breaches: readonly string[];
}

const withdrawalLimitMilliseconds = 3_000;
const leavingLimitMilliseconds = 3_000;
const draftTokens = 24;
const confirmedStatus = 201;

/**
 * Checks every guarantee against the evidence of a trial.
 *
 * @param evidence - evidence of the whole trial
 * @returns all guarantees with their breaches
 */
export function checkGuarantees(evidence: TrialEvidence): readonly GuaranteeCheck[] {
    return [
        {
            guarantee: "every request runs on the adapter and version that it asked for",
            breaches: listWrongRuns(evidence),
        },
        { guarantee: "an adapter in use is never evicted", breaches: listEvictionsInUse(evidence) },
        {
            guarantee: "a completed answer is the whole answer to the caller's own request",
            breaches: listWrongAnswers(evidence),
        },
        { guarantee: "no backend server receives a client key", breaches: listLeakedKeys(evidence) },
        { guarantee: "a withdrawn key stops working within 3 s", breaches: listLateKeys(evidence) },
        { guarantee: "no client account exceeds its rate and burst", breaches: listRateViolations(evidence) },
        { guarantee: "a request that was reported as not run has not run", breaches: listFalseRefusals(evidence) },
        { guarantee: "an order runs at most once, and a confirmed order has run", breaches: listWrongOrders(evidence) },
        { guarantee: "a leaving engine gets no new work after 3 s", breaches: listLateWork(evidence) },
    ];
}

function listWrongRuns({ standins }: TrialEvidence): readonly string[] {
    const records = [...standins.engines.values()].map(engine => engine.model.record);
    return [
        ...records.flatMap(record => record.starts).filter(start => start.asked !== start.ranOn)
            .map(start => `${start.requestId} asked for ${start.asked}, ran on ${start.ranOn}`),
        ...records.flatMap(record => record.wrongTokens).map(token =>
            `${token.requestId} got tokens of ${token.ranOn}`
        ),
    ];
}

function listEvictionsInUse({ standins }: TrialEvidence): readonly string[] {
    return [...standins.engines].flatMap(([id, engine]) =>
        engine.model.record.evictions.filter(eviction => eviction.uses > 0)
            .map(eviction => `${eviction.name} on ${id} with ${eviction.uses} uses`)
    );
}

function listWrongAnswers({ calls, versions }: TrialEvidence): readonly string[] {
    const computeText = (prompt: string, name: string): string =>
        Array.from({ length: draftTokens }, (unused, index) => makeTokenText(prompt, name, index)).join("");
    return calls
        .filter(call => call.kind === "draft" && call.answer?.isComplete)
        .filter(call =>
            !(versions.get(call.subject) ?? []).some(version =>
                call.answer!.text === computeText(call.prompt, `${call.subject}@${version}`)
            )
        )
        .map(call => `${call.answer!.requestId}: ${call.answer!.text}`);
}

function listLeakedKeys({ standins, keys }: TrialEvidence): readonly string[] {
    const servers = [...standins.engines.values(), ...standins.services.values()];
    return servers
        .flatMap(server => server.received)
        .filter(received => keys.some(({ key }) => JSON.stringify(received).includes(key)))
        .map(received => `${received.method} ${received.url}`);
}

function listLateKeys({ calls, withdrawnAt }: TrialEvidence): readonly string[] {
    return calls
        .filter(call => call.answer?.outcome === "completed")
        .filter(call => call.sentAt > (withdrawnAt.get(call.keyName) ?? Infinity) + withdrawalLimitMilliseconds)
        .map(call => `${call.keyName} completed a ${call.kind} sent at ${Math.round(call.sentAt)}`);
}

// The tokens of a request are granted at an unknown time between its start and its end. Therefore, a time window is only
// checked against the requests that lie completely inside it: their tokens must fit within the rate and burst.
function listRateViolations({ calls, limits }: TrialEvidence): readonly string[] {
    const breaches: string[] = [];
    for (const [account, { rate, burst }] of limits) {
        const completedDrafts = calls.filter(call =>
            call.account === account && call.kind === "draft" && call.answer?.outcome === "completed"
        );
        const byEnd = [...completedDrafts].sort((left, right) => left.endedAt - right.endedAt);
        for (const { sentAt: from } of completedDrafts) {
            let tokens = 0;
            for (const call of byEnd) {
                tokens += call.sentAt >= from ? draftTokens : 0;
                const allowedTokens = rate * (call.endedAt - from) / 1_000 + burst;
                if (call.sentAt >= from && tokens > allowedTokens) {
                    breaches.push(`${account}: ${tokens} tokens within ${Math.round(call.endedAt - from)} ms`);
                    break;
                }
            }
        }
    }
    return breaches;
}

function listFalseRefusals({ standins, calls }: TrialEvidence): readonly string[] {
    const started = new Set([
        ...[...standins.engines.values()].flatMap(engine => engine.model.record.starts.map(start => start.requestId)),
        ...[...standins.services.values()].flatMap(service => service.received.map(readRequestId)),
    ]);
    return calls
        .filter(call => call.answer?.outcome === "notRun" && started.has(call.answer.requestId))
        .map(call => `${call.kind} ${call.answer!.requestId} (${call.answer!.reason}) did run`);
}

function readRequestId(received: { readonly rawHeaders: readonly string[]; }): string {
    const position = received.rawHeaders.findIndex(header => header.toLowerCase() === "x-request-id");
    return position < 0 ? "" : received.rawHeaders[position + 1]!;
}

function listWrongOrders({ standins, calls }: TrialEvidence): readonly string[] {
    const countRuns = (order: string): number =>
        [...standins.services.values()].reduce((sum, service) => sum + (service.runs.get(order) ?? 0), 0);
    const orders = [...new Set(calls.filter(call => call.kind === "order").map(call => call.subject))];
    return orders.flatMap(order => {
        const runs = countRuns(order);
        const outcomes = calls.filter(call => call.subject === order).map(call => call.answer?.outcome);
        // a service can refuse an order in a completed response, so only the status shows that the order has run
        const isConfirmed = calls.some(call => call.subject === order && call.answer?.status === confirmedStatus);
        const isFalseCompletion = isConfirmed && runs === 0;
        const isFalseRefusal = outcomes.every(outcome => outcome === "notRun") && runs > 0;
        return runs > 1 || isFalseCompletion || isFalseRefusal
            ? [`${order} ran ${runs} times: ${outcomes.join()}`]
            : [];
    });
}

function listLateWork({ standins, leavingPeriods: leavings, listOutages }: TrialEvidence): readonly string[] {
    return leavings.flatMap(({ engine, from, to }) => {
        const outages = listOutages.filter(outage => outage.to > from && outage.from < from + leavingLimitMilliseconds);
        const knownFrom = Math.max(from, ...outages.map(outage => outage.to));
        return standins.engines.get(engine)!.model.record.starts
            .filter(start => start.at > knownFrom + leavingLimitMilliseconds && start.at < to)
            .map(start => `${start.requestId} on ${engine} ${Math.round(start.at - from)} ms after it was leaving`);
    });
}
