import { expect } from "chai";
import fc from "fast-check";
import { hashKey } from "../../shared/index.js";
import { resolveAccount } from "../authorize.js";
import { type BreakerState, listEjectedServers, updateBreaker } from "../circuitBreaker.js";
import { advanceLifecycle, beginLifecycle, type LifecycleEvent } from "../lifecycle.js";
import { resolveModelTarget } from "../resolveTarget.js";
import { addFirstAttempt, emptyRetryBudget, takeRetryCredit } from "../retryPolicy.js";
import { buildSettings, keyHash } from "./fakes.js";

const seed = 20261203;
const otherKey = hashKey("key-of-b");

describe("resolution of model names", () => {
    const settings = buildSettings();
    const resolve = (model: string, key: string | undefined): string => {
        const target = resolveModelTarget(settings, model, key);
        return target.ok
            ? `${target.value.route.id} ${target.value.adapter?.adapter ?? "base"} for ${target.value.account}`
            : target.error.reason;
    };

    it("finds a route, or an adapter through a route that permits it", () => {
        expect(resolve("quotes", keyHash)).to.equal("quotes springs for a");
        expect(resolve("springs", keyHash)).to.equal("quotes springs for a");
        expect(resolve("wire", keyHash)).to.equal("all-adapters wire for a");
        expect(resolve("wire", otherKey)).to.equal("forbidden");
        expect(resolve("wire", undefined)).to.equal("missingKey");
        expect(resolve("orders", keyHash)).to.equal("unknownModel");
        expect(resolve("__proto__", keyHash)).to.equal("unknownModel");
    });

    it("serves open routes without a key, and refuses an invalid key there too", () => {
        expect(resolve("open-quotes", undefined)).to.equal("open-quotes base for public");
        expect(resolve("open-quotes", keyHash)).to.equal("open-quotes base for a");
        expect(resolve("open-quotes", hashKey("guess"))).to.equal("wrongKey");
        const route = { ...settings.routes.get("open-quotes")!, openAccount: undefined };
        const refused = resolveAccount(settings, route, undefined);
        expect(refused.ok ? "served" : refused.error.reason).to.equal("forbidden");
    });
});

describe("circuit breaker", () => {
    const pool = ["a", "b", "c", "d"];

    it("ejects a server after three consecutive failures, longer each time, and at most half of a pool", () => {
        let state: BreakerState = new Map();
        const fail = (server: string, count: number, now: number): void => {
            for (let index = 0; index < count; index++) {
                state = updateBreaker(state, server, "faulty", now);
            }
        };
        fail("a", 2, 0);
        expect(listEjectedServers(state, pool, 0)).to.deep.equal([]);
        fail("a", 1, 0);
        expect(listEjectedServers(state, pool, 999)).to.deep.equal(["a"]);
        expect(listEjectedServers(state, pool, 1_000)).to.deep.equal([]);
        fail("a", 1, 1_000);
        expect(listEjectedServers(state, pool, 2_999)).to.deep.equal(["a"]);
        pool.forEach(server => fail(server, 3, 2_000));
        expect(listEjectedServers(state, pool, 2_500)).to.have.length(2);
        expect(listEjectedServers(state, ["a"], 2_500)).to.deep.equal([]);
        state = updateBreaker(state, "a", "worked", 2_500);
        expect(listEjectedServers(state, pool, 2_600)).to.not.include("a");
    });
});

describe("retry budget", () => {
    it("never allows more retries than the configured ratio of first attempts", () => {
        fc.assert(
            fc.property(fc.array(fc.boolean(), { maxLength: 300 }), wanted => {
                let budget = emptyRetryBudget;
                let retries = 0;
                wanted.forEach((wantsRetry, index) => {
                    budget = addFirstAttempt(budget, 0.1);
                    const taken = wantsRetry ? takeRetryCredit(budget, 1) : undefined;
                    retries += taken ? 1 : 0;
                    budget = taken ?? budget;
                    expect(retries).to.be.at.most((index + 1) * 0.1 + 1e-6);
                });
            }),
            { seed },
        );
    });
});

describe("lifecycle", () => {
    const adapter = { adapter: "springs", version: "v1" };
    const event: fc.Arbitrary<LifecycleEvent> = fc.oneof(
        fc.constantFrom<LifecycleEvent>(
            { kind: "reserved" },
            { kind: "placed", engine: "e1" },
            { kind: "placementRefused", error: { kind: "noEngine", detail: "" } },
            { kind: "pinLost" },
            { kind: "callerGone" },
            { kind: "deadlinePassed" },
            { kind: "withdrawn", reason: "keyWithdrawn", message: "" },
            { kind: "versionChanged", adapter: { adapter: "springs", version: "v2" } },
            { kind: "versionChanged", adapter: undefined },
        ),
        fc.record({
            kind: fc.constant("answered" as const),
            attempt: fc.integer({ min: 1, max: 3 }),
            event: fc.oneof(
                fc.constant({ kind: "accepted" as const, requestId: "r", adapter, incarnation: "i" }),
                fc.nat(3).map(index => ({ kind: "token" as const, index, text: String(index) })),
                fc.constant({ kind: "end" as const, reason: "stop" as const, promptTokens: 1, outputTokens: 1 }),
            ),
        }),
        fc.record({
            kind: fc.constant("backendFault" as const),
            attempt: fc.integer({ min: 1, max: 3 }),
            error: fc.constantFrom(
                { kind: "notSent" as const, detail: "" },
                { kind: "broken" as const, detail: "" },
                { kind: "refused" as const, reason: "leaving" as const, detail: "" },
            ),
            budget: fc.nat(1),
            jitter: fc.constant(0),
        }),
    );

    it("ends once, releases each pin once, emits each token once, and reports notRun only if nothing may have run", () => {
        fc.assert(
            fc.property(fc.array(event, { maxLength: 40 }), events => {
                let [state] = beginLifecycle(adapter, 8);
                let ends = 0;
                let pins = 0;
                let mayHaveRun = false;
                const tokens: string[] = [];
                for (const next of events) {
                    const [after, effects] = advanceLifecycle(state, next);
                    pins += next.kind === "placed" && after.phase === "pinned" && state.phase === "queued" ? 1 : 0;
                    mayHaveRun ||= next.kind === "backendFault" && next.error.kind === "broken"
                        && after !== state && next.attempt === state.attempt;
                    state = after;
                    for (const effect of effects) {
                        ends += effect.kind === "finish" ? 1 : 0;
                        pins -= effect.kind === "releasePin" ? 1 : 0;
                        if (effect.kind === "emit" && effect.event.kind === "token") {
                            tokens.push(effect.event.text);
                        }
                        if (effect.kind === "send") {
                            [state] = advanceLifecycle(state, { kind: "dispatching" });
                        }
                    }
                    expect(pins).to.be.within(0, 1);
                }
                expect(ends).to.equal(state.phase === "ended" ? 1 : 0);
                expect(pins).to.equal(state.phase === "dispatched" || state.phase === "streaming" ? 1 : 0);
                expect(tokens).to.deep.equal(tokens.map((text, index) => String(index)));
                if (state.outcome?.kind === "notRun") {
                    expect(mayHaveRun).to.equal(false);
                    expect(tokens).to.deep.equal([]);
                }
            }),
            { seed, numRuns: 5_000 },
        );
    });
});
