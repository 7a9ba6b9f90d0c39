import { expect } from "chai";
import { createAdapterVersions } from "../adapterVersions.js";

describe("versions of adapters", () => {
    it("leave requests to any version until one was named", () => {
        expect(createAdapterVersions(5_000).findOldestAllowed("base/a1", 9_000)).to.equal(undefined);
    });

    it("bind well before the bound is over, as a request may wait at its engine", () => {
        const versions = createAdapterVersions(5_000);
        versions.record("base/a1", 2, 1_000);
        expect(versions.findOldestAllowed("base/a1", 1_500)).to.equal(undefined);
        expect(versions.findOldestAllowed("base/a1", 3_500)).to.equal(2);
    });

    it("keep binding when a newer one is named before the bound of the one before is over", () => {
        const versions = createAdapterVersions(5_000);
        versions.record("base/a1", 2, 1_000);
        versions.record("base/a1", 3, 3_000);
        expect(versions.findOldestAllowed("base/a1", 4_000)).to.equal(2);
        expect(versions.findOldestAllowed("base/a1", 5_500)).to.equal(3);
        expect(versions.findNewest("base/a1")).to.equal(3);
    });

    it("don't go back", () => {
        const versions = createAdapterVersions(5_000);
        versions.record("base/a1", 3, 1_000);
        expect(versions.record("base/a1", 2, 2_000)).to.equal(false);
        expect(versions.findNewest("base/a1")).to.equal(3);
    });
});
