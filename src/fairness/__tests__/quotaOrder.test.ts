import { expect } from "chai";
import {
    computeReserve,
    createQuotaOrder,
    type QuotaAsk,
    type QuotaOrder,
    recordAsk,
    recordGiven,
    recordRefused,
} from "../index.js";

const units = 300;
const supply = { level: 0, ratePerSecond: 20_000, capacity: 20_000 };

function createAsk(kind: string, priority: number, changes: Partial<QuotaAsk> = {}): QuotaAsk {
    return { kind, priority, units, objectiveLeft: 2_000, waited: 0, timeLeft: 20_000, ...changes };
}

// as many requests of each kind in a second as given; those are refused that must leave units to others, or a whole kind
function buildRush(kinds: readonly (readonly [QuotaAsk, number])[], until = 4_000, refused?: string): QuotaOrder {
    let order = createQuotaOrder(0);
    for (let now = 0; now < until; now += 10) {
        for (const [ask, perSecond] of kinds) {
            if (Math.floor(now * perSecond / 1_000) < Math.floor((now + 10) * perSecond / 1_000)) {
                order = recordAsk(order, ask, supply, now);
                order = ask.kind !== refused && now > 0 && computeReserve(order, ask, supply, now) === 0
                    ? recordGiven(order, ask, now)
                    : recordRefused(order, ask, supply, now).order;
            }
        }
    }
    return recordRefused(order, kinds[0]![0], supply, until).order;
}

function measureReserve(order: QuotaOrder, ask: QuotaAsk, now = 4_000): number {
    return computeReserve(recordAsk(order, ask, supply, now), ask, supply, now);
}

describe("order of the requests of an account over its quota", () => {
    const urgent = createAsk("urgent", 0, { objectiveLeft: 500 });
    const patient = createAsk("patient", 2);

    it("has less urgent requests leave units to more urgent ones, by priority and then by objective", () => {
        const soon = createAsk("soon", 2, { objectiveLeft: 500 });
        const order = buildRush([[urgent, 20], [patient, 90], [soon, 20]]);
        const [first, second, last] = [urgent, soon, patient].map(ask => measureReserve(order, ask));
        expect(first).to.be.below(second!);
        expect(second).to.be.below(last!);
    });

    // guards against a change for accounts that use their quota and no more
    it("has no effect while less is asked for than the rate, also beside single refusals", () => {
        const order = buildRush([[urgent, 10], [patient, 20]]);
        expect(measureReserve(order, patient)).to.equal(0);
    });

    // guards against tokens for answers that come too late in any case
    it("has a request that can't be on time leave units to new ones, also to less urgent ones", () => {
        const order = buildRush([[urgent, 20], [patient, 90]]);
        const late = createAsk("urgent", 0, { objectiveLeft: 50, waited: 450 });
        expect(measureReserve(order, late)).to.be.at.least(2 * units);
        expect(measureReserve(order, late)).to.be.above(measureReserve(order, urgent));
    });

    // guards against clients that return together, and against a time at which earlier ones take the units
    it("tells refused requests times that differ by what was promised before them", () => {
        let order = buildRush([[urgent, 20], [patient, 90]], 500);
        for (const ask of [patient, createAsk("urgent", 0, { objectiveLeft: 0, waited: 900 })]) {
            const times = Array.from({ length: 10 }, (unused, index) => {
                const now = 500 + index;
                const refused = recordRefused(recordAsk(order, ask, supply, now), ask, supply, now);
                order = refused.order;
                return now + refused.wait;
            });
            times.slice(1).forEach((time, index) =>
                expect(time - times[index]!).to.be.at.least(units / supply.ratePerSecond * 1_000 - 0.01)
            );
        }
    });

    it("keeps promised units for the request that returns for them", () => {
        const rush = buildRush([[urgent, 20], [patient, 90]], 3_000);
        // more than the kind may use before more urgent ones
        const large = { ...patient, units: 1_000 };
        const kinds = rush.kinds.map(kind => ({ ...kind, promisedAt: 0, credit: 0 }));
        const recorded = recordAsk({ ...rush, promises: [], kinds }, large, supply, 3_000);
        const { order: promised, wait } = recordRefused(recorded, large, supply, 3_000);
        const now = 3_000 + wait;
        const returned = { ...large, waited: wait, objectiveLeft: 2_000 - wait };
        expect(measureReserve(promised, large, now)).to.equal(measureReserve(promised, returned, now) + large.units);
        expect(recordGiven(recordAsk(promised, returned, supply, now), returned, now).promises).to.deep.equal([]);
    });

    it("lets a kind that has had nothing for long go before more urgent ones", () => {
        const order = buildRush([[urgent, 90], [patient, 20]], 4_000, "patient");
        expect(measureReserve(order, patient)).to.equal(0);
        expect(measureReserve(order, urgent)).to.be.at.least(units);
    });

    it("remembers a bounded number of kinds and promises", () => {
        let order = createQuotaOrder(0);
        for (let index = 0; index < 2_000; index++) {
            const ask = createAsk(`kind-${index}`, index % 3);
            order = recordRefused(recordAsk(order, ask, supply, 1), ask, supply, 1).order;
        }
        expect(order.kinds.length).to.be.at.most(16);
        expect(order.promises.length).to.be.at.most(256);
    });
});
