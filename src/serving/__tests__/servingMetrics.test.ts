import { expect } from "chai";
import type { RequestReport } from "../requestState.js";
import { createServingMetrics } from "../servingMetrics.js";

const report: RequestReport = {
    outcome: "cut",
    status: 200,
    reason: "this instance stops",
    service: "s",
    route: "r",
    account: undefined,
    servers: [],
    versions: [],
    placeWait: 0,
    headAfter: undefined,
    longestPause: 0,
    by: "stop",
    sinceStop: 7_300,
    silence: 900,
    heldBack: undefined,
    leftWhile: undefined,
    endDelay: undefined,
};

describe("serving metrics", () => {
    it("show the adapter loads at the time of the scrape", async () => {
        let waiting = 1;
        const metrics = createServingMetrics({ readLoads: () => ({ running: 2, waiting, capacity: 8 }) });
        expect(await metrics.render()).to.contain('oriolehatch_adapter_loads{state="waiting"} 1');
        waiting = 5;
        const text = await metrics.render();
        expect(text).to.contain('oriolehatch_adapter_loads{state="waiting"} 5');
        expect(text).to.contain('oriolehatch_adapter_loads{state="capacity"} 8');
    });

    // guards against a series per engine, whose number grows with the site, and against sums that grow with each scrape
    it("show the engines of this holder as histograms at the time of the scrape", async () => {
        const metrics = createServingMetrics({
            readLoads: () => ({ running: 0, waiting: 0, capacity: 8 }),
            readEngines: () => ({
                engines: [{ slowness: 2.5, unreadTokens: 600 }, { slowness: 1, unreadTokens: 0 }],
                placements: new Map([["long", 3]]),
            }),
        });
        await metrics.render();
        const text = await metrics.render();
        expect(text).to.contain('oriolehatch_engine_unread_tokens_bucket{le="0"} 1');
        expect(text).to.contain("oriolehatch_engine_unread_tokens_count 2");
        expect(text).to.contain("oriolehatch_engine_slowness_sum 3.5");
        expect(text).to.contain('oriolehatch_engine_placements_total{reason="long"} 3');
    });

    // guards against an evacuation that only the log of its beginning shows
    it("show evacuated failure domains and their servers at the time of the scrape", async () => {
        const readEvacuated = () => ({ domains: 1, servers: 7 });
        const metrics = createServingMetrics({
            readLoads: () => ({ running: 0, waiting: 0, capacity: 8 }),
            readEvacuated,
        });
        const text = await metrics.render();
        expect(text).to.contain('oriolehatch_evacuated{what="domains"} 1');
        expect(text).to.contain('oriolehatch_evacuated{what="servers"} 7');
    });

    // guards against a stop after which only the log of single requests says by whose hand answers ended
    it("count ends of answers by hand, with the time since the stop and the silence of those that aren't whole", async () => {
        const metrics = createServingMetrics({ readLoads: () => ({ running: 0, waiting: 0, capacity: 8 }) });
        metrics.countRequest(report, 8_000);
        metrics.countRequest({ ...report, outcome: "answered", by: "server", sinceStop: undefined, silence: 0 }, 10);
        const lines = (await metrics.render()).split("\n").filter(line => /^oriolehatch_(answer_ends|end_)/.test(line));
        expect(lines.filter(line => !line.includes("_bucket"))).to.deep.equal([
            'oriolehatch_answer_ends_total{by="stop",outcome="cut"} 1',
            'oriolehatch_answer_ends_total{by="server",outcome="answered"} 1',
            'oriolehatch_end_after_stop_seconds_sum{by="stop"} 7.3',
            'oriolehatch_end_after_stop_seconds_count{by="stop"} 1',
            'oriolehatch_end_silence_seconds_sum{by="stop"} 0.9',
            'oriolehatch_end_silence_seconds_count{by="stop"} 1',
        ]);
    });

    // guards against a number of series that grows with the routes and accounts of a deployment
    it("count units of quotas by route and account in a bounded number of series", async () => {
        const metrics = createServingMetrics({ readLoads: () => ({ running: 0, waiting: 0, capacity: 8 }) });
        for (let index = 0; index < 20_000; index++) {
            const names = { account: `a${index % 200}`, route: `r${Math.floor(index / 200)}` };
            metrics.countQuotaUnits({ ...names, units: 3, outcome: "exceeded" });
        }
        const lines = (await metrics.render()).split("\n").filter(line =>
            line.startsWith("oriolehatch_quota_units_total{")
        );
        expect(lines.length).to.be.within(100, 51 * 11);
        expect(lines).to.include('oriolehatch_quota_units_total{outcome="exceeded",route="r0",account="a0"} 3');
    });
});
