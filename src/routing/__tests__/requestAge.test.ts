import { expect } from "chai";
import { createRequestAges } from "../requestAge.js";

describe("age of a request", () => {
    it("tells a returning client by its shorter deadline, so that it can't pass for a new one", () => {
        const ages = createRequestAges();
        for (let count = 0; count < 20; count++) {
            expect(ages.estimate("draft", 12_000 + count % 3)).to.be.below(10);
        }
        expect(ages.estimate("draft", 9_500)).to.be.within(2_500, 2_510);
    });

    it("isn't misled by one client with a long deadline, whose requests would make all others look late", () => {
        const ages = createRequestAges();
        for (let count = 0; count < 40; count++) {
            ages.estimate("draft", 12_000);
        }
        ages.estimate("draft", 600_000);
        expect(ages.estimate("draft", 12_000)).to.equal(0);
    });

    it("still tells returning clients while most requests are returning ones", () => {
        const ages = createRequestAges();
        for (let count = 0; count < 60; count++) {
            ages.estimate("draft", count % 5 === 0 ? 12_000 : 11_000 - count * 70);
        }
        expect(ages.estimate("draft", 10_000)).to.equal(2_000);
    });

    it("keeps routes apart, and takes requests without a deadline for new ones", () => {
        const ages = createRequestAges();
        ages.estimate("draft", 12_000);
        expect(ages.estimate("lookup", 1_500)).to.equal(0);
        expect(ages.estimate("draft", undefined)).to.equal(0);
    });

    it("follows a route whose clients wait less from now on", () => {
        const ages = createRequestAges();
        for (let count = 0; count < 64; count++) {
            ages.estimate("draft", 12_000);
        }
        for (let count = 0; count < 64; count++) {
            ages.estimate("draft", 4_000);
        }
        expect(ages.estimate("draft", 4_000)).to.equal(0);
    });
});
