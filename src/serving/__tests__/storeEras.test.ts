import { expect } from "chai";
import { createStoreEras } from "../storeEras.js";

describe("eras of the store", () => {
    it("rise with each return, and tell answers of before from those of now", () => {
        const eras = createStoreEras();
        const seen: number[] = [];
        eras.onRise(era => seen.push(era));
        expect([0, 0, 1, 0, 3].map(eras.observe)).to.deep.equal(["risen", "present", "risen", "past", "risen"]);
        expect(seen).to.deep.equal([0, 1, 3]);
        expect([eras.read(), eras.countRises()]).to.deep.equal([3, 3]);
    });

    // guards against one damaged answer, also the first one, after which all true ones would be those of the past
    it("rise by far only when a second answer in a row names the same one", () => {
        const eras = createStoreEras();
        expect([900_000, 3, 900_000, 3, 900_000, 900_000].map(eras.observe)).to.deep.equal(
            ["doubtful", "risen", "doubtful", "present", "doubtful", "risen"],
        );
    });

    // guards against one part that fails at a rise and keeps the others from learning of it
    it("are told to all, also where one of them throws", () => {
        const eras = createStoreEras();
        let calls = 0;
        eras.onRise(() => {
            throw new Error("fails");
        });
        eras.onRise(() => calls++);
        eras.observe(1);
        expect(calls).to.equal(1);
    });
});
