import { expect } from "chai";
import { createStreamLifetime } from "../streamLifetime.js";

describe("lifetime of streams", () => {
    // guards against a lower time-out that has the beginnings of streams in progress forgotten (ORDER)
    it("is that of an earlier configuration until the streams that began by it have ended, at any instance", () => {
        const lifetime = createStreamLifetime();
        expect(lifetime.read(0)).to.equal(0);
        lifetime.update(50_000, 0);
        lifetime.update(3_000, 10_000);
        lifetime.update(6_000, 20_000);
        expect([10_000, 64_999, 65_000].map(lifetime.read)).to.deep.equal([50_000, 50_000, 6_000]);
    });

    it("is the longest one, in whatever order they come", () => {
        const lifetime = createStreamLifetime();
        [20_000, 4_000, 30_000, 8_000, 1_000].forEach((duration, index) => lifetime.update(duration, index * 1_000));
        expect([4_000, 37_999, 38_000].map(lifetime.read)).to.deep.equal([30_000, 30_000, 1_000]);
    });
});
