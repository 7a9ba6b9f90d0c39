import { expect } from "chai";
import type { BackendBehavior } from "../../standins/faultyBackend.js";
import { expectSnapshot, startDetached } from "../../testing/index.js";
import { type InstanceFixture, type Moment, startInstanceFixture } from "./instanceFixture.js";

const shortDeadlineMilliseconds = 250;

const faultyBehaviors: Readonly<Record<string, BackendBehavior>> = {
    "refused: overloaded": { kind: "refuse", status: 429, type: "overloaded" },
    "refused: leaving": { kind: "refuse", status: 503, type: "leaving" },
    "refused: restarted": { kind: "refuse", status: 409, type: "wrong_incarnation" },
    "refused: adapter absent": { kind: "refuse", status: 404, type: "adapter_absent" },
    failed: { kind: "refuse", status: 500, type: "failed" },
    "a status outside the protocol": { kind: "refuse", status: 502, type: "bad_gateway" },
    "reset before running": { kind: "resetUnanswered", runs: false },
    "reset before the first byte": { kind: "resetUnanswered", runs: true },
    "reset after the head": { kind: "resetMidway", tokens: 0 },
    "reset after two tokens": { kind: "resetMidway", tokens: 2 },
    "half a response with a regular end": { kind: "halfAnswer", tokens: 2 },
    slow: { kind: "slow", pieceDelayMilliseconds: 5 },
    "wrong response id": { kind: "wrongId" },
    "wrong version": { kind: "wrongVersion" },
    "not HTTP": { kind: "raw", bytes: "HELLO\r\n\r\n" },
    "a response without an id": {
        kind: "raw",
        bytes: 'HTTP/1.1 503 X\r\ncontent-length: 44\r\n\r\n{"error":{"type":"leaving","message":"none"}}',
    },
};

describe("requests to faulty backend servers", () => {
    let fixture: InstanceFixture;
    afterEach(() => fixture.stop());

    for (const [name, behavior] of Object.entries(faultyBehaviors)) {
        it(`model call, ${name}`, async function() {
            fixture = await startInstanceFixture();
            fixture.first.planBehaviors(behavior);
            const seen = await fixture.callModel();
            checkNothingHeld(fixture);
            expectSnapshot(this.test, [...seen, ...fixture.describe()].join("\n"));
        });
        for (const route of ["stock", "orders"] as const) {
            it(`${route}, ${name}`, async function() {
                fixture = await startInstanceFixture();
                fixture.first.planBehaviors(behavior);
                const seen = await fixture.callService(route, route === "orders" ? "order-1" : undefined);
                checkNothingHeld(fixture);
                checkRunCount(fixture, route, seen);
                expectSnapshot(this.test, [seen, ...fixture.describe()].join("\n"));
            });
        }
    }

    for (const behavior of [{ kind: "hang" }, { kind: "stall", tokens: 2 }] as const) {
        it(`a backend server that hangs (${behavior.kind}) delays no caller past the deadline`, async function() {
            fixture = await startInstanceFixture(shortDeadlineMilliseconds);
            fixture.first.planBehaviors(behavior, behavior, behavior);
            const seen = [
                ...await fixture.callModel(),
                `stock: ${await fixture.callService("stock")}`,
                `orders: ${await fixture.callService("orders", "order-1")}`,
            ];
            checkNothingHeld(fixture);
            expectSnapshot(this.test, [...seen, ...fixture.describe()].join("\n"));
        });
    }

    it("an engine that stops sending is replaced by another one, which resumes the response", async function() {
        fixture = await startInstanceFixture(undefined, { idleTimeout: 100 });
        fixture.first.planBehaviors({ kind: "stall", tokens: 2 });
        const seen = await fixture.callModel();
        checkNothingHeld(fixture);
        expectSnapshot(this.test, [...seen, ...fixture.describe()].join("\n"));
    }).timeout(10_000);

    it("a refused connection proves that the request did not run", async function() {
        fixture = await startInstanceFixture();
        await fixture.first.stop();
        const seen = [
            ...await fixture.callModel(),
            `stock: ${await fixture.callService("stock")}`,
            `orders: ${await fixture.callService("orders", "order-1")}`,
        ];
        await fixture.second.stop();
        seen.push(
            ...await fixture.callModel(),
            `stock: ${await fixture.callService("stock")}`,
            `orders: ${await fixture.callService("orders", "order-2")}`,
        );
        checkNothingHeld(fixture);
        expectSnapshot(this.test, [...seen, ...fixture.describe()].join("\n"));
    });

    it("a late response to an earlier request on a reused connection is not taken for the current one", async function() {
        fixture = await startInstanceFixture();
        fixture.first.planBehaviors({ kind: "answer" }, { kind: "leftover" });
        fixture.second.planBehaviors({ kind: "leftover" });
        const seen: string[] = [];
        for (let index = 0; index < 3; index++) {
            seen.push(...await fixture.callModel(), `stock: ${await fixture.callService("stock")}`);
        }
        checkNothingHeld(fixture);
        expectSnapshot(this.test, [...seen, ...fixture.describe()].join("\n"));
    });

    it("two swapped responses reach neither caller", async function() {
        fixture = await startInstanceFixture();
        fixture.first.planBehaviors({ kind: "crossed" }, { kind: "crossed" });
        const [left, right] = await Promise.all([fixture.callModel(), fixture.callModel()]);
        expect(left.at(-1)).to.equal("outcome completed");
        expect(right.at(-1)).to.equal("outcome completed");
        checkNothingHeld(fixture);
        await fixture.second.stop();
        fixture.first.planBehaviors({ kind: "crossed" }, { kind: "crossed" });
        const orders = await Promise.all([
            fixture.callService("orders", "order-1"),
            fixture.callService("orders", "order-2"),
        ]);
        expectSnapshot(this.test, [...left, ...right, ...orders].join("\n"));
    });

    it("a response is resumed at another engine after its engine restarted", async function() {
        fixture = await startInstanceFixture();
        fixture.first.planBehaviors({ kind: "stall", tokens: 2 });
        fixture.at("streaming", () => fixture.first.restart());
        const seen = await fixture.callModel();
        checkNothingHeld(fixture);
        expectSnapshot(this.test, [...seen, ...fixture.describe()].join("\n"));
    });

    const disruptions: Readonly<Record<string, (fixture: InstanceFixture) => void>> = {
        "key withdrawn": fixture => fixture.settings.change({ keys: new Map() }),
        "version withdrawn": fixture => fixture.settings.change({ adapters: new Map() }),
        "version changed": fixture =>
            fixture.settings.change({
                adapters: new Map([["springs", { id: "springs", baseModel: "base", version: "v2" }]]),
            }),
        "caller disconnected": fixture => fixture.leave.abort(),
        "instance drains": fixture => startDetached(fixture.task.service.drain()),
    };
    const moments: readonly Moment[] = ["admitted", "queued", "pinned", "dispatched", "streaming"];
    for (const [name, applyDisruption] of Object.entries(disruptions)) {
        for (const moment of moments) {
            it(`model call, ${name} when ${moment}`, async function() {
                fixture = await startInstanceFixture(1_000);
                if (moment === "dispatched") {
                    fixture.first.planBehaviors({ kind: "slow", pieceDelayMilliseconds: 20 });
                }
                if (moment === "streaming") {
                    fixture.first.planBehaviors({ kind: "stall", tokens: 2 });
                    fixture.at(moment, () => {
                        applyDisruption(fixture);
                        fixture.first.restart();
                    });
                }
                else {
                    fixture.at(moment, () => applyDisruption(fixture));
                }
                const seen = await fixture.callModel();
                checkNothingHeld(fixture);
                expectSnapshot(this.test, [...seen, ...fixture.describe()].join("\n"));
            });
        }
        for (const moment of ["admitted", "dispatched"] as const) {
            it(`order, ${name} when ${moment}`, async function() {
                fixture = await startInstanceFixture(1_000);
                fixture.first.planBehaviors({ kind: "slow", pieceDelayMilliseconds: 10 });
                fixture.at(moment, () => applyDisruption(fixture));
                const seen = await fixture.callService("orders", "order-1");
                checkNothingHeld(fixture);
                checkRunCount(fixture, "orders", seen);
                expectSnapshot(this.test, [seen, ...fixture.describe()].join("\n"));
            });
        }
    }

    it("a leaving plain service gets no new calls, and a draining instance accepts none", async () => {
        fixture = await startInstanceFixture(undefined, { firstState: "leaving" });
        const seen = await Promise.all([fixture.callService("stock"), fixture.callService("orders", "order-1")]);
        expect(seen).to.deep.equal(Array(2).fill("outcome completed 201 one two three four"));
        expect([fixture.first.runs.length, fixture.second.runs.length]).to.deep.equal([0, 2]);
        await fixture.task.service.drain();
        expect(await fixture.callService("stock")).to.equal("outcome notRun shuttingDown, retry later");
        expect(await fixture.callModel()).to.deep.equal(["outcome notRun shuttingDown, retry later"]);
    });

    it("a request is cancelled at the engine when its caller disconnects", async () => {
        fixture = await startInstanceFixture();
        fixture.first.planBehaviors({ kind: "stall", tokens: 2 });
        fixture.at("streaming", () => fixture.leave.abort());
        const seen = await fixture.callModel();
        expect(seen.at(-1)).to.equal("outcome failed cancelled");
        while (!fixture.first.runs[0]!.cancelled) {
            await new Promise(resolve => setImmediate(resolve));
        }
    });

    it("a connection is reused after a complete response", async () => {
        fixture = await startInstanceFixture();
        const calls = 20;
        for (let index = 0; index < calls; index++) {
            await fixture.callModel();
        }
        // a call may start before the last bytes of the previous response arrive, and then opens a connection
        expect(fixture.first.connections()).to.be.below(calls / 2);
    });

    it("a retry with the same key gets the result of the first request, during its run and afterwards", async function() {
        fixture = await startInstanceFixture();
        fixture.first.planBehaviors({ kind: "slow", pieceDelayMilliseconds: 20 });
        const [left, right] = await Promise.all([
            fixture.callService("orders", "order-1"),
            fixture.callService("orders", "order-1"),
        ]);
        const third = await fixture.callService("orders", "order-1");
        expect(fixture.first.runs.length + fixture.second.runs.length).to.equal(1);
        expect([right, third]).to.deep.equal([left, left]);
        checkNothingHeld(fixture);
    });

    it("API keys are not sent to backend servers, and open routes need none", async () => {
        fixture = await startInstanceFixture();
        const opened = await fixture.callModel("open-quotes", false);
        expect(opened.at(-1)).to.equal("outcome completed");
        expect((await fixture.callModel("quotes", false)).at(-1)).to.equal("outcome notRun missingKey");
        await fixture.callModel();
        await fixture.callService("stock");
        const sent = JSON.stringify([...fixture.first.runs, ...fixture.second.runs]);
        expect(sent).to.not.include("key-of-a").and.not.include("authorization");
    });
});

// holds after every request, whatever its outcome
function checkNothingHeld(fixture: InstanceFixture): void {
    expect(fixture.limiter.countUnsettled(), "tokens not settled").to.equal(0);
    expect(fixture.placement.countPins(), "pins not released").to.equal(0);
}

function checkRunCount(fixture: InstanceFixture, route: string, seen: string): void {
    const ran = [...fixture.first.runs, ...fixture.second.runs].filter(run => run.ran).length;
    if (route === "orders") {
        expect(ran, "runs of an order").to.be.at.most(1);
    }
    if (seen.includes("notRun")) {
        expect(ran, "runs of a request that was reported as notRun").to.equal(0);
    }
}
