/**
 * Seeded histories of servers that end under one request, or from outside, seen by several instances that report to one
 * that decides. Virtual time; reports take no time, and all instances know a quarantine at once.
 */
import { createSeededRandom, type SeededRandom } from "../../shared/index.js";
import { type CrashReporter, createCrashReporter } from "../crashReporter.js";
import { createQuarantineDecider } from "../quarantineDecider.js";
import { createQuarantineList, type QuarantineList } from "../quarantineList.js";
import type { BrokenRequest, GuardedRequest } from "../types.js";

/** What a history holds. */
export interface CrashHistoryOptions {
    readonly seed: number;
    /** `lookup`: ends after some milliseconds; `stream`: begins late, and counts as sound half a second later. */
    readonly shape: "lookup" | "stream";
    /** Whether one request ends each server that runs it. */
    readonly hasCrashingRequest: boolean;
    readonly outsideEndsPerSecond: number;
}

/** What happened. */
export interface CrashHistoryResult {
    /** Servers that the crashing request reached later than the stable window after the third had ended under it. */
    readonly lateTries: number;
    /** Common requests, sent by many, that were refused at any time, and the longest time for which one was. */
    readonly refusedCommon: number;
    readonly longestRefusal: number;
    /** Requests sent by one client alone that were refused. */
    readonly refusedSingle: number;
    readonly requests: number;
}

interface RunningRequest {
    readonly request: BrokenRequest;
    readonly instance: number;
    readonly server: number;
    readonly beganAt: number;
    readonly endsAt: number;
    readonly triesLeft: number;
    isSound: boolean;
}

const stepMilliseconds = 10;
const durationMilliseconds = 30_000;
const stableWindowMilliseconds = 3_000;
const instanceCount = 8;
const serverCount = 13;
const restartMilliseconds = 4_000;
const reportIntervalMilliseconds = 100;
const requestsPerSecond = 50;
const commonShare = 0.5;
const commonCount = 30;
const crashingIntervalMilliseconds = 1_200;
const clientRetryMilliseconds = 300;
const soundMilliseconds = 500;
const crashingDigest = "crashing";
const service = "s";

interface HistoryState {
    readonly options: CrashHistoryOptions;
    readonly list: QuarantineList;
    readonly reporters: readonly CrashReporter[];
    readonly random: SeededRandom;
    readonly running: RunningRequest[];
    readonly retries: { readonly at: number; readonly request: BrokenRequest; }[];
    readonly backAt: number[];
    readonly runs: number[];
    readonly crashes: number[];
    readonly refusedSince: Map<string, number>;
    readonly refused: Set<string>;
    longestRefusal: number;
    lateTries: number;
    requests: number;
}

/**
 * Runs one history.
 *
 * @param options - seed and kind
 * @returns what happened
 */
export async function runCrashHistory(options: CrashHistoryOptions): Promise<CrashHistoryResult> {
    let now = 0;
    const list = createQuarantineList();
    const decider = createQuarantineDecider({ list, publish: () => Promise.resolve(true), now: () => now });
    const reporters = Array.from(
        { length: instanceCount },
        () => createCrashReporter(scope => list.find(scope) !== undefined),
    );
    const state = createState(options, list, reporters);
    let tracked = 0;
    for (; now < durationMilliseconds; now += stepMilliseconds) {
        sendDue(state, now);
        endRequests(state, now);
        if (state.random.chance(options.outsideEndsPerSecond * stepMilliseconds / 1_000)) {
            endServer(state, state.random.between(0, serverCount - 1), now);
        }
        if (now % reportIntervalMilliseconds === 0) {
            for (const reporter of reporters) {
                const report = reporter.createReport("decider", now);
                if (report) {
                    reporter.watchScopes(decider.receiveReport(report, now), now);
                    reporter.markReceived("decider", report);
                }
            }
            await decider.update(now);
            const known = list.list();
            if (known.length !== tracked) {
                known.forEach(quarantine => reporters.forEach(reporter => reporter.trackQuarantine(quarantine, now)));
                tracked = known.length;
            }
        }
    }
    const common = [...state.refused].filter(digest => digest.startsWith("common"));
    return {
        lateTries: state.lateTries,
        refusedCommon: common.length,
        longestRefusal: state.longestRefusal,
        refusedSingle: [...state.refused].filter(digest => digest.startsWith("single")).length,
        requests: state.requests,
    };
}

function createState(
    options: CrashHistoryOptions,
    list: QuarantineList,
    reporters: readonly CrashReporter[],
): HistoryState {
    return {
        options,
        list,
        reporters,
        random: createSeededRandom(options.seed),
        running: [],
        retries: [],
        backAt: Array.from({ length: serverCount }, () => 0),
        runs: Array.from({ length: serverCount }, () => 0),
        crashes: [],
        refusedSince: new Map(),
        refused: new Set(),
        longestRefusal: 0,
        lateTries: 0,
        requests: 0,
    };
}

function createRequest(digest: string, account: string, shape: CrashHistoryOptions["shape"]): BrokenRequest {
    return shape === "lookup"
        ? { digest, account, own: "", shared: [] }
        : { digest, account, own: digest, shared: ["first"] };
}

function sendDue(state: HistoryState, now: number): void {
    const { options, reporters } = state;
    const { random } = state;
    const due = state.retries.filter(({ at }) => at <= now);
    due.forEach(retry => state.retries.splice(state.retries.indexOf(retry), 1));
    const requests = due.map(({ request }) => ({ request, isFirst: false }));
    if (random.chance(requestsPerSecond * stepMilliseconds / 1_000)) {
        const account = `account-${random.between(0, 4)}`;
        const digest = random.chance(commonShare)
            ? `common-${account}-${random.between(0, commonCount - 1)}`
            : `single-${state.requests}`;
        requests.push({ request: createRequest(digest, account, options.shape), isFirst: true });
    }
    if (options.hasCrashingRequest && now > 2_000 && now % crashingIntervalMilliseconds === 0) {
        requests.push({ request: createRequest(crashingDigest, "account-0", options.shape), isFirst: true });
    }
    for (const { request, isFirst } of requests) {
        state.requests++;
        sendAttempt(
            state,
            { request, instance: random.between(0, reporters.length - 1), triesLeft: isFirst ? 2 : 1 },
            now,
        );
    }
}

function sendAttempt(
    state: HistoryState,
    { request, instance, triesLeft }: Pick<RunningRequest, "request" | "instance" | "triesLeft">,
    now: number,
): void {
    const { options, list, random } = state;
    const { digest } = request;
    const guarded: GuardedRequest = { ...request, prompt: { shared: request.shared, own: request.own } };
    if (list.decide(guarded, now).kind !== "open") {
        state.refused.add(digest);
        state.refusedSince.set(digest, state.refusedSince.get(digest) ?? now);
        if (digest.startsWith("common")) {
            state.longestRefusal = Math.max(state.longestRefusal, now - state.refusedSince.get(digest)!);
        }
        return;
    }
    state.refusedSince.delete(digest);
    const up = state.backAt.flatMap((at, server) => at <= now ? [server] : []);
    if (up.length === 0) {
        return;
    }
    const [third] = state.crashes.slice(2);
    if (digest === crashingDigest && third !== undefined && now > third + stableWindowMilliseconds) {
        state.lateTries++;
    }
    const beganAt = now + (options.shape === "lookup" ? random.between(0, 10) : random.between(20, 400));
    const endsAt = beganAt + (options.shape === "lookup" ? random.between(10, 60) : random.between(600, 2_500));
    state.running.push({
        request,
        instance,
        server: random.choose(up),
        beganAt,
        endsAt: digest === crashingDigest ? beganAt + random.between(20, 100) : endsAt,
        triesLeft,
        isSound: false,
    });
}

function endRequests(state: HistoryState, now: number): void {
    const { reporters } = state;
    const { running } = state;
    for (const each of [...running]) {
        const { request, beganAt, endsAt } = each;
        const isCrashing = request.digest === crashingDigest;
        if (!running.includes(each)) {
            continue;
        }
        if (!each.isSound && !isCrashing && now >= Math.min(endsAt, beganAt + soundMilliseconds)) {
            each.isSound = true;
            reporters[each.instance]!.markAnswered({ ...request, beganAt });
        }
        if (now >= endsAt) {
            if (isCrashing) {
                state.crashes.push(now);
                endServer(state, each.server, now);
            }
            else {
                running.splice(running.indexOf(each), 1);
            }
        }
    }
}

// requests that were not sound yet are sent once more, then again by their client
function endServer(state: HistoryState, server: number, now: number): void {
    const { reporters } = state;
    const run = `${server}/${state.runs[server]}`;
    const lost = state.running.filter(each => each.server === server);
    state.backAt[server] = now + restartMilliseconds;
    state.runs[server]!++;
    for (const each of lost) {
        state.running.splice(state.running.indexOf(each), 1);
        if (!each.isSound) {
            reporters[each.instance]!.markBroken({ run, service }, each.request, now);
            if (each.triesLeft > 0) {
                state.retries.push({
                    at: now + (each.triesLeft > 1 ? 10 : clientRetryMilliseconds),
                    request: each.request,
                });
            }
        }
    }
}
