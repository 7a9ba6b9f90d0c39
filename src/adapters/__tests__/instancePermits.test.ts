import { expect } from "chai";
import type { PeerNetwork } from "../../peers/index.js";
import { formatServerRunId } from "../../serving/types.js";
import { createInstancePermits, type InstancePermits } from "../instancePermits.js";
import type { AdapterMessage } from "../messages.js";
import { createServerPermits } from "../serverPermits.js";
import { createTestServer } from "./testEngine.js";

const server = createTestServer("i-1");
const run = formatServerRunId(server);

// permits of an instance beside a holder that answers questions in the given way; the server is cold
function createPermits(holder: string | undefined, answer?: AdapterMessage) {
    const sent: AdapterMessage[] = [];
    let now = 0;
    const network: Partial<PeerNetwork> = { send: (to, topic, message) => sent.push(message as AdapterMessage) };
    const permits: InstancePermits = createInstancePermits({
        self: "self",
        clock: { now: () => now, sleep: () => Promise.resolve() },
        network: network as PeerNetwork,
        holders: { find: () => holder, isSilent: () => false, refresh: () => Promise.resolve() },
        serverPermits: createServerPermits({ findColdRate: () => 4 }),
        cold: { needsPermit: () => true, measureRemaining: () => 9_000, findRate: () => 4 },
        requestHolder: (to, message) => {
            sent.push(message);
            return Promise.resolve(answer);
        },
        findShard: () => 0,
        isHeld: () => holder === "self",
    });
    return { permits, sent, wait: (duration: number) => void (now += duration) };
}

describe("permits of an instance for a cold server", () => {
    // guards against requests to a cold server without a holder that grants them
    it("are none without a holder, or when it gives no answer, and it isn't asked again at once", async () => {
        expect(await createPermits(undefined).permits.client.acquirePermit(server)).to.equal(undefined);
        const { permits, sent } = createPermits("other");
        expect(await permits.client.acquirePermit(server)).to.equal(undefined);
        expect(await permits.client.acquirePermit(server)).to.equal(undefined);
        expect(sent).to.have.length(1);
        expect(permits.client.measureWait(run)).to.be.above(0);
    });

    // guards against a message that a holder of an older build can't read
    it("are void soon, and returned only to a holder that takes them back", async () => {
        for (const isReturnable of [true, undefined]) {
            const { permits, sent } = createPermits("other", { kind: "permit", wait: 0, isReturnable });
            expect(await permits.client.acquirePermit(server)).to.deep.equal({ decidedAt: 0, until: 250 });
            permits.client.returnPermit(server);
            const kinds = sent.map(message => message.kind);
            expect(kinds).to.deep.equal(isReturnable ? ["askPermit", "returnPermit"] : ["askPermit"]);
        }
    });

    it("are granted by the instance itself where it holds the shard, at the rate of a cold server", async () => {
        const { permits, sent, wait } = createPermits("self");
        expect(await permits.client.acquirePermit(server)).to.equal(undefined);
        wait(250);
        expect(await permits.client.acquirePermit(server)).to.deep.equal({ decidedAt: 250, until: 500 });
        permits.client.returnPermit(server);
        expect(permits.decide(0, run, 4, 9_000)).to.equal(0);
        expect(permits.decide(0, run, 4, 9_000)).to.equal(250);
        expect(sent).to.deep.equal([]);
    });

    // guards against a message for each response of a cold server
    it("are kept right by telling the holder of coldness when it begins, ends, or goes on", () => {
        const { permits, sent, wait } = createPermits("other");
        for (const [after, coldFor] of [[0, 9_000], [100, 8_900], [2_000, 7_000], [10, 0], [10, 0]] as const) {
            wait(after);
            permits.client.recordCold(server, coldFor);
        }
        expect(sent.map(message => message.kind === "limit" && message.coldFor)).to.deep.equal([9_000, 7_000, 0]);
    });
});
