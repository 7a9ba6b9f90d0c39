import { expect } from "chai";
import type { ShardHolders } from "../../adapters/shardHolders.js";
import type { PeerNetwork } from "../../peers/index.js";
import { createSystemClock, type InstanceId, wrapValue } from "../../shared/index.js";
import { createQuotaClient } from "../quotaClient.js";
import { createQuotaHolder } from "../quotaHolder.js";

const request = { account: "acme", units: 1, admittedAlone: 0, allowance: 0, isResumed: false };

// the holder of all shards becomes known when the map is refreshed, unless that takes forever
function createClient(refresh: (setHolder: (holder: InstanceId) => void) => Promise<void>) {
    let holder: InstanceId | undefined;
    const asked: InstanceId[] = [];
    const holders = {
        find: () => holder,
        findFormer: () => undefined,
        isSilent: () => false,
        markResponsive: () => undefined,
        markSilent: () => undefined,
        list: () => [],
        listOthers: () => [],
        refresh: () => refresh(found => holder = found),
    } as unknown as ShardHolders;
    const network = {
        request: async (to: InstanceId) => {
            asked.push(to);
            return wrapValue({ kind: "admitted", delay: 0 });
        },
    } as unknown as PeerNetwork;
    const client = createQuotaClient({
        self: "self",
        clock: createSystemClock(),
        findShard: () => 0,
        holders,
        isHeld: () => false,
        quotaHolder: createQuotaHolder({ countInstances: () => 2, findShard: () => 0 }),
        network,
    });
    return { client, asked };
}

describe("request for units of a quota whose holder isn't known", () => {
    // guards against requests within their quota that are refused by an instance which has just started, or whose holder stops
    it("is sent to the holder once it is known", async () => {
        const { client, asked } = createClient(async setHolder => setHolder("holder"));
        expect(await client.ask(request)).to.deep.equal({ kind: "admitted", delay: 0 });
        expect(asked).to.deep.equal(["holder"]);
    });

    it("isn't held back while the store says nothing", async () => {
        const { client, asked } = createClient(() => new Promise(() => undefined));
        expect(await client.ask(request)).to.equal(undefined);
        const limit = new Promise(resolve => setTimeout(resolve, 50, "held back"));
        expect(await Promise.race([client.ask(request), limit]), "after one that waited in vain").to.equal(undefined);
        expect(asked).to.deep.equal([]);
    });
});
