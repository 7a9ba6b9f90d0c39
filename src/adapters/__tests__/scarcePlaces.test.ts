import { expect } from "chai";
import { type LoadResult, type PlaceFleetOptions, runPlaceFleet, type TestLoad } from "./placeFleet.js";

// eight engines of four slots end 40 requests a second
const engines = 8;
const lasts = 14_000;
const urgent = { route: "chat", priority: 0, objective: 500, deadline: 4_000, from: 0, to: 10_000 };
const patient = { route: "batch", priority: 2, objective: 2_000, deadline: 20_000, from: 0, to: 10_000 };
const usual: readonly TestLoad[] = [
    { ...urgent, account: "a1", perSecond: 8 },
    { ...urgent, account: "a2", perSecond: 8 },
    { ...patient, account: "b1", perSecond: 5 },
    { ...patient, account: "b2", perSecond: 5 },
    { ...patient, account: "b3", perSecond: 5 },
];
/** The least urgent kind at five times its usual rate for 5 s, by two accounts at once: 62 requests a second in all. */
const surge: readonly TestLoad[] = [
    ...usual,
    { ...patient, account: "b1", perSecond: 20, from: 3_000, to: 8_000 },
    { ...patient, account: "b2", perSecond: 20, from: 3_000, to: 8_000 },
];
const run = (options: Partial<PlaceFleetOptions> = {}): ReturnType<typeof runPlaceFleet> =>
    runPlaceFleet({ engines, loads: surge, lasts, ...options });
const computeOnTime = ({ onTime, asked }: LoadResult): number => onTime / asked;
describe("places while there are too few", function() {
    this.timeout(60_000);

    // guards against a queue that delays or refuses requests although there is room
    it("are given at once at 0.5 of the load that the engines bear, and in time at 0.8", async () => {
        const half = await run({ loads: usual.map(load => ({ ...load, perSecond: load.perSecond * 0.65 })) });
        expect(new Set(half.decisions.map(decision => decision.result))).to.deep.equal(new Set(["given"]));
        expect(half.longestWait).to.be.below(20);
        const result = await run({ loads: usual });
        for (const route of ["chat", "batch"]) {
            expect(computeOnTime(result.find(route))).to.equal(1);
        }
    });

    // guards against requests that are refused, or wait longer than before, as their adapter is being loaded
    it("are not refused to requests that wait for a load, of 24 adapters that are resident nowhere", async () => {
        const loads = usual.map(load => ({ ...load, perSecond: load.perSecond * 0.65 }));
        const cold = { loads, coldAdapters: 24, lasts: 16_000 };
        const result = await run(cold);
        const before = await run({ ...cold, isRouteNamed: false });
        for (const route of ["chat", "batch"]) {
            const { refused, unplaced } = result.find(route);
            expect([refused, unplaced]).to.deep.equal([0, 0]);
            expect(computeOnTime(result.find(route))).to.be.above(computeOnTime(before.find(route)) - 0.1);
        }
        expect(new Set(result.decisions.map(decision => decision.result))).to.deep.equal(new Set(["given"]));
    });

    // guards against urgent requests that pay for a surge of requests which can wait
    it("go to the urgent kind in a surge of the least urgent one by two accounts, and to accounts in proportion", async () => {
        let asked = 0;
        let onTime = 0;
        for (const seed of [1, 2, 3, 7]) {
            const result = await run({ seed });
            const before = await run({ seed, isRouteNamed: false });
            expect(computeOnTime(result.find("chat"))).to.be.above(0.95);
            expect(computeOnTime(result.find("chat"))).to.be.above(computeOnTime(before.find("chat")));
            expect(computeOnTime(result.find("batch"))).to.be.above(computeOnTime(before.find("batch")));
            const calm = result.find("batch", "b3");
            asked += calm.asked;
            onTime += calm.onTime;
        }
        // the account that asks no more than before, of which one run has 50 requests only
        expect(onTime / asked).to.be.above(0.9);
    });

    // guards against clients that are refused late, or all return at the same time
    it("are refused at once, with a time of its own to each client of a holder", async () => {
        const { returnTimes, decisions } = await run();
        const refused = decisions.filter(({ result }) => result === "refused" || result === "refusedLate");
        expect(refused.length).to.be.above(20);
        expect(refused.every(({ route }) => route === "batch")).to.equal(true);
        const late = refused.filter(({ result }) => result === "refusedLate");
        expect(late.length).to.be.below(refused.length / 10);
        // two holders refuse independently of each other
        const uses = returnTimes.map(time => returnTimes.filter(other => Math.abs(other - time) < 5).length);
        expect(Math.max(...uses)).to.be.at.most(2);
    });

    // guards against a surge in which no request is served, or is lost, as the holder that queued them is gone
    it("are given by the other holder and the next one when a holder is killed at the peak of a surge", async () => {
        const result = await run({ killAt: 5_000 });
        const before = await run({ killAt: 5_000, isRouteNamed: false });
        expect(computeOnTime(result.find("chat"))).to.be.above(computeOnTime(before.find("chat")) - 0.02);
        for (const route of ["chat", "batch"]) {
            const { asked, onTime, late, refused, returned, unplaced } = result.find(route);
            expect(onTime + late + refused + unplaced).to.equal(asked + returned);
        }
        expect(result.find("chat").unplaced).to.equal(0);
    });

    // guards against decisions that need the store
    it("are given as usual while the store is silent throughout a surge", async () => {
        const result = await run({ isStoreUp: false });
        expect(result.find("chat")).to.deep.equal((await run()).find("chat"));
    });

    // guards against refusals that instances of the previous build can't read, and against a holder that knows none
    it("are given as before to instances of the previous build, and by holders of it", async () => {
        const asker = await run({ isRouteNamed: false });
        expect(asker.decisions).to.deep.equal([]);
        expect(asker.find("chat").refused + asker.find("batch").refused).to.equal(0);
        // a reads its own questions, b those that have lost their routes
        const holder = await run({
            lasts: 40_000,
            translate: message => message.kind === "place" ? { ...message, route: undefined } : message,
        });
        for (const route of ["chat", "batch"]) {
            const { asked, onTime, late, refused, returned, unplaced } = holder.find(route);
            expect([onTime + late + refused, unplaced]).to.deep.equal([asked + returned, 0]);
        }
    });

    // guards against a kind that gets nothing for as long as more urgent requests take all places
    it("go to the least urgent kind too while the urgent one alone asks for three times what there is", async () => {
        const rush = { ...urgent, account: "a1", perSecond: 110, from: 1_000, to: 9_000 };
        const result = await run({ loads: [...usual, rush] });
        const computeServed = ({ onTime, late, asked }: LoadResult): number => (onTime + late) / asked;
        expect(computeServed(result.find("batch"))).to.be.above(computeServed(result.find("chat")) / 4);
        // the account that asks no more than before
        expect(computeOnTime(result.find("chat", "a2"))).to.be.above(0.9);
    });
});
