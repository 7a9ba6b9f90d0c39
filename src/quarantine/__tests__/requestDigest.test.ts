import { expect } from "chai";
import { computeRequestDigest, type RequestIdentity } from "../requestDigest.js";

const request: RequestIdentity = {
    method: "POST",
    host: "a.example",
    target: "/x?b",
    account: "acme",
    body: Buffer.from("body"),
};
const compute = (change: Partial<RequestIdentity>): string => computeRequestDigest({ ...request, ...change });

describe("digest of a request", () => {
    // guards against one request that is taken for several, so that the servers that end under it are never counted together
    it("is the same for the same method, host, path, account and body", () => {
        expect(compute({})).to.equal(compute({ body: Buffer.from("body") }));
        expect(compute({ body: undefined })).to.equal(compute({ body: Buffer.alloc(0) }));
    });

    // guards against a caller who has another one's request refused by sending one with the same digest
    it("differs when any of these does, also where one field ends with what the next begins with", () => {
        const digests = [
            compute({}),
            compute({ method: "PUT" }),
            compute({ host: "b.example" }),
            compute({ target: "/x?c" }),
            compute({ account: "bolt" }),
            compute({ account: undefined }),
            compute({ account: "" }),
            compute({ body: Buffer.from("bodx") }),
            compute({ target: "/x?b12", account: "acme" }),
            compute({ host: "a.example4:/x?b", target: "" }),
            compute({ account: "acmebody", body: undefined }),
        ];
        expect(new Set(digests).size).to.equal(digests.length);
    });
});
