import { expect } from "chai";
import { createServingMetrics } from "../servingMetrics.js";

describe("serving metrics", () => {
    it("show the adapter loads at the time of the scrape", async () => {
        let waiting = 1;
        const metrics = createServingMetrics(() => ({ running: 2, waiting, capacity: 8 }));
        expect(await metrics.render()).to.contain('oriolehatch_adapter_loads{state="waiting"} 1');
        waiting = 5;
        const text = await metrics.render();
        expect(text).to.contain('oriolehatch_adapter_loads{state="waiting"} 5');
        expect(text).to.contain('oriolehatch_adapter_loads{state="capacity"} 8');
    });
});
