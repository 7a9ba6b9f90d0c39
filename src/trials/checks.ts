/**
 * Whether the promises were kept, judged by what callers got and by the stand-ins' own records.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import { makeTokenText, type Standins } from "../standins/index.js";
import type { TrialCall, TrialKey } from "./callers.js";

/** What a trial leaves behind. */
export interface TrialEvidence {
    readonly standins: Standins;
    readonly calls: readonly TrialCall[];
    readonly keys: readonly TrialKey[];
    /** Versions that each adapter has had. */
    readonly versions: ReadonlyMap<string, readonly string[]>;
    /** When each withdrawn key was withdrawn. */
    readonly withdrawnAt: ReadonlyMap<string, Milliseconds>;
    /** When each leaving engine was listed as leaving, and when it was live again. */
    readonly leavingPeriods: readonly {
        readonly engine: string;
        readonly from: Milliseconds;
        readonly to: Milliseconds;
    }[];
    /** Outages of the instance list; until their end nobody can know who is leaving. */
    readonly listOutages: readonly { readonly from: Milliseconds; readonly to: Milliseconds; }[];
    readonly limits: ReadonlyMap<string, { readonly rate: number; readonly burst: number; }>;
}

/** A promise and how often it was broken. */
export interface GuaranteeCheck {
    readonly promise: string;
    readonly breaches: readonly string[];
}

const withdrawalLimitMilliseconds = 3_000;
const leavingLimitMilliseconds = 3_000;
const draftTokens = 24;
const confirmedStatus = 201;

/**
 * Checks every promise.
 *
 * @param evidence - what the trial left
 * @returns the promises with their breaches
 */
export function checkGuarantees(evidence: TrialEvidence): readonly GuaranteeCheck[] {
    return [
        { promise: "every request runs on its adapter and version", breaches: listWrongRuns(evidence) },
        { promise: "an adapter in use is never evicted", breaches: listEvictionsInUse(evidence) },
        { promise: "a caller gets the whole answer to its own request", breaches: listWrongAnswers(evidence) },
        { promise: "no backend server sees a key", breaches: listLeakedKeys(evidence) },
        { promise: "a withdrawn key stops working within 3 s", breaches: listLateKeys(evidence) },
        { promise: "no account gets more than rate and burst", breaches: listRateViolations(evidence) },
        { promise: "not run is true", breaches: listFalseRefusals(evidence) },
        { promise: "an order runs at most once, and a completed one did", breaches: listWrongOrders(evidence) },
        { promise: "a leaving engine gets no new work after 3 s", breaches: listLateWork(evidence) },
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

// a request was granted its tokens at some time between its sending and its end, so that every window that holds the
// whole of some requests must have room for all of them
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
        // a service's own refusal is its whole answer, and passed on as such
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
