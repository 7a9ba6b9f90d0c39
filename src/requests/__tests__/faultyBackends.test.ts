import { expect } from "chai";
import type { BackendBehavior } from "../../standins/faultyBackend.js";
import { expectSnapshot } from "../../testing/index.js";
import { type InstanceFixture, type Moment, startInstanceFixture } from "./instanceFixture.js";

const shortDeadlineMilliseconds = 250;

const faultyBehaviors: Readonly<Record<string, BackendBehavior>> = {
    "refused: overloaded": { kind: "refuse", status: 429, type: "overloaded" },
    "refused: leaving": { kind: "refuse", status: 503, type: "leaving" },
    "refused: restarted": { kind: "refuse", status: 409, type: "wrong_incarnation" },
    "refused: adapter absent": { kind: "refuse", status: 404, type: "adapter_absent" },
    failed: { kind: "refuse", status: 500, type: "failed" },
    "a status that is not of the protocol": { kind: "refuse", status: 502, type: "bad_gateway" },
    "reset before running": { kind: "resetUnanswered", runs: false },
    "reset before the first byte": { kind: "resetUnanswered", runs: true },
    "reset after the head": { kind: "resetMidway", tokens: 0 },
    "reset after two tokens": { kind: "resetMidway", tokens: 2 },
    "half an answer, ended in order": { kind: "halfAnswer", tokens: 2 },
    slow: { kind: "slow", pieceDelayMilliseconds: 5 },
    "wrong answer id": { kind: "wrongId" },
    "wrong version": { kind: "wrongVersion" },
    "no HTTP": { kind: "raw", bytes: "HELLO\r\n\r\n" },
    "an answer without an id": {
        kind: "raw",
        bytes: 'HTTP/1.1 503 X\r\ncontent-length: 44\r\n\r\n{"error":{"type":"leaving","message":"none"}}',
    },
};

describe("sessions over faulty backends", () => {
    let session: InstanceFixture;
    afterEach(() => session.stop());

    for (const [name, behavior] of Object.entries(faultyBehaviors)) {
        it(`model call, ${name}`, async function() {
            session = await startInstanceFixture();
            session.first.plan(behavior);
            const seen = await session.callModel();
            checkNothingHeld(session);
            expectSnapshot(this.test, [...seen, ...session.describe()].join("\n"));
        });
        for (const route of ["stock", "orders"] as const) {
            it(`${route}, ${name}`, async function() {
                session = await startInstanceFixture();
                session.first.plan(behavior);
                const seen = await session.callService(route, route === "orders" ? "order-1" : undefined);
                checkNothingHeld(session);
                checkRunCount(session, route, seen);
                expectSnapshot(this.test, [seen, ...session.describe()].join("\n"));
            });
        }
    }

    for (const behavior of [{ kind: "hang" }, { kind: "stall", tokens: 2 }] as const) {
        it(`a backend that hangs (${behavior.kind}) holds nobody past the deadline`, async function() {
            session = await startInstanceFixture(shortDeadlineMilliseconds);
            session.first.plan(behavior, behavior, behavior);
            const seen = [
                ...await session.callModel(),
                `stock: ${await session.callService("stock")}`,
                `orders: ${await session.callService("orders", "order-1")}`,
            ];
            checkNothingHeld(session);
            expectSnapshot(this.test, [...seen, ...session.describe()].join("\n"));
        });
    }

    it("a silent engine is left for another one, which resumes the answer", async function() {
        session = await startInstanceFixture(undefined, { idleTimeout: 100 });
        session.first.plan({ kind: "stall", tokens: 2 });
        const seen = await session.callModel();
        checkNothingHeld(session);
        expectSnapshot(this.test, [...seen, ...session.describe()].join("\n"));
    }).timeout(10_000);

    it("a connection that is refused proves that nothing ran", async function() {
        session = await startInstanceFixture();
        await session.first.stop();
        const seen = [
            ...await session.callModel(),
            `stock: ${await session.callService("stock")}`,
            `orders: ${await session.callService("orders", "order-1")}`,
        ];
        await session.second.stop();
        seen.push(
            ...await session.callModel(),
            `stock: ${await session.callService("stock")}`,
            `orders: ${await session.callService("orders", "order-2")}`,
        );
        checkNothingHeld(session);
        expectSnapshot(this.test, [...seen, ...session.describe()].join("\n"));
    });

    it("a late answer of an earlier request on a kept connection is not believed", async function() {
        session = await startInstanceFixture();
        session.first.plan({ kind: "answer" }, { kind: "leftover" });
        session.second.plan({ kind: "leftover" });
        const seen: string[] = [];
        for (let index = 0; index < 3; index++) {
            seen.push(...await session.callModel(), `stock: ${await session.callService("stock")}`);
        }
        checkNothingHeld(session);
        expectSnapshot(this.test, [...seen, ...session.describe()].join("\n"));
    });

    it("two answers crossed reach neither caller", async function() {
        session = await startInstanceFixture();
        session.first.plan({ kind: "crossed" }, { kind: "crossed" });
        const [left, right] = await Promise.all([session.callModel(), session.callModel()]);
        expect(left.at(-1)).to.equal("outcome completed");
        expect(right.at(-1)).to.equal("outcome completed");
        checkNothingHeld(session);
        await session.second.stop();
        session.first.plan({ kind: "crossed" }, { kind: "crossed" });
        const orders = await Promise.all([
            session.callService("orders", "order-1"),
            session.callService("orders", "order-2"),
        ]);
        expectSnapshot(this.test, [...left, ...right, ...orders].join("\n"));
    });

    it("an engine that restarts mid-answer has the rest told by another", async function() {
        session = await startInstanceFixture();
        session.first.plan({ kind: "stall", tokens: 2 });
        session.at("streaming", () => session.first.restart());
        const seen = await session.callModel();
        checkNothingHeld(session);
        expectSnapshot(this.test, [...seen, ...session.describe()].join("\n"));
    });

    const disruptions: Readonly<Record<string, (session: InstanceFixture) => void>> = {
        "key withdrawn": session => session.settings.change({ keys: new Map() }),
        "version withdrawn": session => session.settings.change({ adapters: new Map() }),
        "version changed": session =>
            session.settings.change({
                adapters: new Map([["springs", { id: "springs", baseModel: "base", version: "v2" }]]),
            }),
        "caller gone": session => session.leave.abort(),
        "instance drains": session => void session.task.service.drain(),
    };
    const moments: readonly Moment[] = ["admitted", "queued", "pinned", "dispatched", "streaming"];
    for (const [name, applyDisruption] of Object.entries(disruptions)) {
        for (const moment of moments) {
            it(`model call, ${name} when ${moment}`, async function() {
                session = await startInstanceFixture(1_000);
                if (moment === "dispatched") {
                    session.first.plan({ kind: "slow", pieceDelayMilliseconds: 20 });
                }
                if (moment === "streaming") {
                    session.first.plan({ kind: "stall", tokens: 2 });
                    session.at(moment, () => {
                        applyDisruption(session);
                        session.first.restart();
                    });
                }
                else {
                    session.at(moment, () => applyDisruption(session));
                }
                const seen = await session.callModel();
                checkNothingHeld(session);
                expectSnapshot(this.test, [...seen, ...session.describe()].join("\n"));
            });
        }
        for (const moment of ["admitted", "dispatched"] as const) {
            it(`order, ${name} when ${moment}`, async function() {
                session = await startInstanceFixture(1_000);
                session.first.plan({ kind: "slow", pieceDelayMilliseconds: 10 });
                session.at(moment, () => applyDisruption(session));
                const seen = await session.callService("orders", "order-1");
                checkNothingHeld(session);
                checkRunCount(session, "orders", seen);
                expectSnapshot(this.test, [seen, ...session.describe()].join("\n"));
            });
        }
    }

    it("a leaving plain service gets no new call, and a draining instance takes none", async () => {
        session = await startInstanceFixture(undefined, { firstState: "leaving" });
        const seen = await Promise.all([session.callService("stock"), session.callService("orders", "order-1")]);
        expect(seen).to.deep.equal(Array(2).fill("outcome completed 201 one two three four"));
        expect([session.first.runs.length, session.second.runs.length]).to.deep.equal([0, 2]);
        await session.task.service.drain();
        expect(await session.callService("stock")).to.equal("outcome notRun shuttingDown, come back later");
        expect(await session.callModel()).to.deep.equal(["outcome notRun shuttingDown, come back later"]);
    });

    it("a caller that goes away has its request cancelled at the engine", async () => {
        session = await startInstanceFixture();
        session.first.plan({ kind: "stall", tokens: 2 });
        session.at("streaming", () => session.leave.abort());
        const seen = await session.callModel();
        expect(seen.at(-1)).to.equal("outcome failed cancelled");
        while (!session.first.runs[0]!.cancelled) {
            await new Promise(resolve => setImmediate(resolve));
        }
    });

    it("a connection is kept after a whole answer", async () => {
        session = await startInstanceFixture();
        const calls = 20;
        for (let index = 0; index < calls; index++) {
            await session.callModel();
        }
        // the next call may overtake the last bytes of the answer before it
        expect(session.first.connections()).to.be.below(calls / 2);
    });

    it("a repeat under the same key is joined or replayed, another request under it is refused", async function() {
        session = await startInstanceFixture();
        session.first.plan({ kind: "slow", pieceDelayMilliseconds: 20 });
        const [left, right] = await Promise.all([
            session.callService("orders", "order-1"),
            session.callService("orders", "order-1"),
        ]);
        const third = await session.callService("orders", "order-1");
        expect(session.first.runs.length + session.second.runs.length).to.equal(1);
        expect([right, third]).to.deep.equal([left, left]);
        checkNothingHeld(session);
    });

    it("no backend sees a key, and open routes need none", async () => {
        session = await startInstanceFixture();
        const opened = await session.callModel("open-quotes", false);
        expect(opened.at(-1)).to.equal("outcome completed");
        expect((await session.callModel("quotes", false)).at(-1)).to.equal("outcome notRun missingKey");
        await session.callModel();
        await session.callService("stock");
        const sent = JSON.stringify([...session.first.runs, ...session.second.runs]);
        expect(sent).to.not.include("key-of-a").and.not.include("authorization");
    });
});

// what must hold in every cell
function checkNothingHeld(session: InstanceFixture): void {
    expect(session.limiter.countUnsettled(), "tokens not settled").to.equal(0);
    expect(session.placement.countPins(), "pins not released").to.equal(0);
}

function checkRunCount(session: InstanceFixture, route: string, seen: string): void {
    const ran = [...session.first.runs, ...session.second.runs].filter(run => run.ran).length;
    if (route === "orders") {
        expect(ran, "runs of an order").to.be.at.most(1);
    }
    if (seen.includes("notRun")) {
        expect(ran, "runs of a request that was called not run").to.equal(0);
    }
}
