import { expect } from "chai";
import { createSystemClock, wrapError, wrapValue } from "../../shared/index.js";
import { createServerListCheck } from "../serverListCheck.js";
import type { KeyedLog, KeyedRecord, KeyedSnapshot } from "../types.js";

const createRecord = (offset: number): KeyedRecord => ({ key: `i-${offset}`, value: Buffer.from("v"), offset });

// runs the check over a topic of ten records, of which a read returns a few; the follower has read up to the second one
async function runCheck(readAt: (offset: number) => readonly KeyedRecord[]) {
    const seen: string[] = [];
    let confirmations = 0;
    const readFrom: KeyedLog["readFrom"] = async (topic, offset) => {
        const records = readAt(offset);
        const answer: KeyedSnapshot = { records, endOffset: offset + records.length, topicEnd: 10 };
        return wrapValue(answer);
    };
    const log: KeyedLog = {
        readFrom,
        readNewest: async () => wrapError({ kind: "busy", status: 503 }),
        append: async () => wrapValue(undefined),
    };
    const check = createServerListCheck({
        clock: createSystemClock(),
        store: log,
        codec: {
            decodeServerEntry: id => wrapValue({ id, service: "app", address: "a", startedAt: 1, failureDomain: "a" }),
        } as Parameters<typeof createServerListCheck>[0]["codec"],
        onServers: servers => seen.push(...servers.map(({ id }) => id)),
        onConfirmed: () => confirmations++,
    });
    await check.trackReads(log).readFrom("servers", 2, 0);
    await check.run();
    return { seen, confirmations };
}

describe("check of the list of servers", () => {
    // guards against a part of the entries that counts as all of them, so that a version that serves isn't known
    it("reads on to the end that the first answer names, and confirms then", async () => {
        const { seen, confirmations } = await runCheck(offset => [offset, offset + 1, offset + 2].map(createRecord));
        expect(seen.slice(0, 8)).to.deep.equal([2, 3, 4, 5, 6, 7, 8, 9].map(offset => `i-${offset}`));
        expect(confirmations).to.equal(1);
    });

    it("confirms nothing when the rest of the entries doesn't come", async () => {
        const { seen, confirmations } = await runCheck(offset => offset < 6 ? [createRecord(offset)] : []);
        expect(seen).to.deep.equal([2, 3, 4, 5].map(offset => `i-${offset}`));
        expect(confirmations).to.equal(0);
    });
});
