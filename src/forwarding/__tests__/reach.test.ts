import { expect } from "chai";
import { createReach } from "../reach.js";

const listedCount = 16;

describe("reach of an instance", () => {
    // guards against a cut that is found out only server by server
    it("is in doubt once two servers can't be reached and none has responded since", () => {
        const reach = createReach();
        reach.markReached("s-0", 0);
        reach.markUnreached("s-1", 200);
        reach.markUnreached("s-1", 200);
        expect(reach.listSuspects(listedCount)).to.deep.equal([]);
        reach.markUnreached("s-2", 200);
        expect(reach.listSuspects(listedCount)).to.deep.equal(["s-1", "s-2"]);
    });

    // guards against a release, a server that ended or a silent one that is taken for a cut
    it("isn't in doubt while any server responds, or when a server that can't be reached is no longer listed", () => {
        const reach = createReach();
        reach.markUnreached("s-1", 200);
        reach.markReached("s-0", 100);
        reach.markUnreached("s-2", 200);
        expect(reach.listSuspects(listedCount)).to.deep.equal([]);
        reach.remove("s-2");
        reach.markUnreached("s-3", 200);
        expect(reach.listSuspects(listedCount)).to.deep.equal([]);
    });

    // guards against a single server whose loss could never be told from a cut
    it("is in doubt about the only server after one failure", () => {
        const reach = createReach();
        reach.markUnreached("s-1", 200);
        expect(reach.listSuspects(1)).to.deep.equal(["s-1"]);
    });

    // guards against a crash of all servers that is taken for a cut, as others have reached them just before
    it("shows to others only servers that responded after the first failure", () => {
        const reach = createReach();
        reach.markReached("s-0", 0);
        reach.markReached("s-1", 3_000);
        expect(reach.filterReached(["s-0", "s-1", "s-2"], 2_000)).to.deep.equal(["s-1"]);
        reach.markUnreached("s-2", 3_500);
        reach.markUnreached("s-2", 3_700);
        expect(reach.readUnreachedSince()).to.equal(3_500);
    });
});
