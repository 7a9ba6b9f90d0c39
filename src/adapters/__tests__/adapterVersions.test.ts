import { expect } from "chai";
import { createAdapterVersions } from "../adapterVersions.js";

describe("versions of adapters", () => {
    it("allow any version until one was announced", () => {
        expect(createAdapterVersions(() => 5_000).findOldestAllowed("base/a1", 9_000)).to.equal(undefined);
    });

    it("are enforced well before the grace period ends, because a request may wait in its engine's queue", () => {
        const versions = createAdapterVersions(() => 5_000);
        versions.record("base/a1", 2, 1_000);
        expect(versions.findOldestAllowed("base/a1", 1_500)).to.equal(undefined);
        expect(versions.findOldestAllowed("base/a1", 3_500)).to.equal(2);
    });

    it("stay enforced when a newer one is announced before the grace period of the previous one ends", () => {
        const versions = createAdapterVersions(() => 5_000);
        versions.record("base/a1", 2, 1_000);
        versions.record("base/a1", 3, 3_000);
        expect(versions.findOldestAllowed("base/a1", 4_000)).to.equal(2);
        expect(versions.findOldestAllowed("base/a1", 5_500)).to.equal(3);
        expect(versions.findNewest("base/a1")).to.equal(3);
    });

    it("are not replaced by an older version that is announced later", () => {
        const versions = createAdapterVersions(() => 5_000);
        versions.record("base/a1", 3, 1_000);
        expect(versions.record("base/a1", 2, 2_000)).to.equal(false);
        expect(versions.findNewest("base/a1")).to.equal(3);
    });
});
