/**
 * Bench of the request path: load that retries add under an outage, and what it costs to run a request once only.
 *
 * @packageDocumentation
 */
import { Packr } from "msgpackr";
import type { BackendError } from "../backends/index.js";
import type { EpochView, MemberEpoch } from "../membership/index.js";
import type { PeerHandler, PeerNetwork } from "../peers/index.js";
import { type AtMostOnceProtocol, createAtMostOnceProtocol } from "../requests/atMostOnceProtocol.js";
import { type BreakerState, listEjectedServers, updateBreaker } from "../requests/circuitBreaker.js";
import type { AtMostOnceMessage, ClaimResult, ExecutionClaim } from "../requests/index.js";
import { createRecordReplica } from "../requests/recordReplica.js";
import { chooseReplicaGroup, partitionCount } from "../requests/replicaGroups.js";
import {
    addFirstAttempt,
    computeRetryCost,
    emptyRetryBudget,
    isRetriable,
    maximumAttempts,
    takeRetryCredit,
} from "../requests/retryPolicy.js";
import { createSeededRandom, type SeededRandom, wrapError, wrapValue } from "../shared/index.js";
import { createHistory, type History, startDetached } from "../testing/index.js";
import type { Bench, BenchBound, BenchLine, BenchRun } from "./harness.js";

const servers = Array.from({ length: 13 }, (unused, index) => `e${index}`);
const requestCount = 20_000;
const retryShare = 0.1;
const arrivalMilliseconds = 10;
const outageMinutes = 10;
const orderIntervalMilliseconds = 500;
const heldOrders = 50_000;
const membersOfRegion = 208;
const broken: BackendError = { kind: "broken", detail: "reset" };
const noMore: BenchBound = {
    kind: "atMost",
    value: 1.1,
    source: "issue 7: retries raise the load on the rest by at most 10%",
};

interface Outage {
    readonly name: string;
    /** How a try at a server ends; `undefined` when it works. */
    readonly draw: (server: string, random: SeededRandom) => BackendError | undefined;
    readonly isFaulty: (server: string) => boolean;
}

const outages: readonly Outage[] = [
    {
        name: "1 of 13 servers resets",
        draw: server => server === "e0" ? broken : undefined,
        isFaulty: server => server === "e0",
    },
    {
        name: "3 of 13 servers refuse connections",
        draw: server => ["e0", "e1", "e2"].includes(server) ? { kind: "notSent", detail: "refused" } : undefined,
        isFaulty: server => ["e0", "e1", "e2"].includes(server),
    },
    {
        name: "half of all answers break",
        draw: (server, random) => random.chance(0.5) ? broken : undefined,
        isFaulty: () => false,
    },
];

/** Bench `requests`. */
export const requestsBench: Bench = {
    name: "requests",
    run: async run => [
        ...outages.map(outage => compareRetries(outage, run)),
        ...await measureOnce(run),
        ...countAppends(),
        ...measureRecords(run),
    ],
};

function compareRetries(outage: Outage, run: BenchRun): BenchLine {
    return {
        what: `tries at the rest for each request, ${outage.name}`,
        unit: "tries",
        measure: "count",
        baseline: countTries(outage, run.seed, false),
        ours: countTries(outage, run.seed, true),
        bound: noMore,
    };
}

// the baseline tries as often as ours may, without budget or ejection
function countTries(outage: Outage, seed: number, limited: boolean): number {
    const random = createSeededRandom(seed);
    let budget = emptyRetryBudget;
    let breaker: BreakerState = new Map();
    let tries = 0;
    for (let request = 0; request < requestCount; request++) {
        const now = request * arrivalMilliseconds;
        const failed: string[] = [];
        budget = addFirstAttempt(budget, retryShare);
        for (let attempt = 1; attempt <= maximumAttempts; attempt++) {
            const ejected = limited ? listEjectedServers(breaker, servers, now) : [];
            const server = random.choose(servers.filter(name => !failed.includes(name) && !ejected.includes(name)));
            const error = outage.draw(server, random);
            tries += outage.isFaulty(server) ? 0 : 1;
            breaker = updateBreaker(breaker, server, error ? "faulty" : "worked", now);
            if (!error || !isRetriable(error)) {
                break;
            }
            const next = takeRetryCredit(budget, computeRetryCost(error));
            if (limited && !next) {
                break;
            }
            budget = next ?? budget;
            failed.push(server);
        }
    }
    return tries / requestCount;
}

async function measureOnce(run: BenchRun): Promise<readonly BenchLine[]> {
    const lines: BenchLine[] = [];
    for (const oneWay of [1, 2]) {
        const { delays } = await runOrders(run.seed, oneWay, false);
        lines.push({
            what: `delay that a claim adds, ${oneWay} ms one way, p95`,
            unit: "ms",
            measure: "virtualTime",
            // half a group of 20 ms, and an append of 5 ms
            baseline: 15,
            ours: delays[Math.floor(delays.length * 0.95)]!,
            bound: { kind: "atMost", value: 2 * oneWay, source: "one round trip to other failure domains" },
        });
    }
    const outage = await runOrders(run.seed, 1, true);
    lines.push({
        what: `orders refused as not run in ${outageMinutes} min without the log, one of 8 instances crashed`,
        unit: "orders",
        measure: "virtualTime",
        // a way that needs an append for each order refuses all of them
        baseline: outage.orders,
        ours: outage.refused,
        bound: { kind: "atMost", value: 0, source: "issue 7: orders stay possible during a log outage" },
    });
    return lines;
}

interface OrderRun {
    readonly delays: readonly number[];
    readonly orders: number;
    readonly refused: number;
}

type BenchMessage = { readonly id: number; readonly isAnswer: boolean; readonly body: AtMostOnceMessage | undefined; };

async function runOrders(seed: number, oneWay: number, withCrash: boolean): Promise<OrderRun> {
    const history = createHistory<BenchMessage>({ seed, minimumDelay: oneWay, maximumDelay: oneWay });
    const members = Array.from({ length: 8 }, (unused, index) => `i${index}`);
    const failureDomains = new Map(members.map((id, index) => [id, `d${index % 3}`]));
    const epoch: MemberEpoch = { number: 0, members, previousMembers: [], failureDomains, gainsAllowedAt: 0 };
    const epochs: EpochView = { read: () => epoch, readValidUntil: () => Infinity, subscribe: () => () => undefined };
    const protocols = members.map(self =>
        createAtMostOnceProtocol({
            self,
            peers: createBenchPeers(history, self),
            epochs,
            membership: {
                read: () => ({ revision: 1, instances: [], backendServers: [] }),
                subscribe: () => () => undefined,
            },
            clock: history.clock,
            random: history.random,
        })
    );
    const live = withCrash ? protocols.slice(1) : protocols;
    if (withCrash) {
        history.crash(members[0]!);
    }
    const orders = withCrash ? outageMinutes * 60_000 / orderIntervalMilliseconds : 500;
    const run = { delays: [] as number[], orders, refused: 0 };
    for (let order = 0; order < orders; order++) {
        history.schedule(order * orderIntervalMilliseconds, () => {
            startDetached(requestOrder(history, history.random.choose(live), `order-${order}`, run));
        });
    }
    await history.runAsync((orders + 10) * orderIntervalMilliseconds);
    run.delays.sort((left, right) => left - right);
    return run;
}

async function requestOrder(
    history: History<BenchMessage>,
    protocol: AtMostOnceProtocol,
    key: string,
    run: { readonly delays: number[]; refused: number; },
): Promise<void> {
    const startedAt = history.now();
    const claimed = await protocol.claim(key, "f", startedAt + 10_000, new AbortController().signal);
    if (claimed.kind !== "won") {
        run.refused++;
        return;
    }
    run.delays.push(history.now() - startedAt);
    claimed.claim.settle({ outcome: { kind: "completed" } });
}

function createBenchPeers(history: History<BenchMessage>, self: string): PeerNetwork {
    const waiting = new Map<number, (body: AtMostOnceMessage | undefined) => void>();
    let handleBody: PeerHandler<"outcomes"> | undefined;
    let requests = 0;
    history.setHandler(self, (from, { id, isAnswer, body }) => {
        if (isAnswer) {
            waiting.get(id)?.(body);
            return;
        }
        startDetached(
            Promise.resolve(handleBody?.(from, body!)).then(answer =>
                history.send(self, from, { id, isAnswer: true, body: answer })
            ),
        );
    });
    return {
        self,
        send: () => undefined,
        handle: (topic, wanted) => {
            handleBody = wanted as unknown as PeerHandler<"outcomes">;
        },
        request: async (to, topic, body, timeout) => {
            const id = ++requests;
            const answer = new Promise<AtMostOnceMessage | undefined>(resolve => waiting.set(id, resolve));
            history.send(self, to, { id, isAnswer: false, body: body as AtMostOnceMessage });
            const received = await Promise.race([answer, history.clock.sleep(timeout)]);
            waiting.delete(id);
            return received ? wrapValue(received as typeof body) : wrapError({ kind: "timeout" });
        },
    };
}

function measureRecords(run: BenchRun): readonly BenchLine[] {
    const codec = new Packr();
    const claim = { claimId: "i-0123456789/1", coordinator: "i-0123456789", fingerprint: "f".repeat(64) };
    const response = { status: 201, headers: { "content-type": "application/json" }, body: new Uint8Array(200) };
    const result: ClaimResult = { outcome: { kind: "completed" }, response };
    const key = "k".repeat(64);
    const bytes = codec.encode({ kind: "claim", key, epoch: 1, claim }).length
        + codec.encode({ kind: "granted" }).length
        + codec.encode({ kind: "settle", key, epoch: 1, claim: { ...claim, result } }).length
        + codec.encode({ kind: "stored" }).length;
    const line: BenchLine = {
        what: "bytes between an order's coordinator and one holder",
        unit: "B",
        measure: "count",
        ours: bytes,
    };
    return run.wallClock ? [line, ...measureHolder(claim, result)] : [line];
}

function measureHolder(claim: ExecutionClaim, result: ClaimResult): readonly BenchLine[] {
    const holder = createRecordReplica("i0", 900_000);
    holder.acceptEpoch({ number: 0, members: ["i0"], previousMembers: [], gainsAllowedAt: 0 }, 0);
    const heapBefore = process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
    const startedAt = performance.now();
    for (let order = 0; order < heldOrders; order++) {
        const key = `order-${order}`;
        const own = { ...claim, claimId: `i0/${order}` };
        holder.acceptClaim({ kind: "claim", key, epoch: 0, claim: own }, 0, Infinity);
        const kept = { ...result, response: { ...result.response!, body: new Uint8Array(200) } };
        holder.acceptSettlement({ kind: "settle", key, epoch: 0, claim: { ...own, result: kept } }, 0);
    }
    const elapsed = performance.now() - startedAt;
    const heapAfter = process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
    return [
        {
            what: "time to choose all groups after one of 208 members was replaced",
            unit: "ms",
            measure: "wallClock",
            ours: measureGroups(),
        },
        { what: "time of a holder for an order", unit: "us", measure: "wallClock", ours: elapsed * 1_000 / heldOrders },
        {
            what: "memory of a holder for an order",
            unit: "B",
            measure: "wallClock",
            ours: (heapAfter - heapBefore) / heldOrders,
        },
    ];
}

function measureGroups(): number {
    const buildEpoch = (first: number) => {
        const members = Array.from({ length: membersOfRegion }, (unused, index) => `i-${first + index}`);
        return { members, failureDomains: new Map(members.map((id, index) => [id, `d${index % 4}`])) };
    };
    const [before, after] = [buildEpoch(0), buildEpoch(1)];
    const chooseAll = (epoch: typeof before): void => {
        for (let partition = 0; partition < partitionCount; partition++) {
            chooseReplicaGroup(partition, epoch);
        }
    };
    chooseAll(before);
    const startedAt = performance.now();
    chooseAll(after);
    return performance.now() - startedAt;
}

// 1 of 100 requests is assumed to be an order
function countAppends(): readonly BenchLine[] {
    const groupMilliseconds = 20;
    const sizes = [
        { name: "today, 8 instances", instances: 8, orders: 10 },
        { name: "the letter's size, 2,500 instances", instances: 2_500, orders: 1_000 },
    ];
    return sizes.map(({ name, instances, orders }) => ({
        what: `appends to the log for orders, ${name}`,
        unit: "appends/s",
        measure: "count",
        // an order is recorded before and after, grouped by each instance for 20 ms
        baseline: Math.min(2 * orders, instances * 1_000 / groupMilliseconds),
        ours: 0,
        bound: { kind: "atMost", value: 300, source: "brief: the log takes several hundred appends a second" },
    }));
}
