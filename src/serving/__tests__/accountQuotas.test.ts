import { expect } from "chai";
import type { ShardHolders } from "../../adapters/shardHolders.js";
import type { PeerNetwork } from "../../peers/index.js";
import { createSeededRandom, type InstanceId, millisecondsPerSecond, wrapError } from "../../shared/index.js";
import { createHistory, type History } from "../../testing/index.js";
import { type AccountQuotas, createAccountQuotas } from "../accountQuotas.js";
import { createInstanceDirectory, encodeInstanceEntry, type InstanceDirectory } from "../instanceDirectory.js";
import type { ServingAccount } from "../types.js";

const names = ["front-1", "front-2", "front-3"];
const ratePerSecond = 1_000;
const account: ServingAccount = {
    name: "acme",
    keys: [],
    priority: undefined,
    quota: { unit: "tokens", ratePerSecond, burst: ratePerSecond, defaultTokens: 1 },
};
const seconds = 20;
const stepMilliseconds = 10;
const requestUnits = 20;

function createListedInstance(self: InstanceId, history: History<unknown>) {
    const entries = names.map((id, index) => ({ id, address: `10.0.0.${index}:1`, failureDomain: "a", cores: 1 }));
    const directory = createInstanceDirectory(entries.find(({ id }) => id === self)!, history.now);
    directory.replaceAll(
        entries.map((entry, offset) => ({ key: entry.id, value: encodeInstanceEntry(entry), offset })),
    );
    const holders = {
        find: () => names[0],
        findFormer: () => undefined,
        isSilent: () => false,
        markSilent: () => undefined,
        list: () => [[0, names[0]]],
        listOthers: () => [names[0]],
        refresh: () => Promise.resolve(),
        reload: () => Promise.resolve(),
    } as unknown as ShardHolders;
    const network = {
        send: () => undefined,
        request: async () => wrapError({ kind: "unreachable", detail: "there is no connection" }),
    } as unknown as PeerNetwork;
    const quotas = createAccountQuotas({
        self,
        clock: history.clock,
        random: createSeededRandom(1),
        directory,
        shardCount: 1,
        holders,
        findHeld: () => undefined,
        network,
        isFirstStart: false,
        bounds: { window: 8_000, excessRatio: 0, excessUnits: 0 },
    });
    return { directory, quotas };
}

function forgetOthers(directory: InstanceDirectory, self: InstanceId): void {
    names.filter(name => name !== self)
        .forEach((key, index) => directory.applyRecord({ key, value: undefined, offset: 10 + index }));
}

async function countAdmitted(history: History<unknown>, quotas: AccountQuotas): Promise<number> {
    let admitted = 0;
    const until = history.now() + seconds * millisecondsPerSecond;
    while (history.now() < until) {
        const decision = await quotas.limits.take(account, requestUnits);
        admitted += decision.kind === "admitted" ? requestUnits : 0;
        await history.runAsync(history.now() + stepMilliseconds);
    }
    return admitted;
}

describe("quotas of an instance whose list of instances is wrong", () => {
    // guards against instances whose entries were taken away and that decide as if each of them were the only one (QUOTA)
    it("decides by the number of instances that it knew, while it reaches no holder", async () => {
        const history = createHistory<unknown>({ seed: 1 });
        const { directory, quotas } = createListedInstance(names[1]!, history);
        forgetOthers(directory, names[1]!);
        const admitted = await countAdmitted(history, quotas);
        // a quarter of its equal share, and of what accrued at its start; few units are admitted by chance, so that the
        // bound is what it may admit as one of two
        const computeLimit = (count: number): number => ratePerSecond * (0.25 * seconds + 1) / count;
        expect(admitted).to.be.within(1, computeLimit(names.length - 1));
    });

    // guards against a wrong state that shows nowhere until it costs something
    it("shows that it decides without the holder, and whether it could connect to it", async () => {
        const history = createHistory<unknown>({ seed: 1 });
        const { directory, quotas } = createListedInstance(names[1]!, history);
        expect(quotas.readStatus()).to.deep.equal({ accounts: 0, longest: 0, withoutAddress: 0 });
        forgetOthers(directory, names[1]!);
        await countAdmitted(history, quotas);
        const { accounts, longest, withoutAddress } = quotas.readStatus();
        expect({ accounts, withoutAddress }).to.deep.equal({ accounts: 1, withoutAddress: 0 });
        expect(longest).to.be.at.least((seconds - 1) * millisecondsPerSecond);
        await history.runAsync(history.now() + 60_000);
        expect(quotas.readStatus()).to.deep.equal({ accounts: 0, longest: 0, withoutAddress: 1 });
    });
});
