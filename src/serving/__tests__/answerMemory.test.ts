import { expect } from "chai";
import { createAnswerMemory } from "../answerMemory.js";

describe("memory of answers", () => {
    // guards against many answers that are each within their bound, and fill the memory of the process together
    it("has the answer that holds most give up at the bound of all, and only that one", () => {
        const memory = createAnswerMemory(100);
        const given: string[] = [];
        const open = (name: string) => memory.open(() => given.push(name));
        const [first, second, third] = [open("first"), open("second"), open("third")];
        first.set(30);
        second.set(60);
        third.set(10);
        expect(given).to.deep.equal([]);
        third.set(11);
        expect(given).to.deep.equal(["second"]);
        expect(memory.countBytes()).to.equal(41);
        first.close();
        first.set(90);
        expect(memory.countBytes()).to.equal(11);
        third.set(0);
        expect(memory.countBytes()).to.equal(0);
    });
});
