import { expect } from "chai";
import { createByteStore } from "../byteStore.js";

describe("bytes that are kept", () => {
    // guards against chunks of one byte, each of which keeps an object and the whole read that it is a part of
    it("take memory of about their length, whatever chunks they come in", () => {
        const store = createByteStore();
        for (let count = 0; count < 65_536; count++) {
            const read = Buffer.alloc(count % 64 === 0 ? 65_536 : 16, count % 251);
            store.push(read.subarray(0, 1));
        }
        expect(store.countBytes()).to.equal(65_536);
        const pieces = store.take();
        const kept = [...new Set(pieces.map(({ buffer }) => buffer))].reduce((sum, each) => sum + each.byteLength, 0);
        expect(kept).to.be.at.most(2 * 65_536);
        expect(pieces.length).to.be.below(64);
        expect(Buffer.concat(pieces).every((byte, index) => byte === index % 251)).to.equal(true);
    });

    // guards against a copy of each large chunk, and against bytes that change places
    it("are the chunks themselves where these are large, in order with the small ones", () => {
        const store = createByteStore();
        const large = Buffer.alloc(65_536, "b");
        store.push(Buffer.from("a"));
        store.push(large);
        store.push(Buffer.from("c"));
        const pieces = store.take();
        expect(pieces.map(piece => piece.toString("latin1", 0, 1))).to.deep.equal(["a", "b", "c"]);
        expect(pieces[1]!.buffer).to.equal(large.buffer);
        expect(store.take()).to.deep.equal([]);
    });
});
