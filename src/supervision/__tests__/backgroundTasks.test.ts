import { expect } from "chai";
import { callGuarded, listTaskFailures, runTask, startTask } from "../index.js";

function countFailures(task: string): number {
    return listTaskFailures().get(task) ?? 0;
}

describe("tasks that nobody waits for", () => {
    // guards against an exception in one task that ends the process with all its requests (FAULT)
    it("are counted and take back what they held, whether they throw or reject", async () => {
        const handled: unknown[] = [];
        const error = new TypeError("Invalid URL");
        startTask("test throws", () => {
            throw error;
        }, failure => handled.push(failure));
        startTask("test rejects", () => Promise.reject(error), failure => handled.push(failure));
        await runTask("test rejects", () => Promise.reject(error));
        expect(handled).to.deep.equal([error, error]);
        expect([countFailures("test throws"), countFailures("test rejects")]).to.deep.equal([1, 2]);
    });

    // guards against an end of the process by what is done after a failure
    it("may fail again where they take back what they held", async () => {
        await runTask("test failing", () => Promise.reject(new Error("first")), () => {
            throw new Error("second");
        });
        expect(countFailures("test failing, after its failure")).to.equal(1);
    });

    // guards against an error whose description throws, and that would end the process where it is logged
    it("may throw what can't be described", () => {
        const hostile = {
            toString: () => {
                throw new Error("not this either");
            },
        };
        const value = callGuarded("test hostile", () => {
            throw hostile;
        });
        expect([value, countFailures("test hostile")]).to.deep.equal([undefined, 1]);
    });

    it("begin at once", () => {
        let hasBegun = false;
        startTask("test begins", () => hasBegun = true);
        expect(hasBegun).to.equal(true);
    });
});
