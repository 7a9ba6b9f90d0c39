import { expect } from "chai";
import { describeProcessEnd } from "../index.js";

describe("description of a process's end", () => {
    // guards against a process that ends without telling which call failed
    it("names the error and the calls that led to it", () => {
        const end = describeProcessEnd(new TypeError("Invalid URL"), "uncaughtException");
        expect(end.reason).to.equal("TypeError: Invalid URL");
        expect(end.origin).to.equal("uncaughtException");
        expect(end.calls[0]).to.contain("processEnd.test");
    });

    it("is short, whatever was thrown", () => {
        const error = new Error("long ".repeat(10_000));
        error.stack = `Error\n${"    at call (file.js:1:1)\n".repeat(1_000)}`;
        expect(JSON.stringify(describeProcessEnd(error, "unhandledRejection")).length).to.be.below(3_000);
        expect(describeProcessEnd("text", "unhandledRejection").calls).to.deep.equal([]);
        expect(describeProcessEnd(undefined, "unhandledRejection").reason).to.equal("undefined");
    });
});
