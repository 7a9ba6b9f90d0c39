import { expect } from "chai";
import { createAnswerMemory, type MemoryHolder } from "../answerMemory.js";

function createHolder(name: string, log: string[]): MemoryHolder {
    return {
        giveUp: () => log.push(name),
        pause: () => log.push(`${name} waits`),
        resume: () => log.push(`${name} goes on`),
    };
}

describe("memory of answers", () => {
    // guards against many answers that are each within their bound, and fill the memory of the process together
    it("has the answer that holds most give up at the bound of all, and only that one", () => {
        const memory = createAnswerMemory(100);
        const given: string[] = [];
        const open = (name: string) => memory.open(createHolder(name, given));
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

    // guards against a processor that only reads what is given up again, as each answer that gives up makes room for the next
    it("has large answers wait near the bound, and the largest one give up when that lasts", () => {
        const kibibyte = 1_024;
        const timers: (() => void)[] = [];
        const memory = createAnswerMemory(400 * kibibyte, end => timers.push(end));
        const seen: string[] = [];
        const [first, second, small] = ["first", "second", "small"].map(name => memory.open(createHolder(name, seen)));
        first!.set(200 * kibibyte);
        second!.set(120 * kibibyte);
        small!.set(10 * kibibyte);
        expect(seen).to.deep.equal(["second waits"]);
        timers.shift()!();
        expect(seen.slice(1)).to.deep.equal(["first", "second goes on"]);
        expect([memory.countBytes(), timers.length]).to.deep.equal([130 * kibibyte, 0]);
    });

    // guards against an answer that stands still to its deadline, as it waited when it was written to its client
    it("has an answer go on that holds little again, by itself or as it gave up", () => {
        const kibibyte = 1_024;
        const memory = createAnswerMemory(400 * kibibyte, () => undefined);
        const seen: string[] = [];
        const [other, delivered, given] = ["other", "delivered", "given"].map(name =>
            memory.open(createHolder(name, seen))
        );
        other!.set(300 * kibibyte);
        delivered!.set(70 * kibibyte);
        delivered!.set(0);
        expect(seen.splice(0)).to.deep.equal(["delivered waits", "delivered goes on"]);
        other!.set(30 * kibibyte);
        given!.set(305 * kibibyte);
        other!.set(96 * kibibyte);
        expect(seen).to.deep.equal(["given waits", "other waits", "given", "given goes on", "other goes on"]);
    });

    // guards against a connection to another instance that is ended with its requests while there is room for what it holds
    it("has a holder that can't wait give up at the bound only", () => {
        const kibibyte = 1_024;
        const timers: (() => void)[] = [];
        const memory = createAnswerMemory(400 * kibibyte, end => timers.push(end));
        const seen: string[] = [];
        const connection = memory.open({ giveUp: () => seen.push("connection") });
        const answer = memory.open(createHolder("answer", seen));
        connection.set(220 * kibibyte);
        answer.set(90 * kibibyte);
        timers.shift()!();
        expect(seen.splice(0)).to.deep.equal(["answer waits", "answer", "answer goes on"]);
        connection.set(401 * kibibyte);
        expect([seen, timers.length]).to.deep.equal([["connection"], 0]);
    });
});
