import { expect } from "chai";
import { maximumStoreEra } from "../../serving/storeEras.js";
import { decodeStoreEra } from "../storeEra.js";

describe("era that the store names in its answers", () => {
    it("is decoded as a count, and is missing where the answer names none", () => {
        expect(decodeStoreEra({ "store-era": "7" })).to.equal(7);
        expect(decodeStoreEra({ "store-era": "0" })).to.equal(0);
        expect(decodeStoreEra({ "store-era": `${maximumStoreEra}` })).to.equal(maximumStoreEra);
        expect(decodeStoreEra({})).to.equal(undefined);
    });

    // guards against a garbled header that is taken for an era, above which no later one would be believed
    it("is unreadable where it is no count, or one beyond all use", () => {
        for (const text of ["", "-1", "1.5", "1e3", "0x1", " 7 a", "99999999999", `${maximumStoreEra + 1}`]) {
            expect(decodeStoreEra({ "store-era": text }), text).to.equal("unreadable");
        }
    });
});
