import { expect } from "chai";
import { pause } from "./delivered/deployment.js";
import { createChanceDealer } from "./delivered/wireGroups.js";
import { startWireStore, type WireStore } from "./delivered/wireStore.js";

const topic = "keyed.op";
const awayMilliseconds = 20;

interface Membership {
    readonly generation: number;
    readonly parts: readonly (readonly [string, number, number])[];
}

describe("stand-in of the platform's store", () => {
    let store: WireStore;

    const send = (path: string, body?: unknown): Promise<Response> =>
        fetch(`http://${store.address}${path}`, {
            ...body !== undefined && { method: "POST", body: JSON.stringify(body) },
        });
    const join = async (member: string, generation: number): Promise<Membership> => {
        const call = { group: "g", member_id: member, topics: ["t"], ttl_ms: 5_000, generation };
        return await (await send("/log-join", call)).json() as Membership;
    };
    const listNewest = async () => await (await send(`/log-newest?topic=${topic}&part=0`)).json() as object;

    beforeEach(async () => {
        store = await startWireStore({ era: 1, splitParts: createChanceDealer(1) });
    });
    afterEach(() => store.close());

    // guards against a stand-in that forgets nothing, before which no fault of a restore shows
    it("comes back from an older copy in the next era, and gives its offsets out again", async () => {
        store.put(topic, "a", "1");
        await pause(60);
        const before = await listNewest();
        store.put(topic, "a", "2");
        store.put(topic, "b", "3");
        expect((await send(`/log-read?topic=${topic}&part=0&from=3`)).headers.get("store-era")).to.equal("1");
        await store.restore({ age: 40, away: awayMilliseconds });
        expect(await listNewest()).to.deep.equal(before);
        const beyond = await send(`/log-read?topic=${topic}&part=0&from=3`);
        expect([beyond.status, beyond.headers.get("store-era")]).to.deep.equal([410, "2"]);
        expect(await beyond.json()).to.deep.equal({ first_offset: 0 });
        store.put(topic, "c", "4");
        expect(JSON.stringify(await listNewest())).to.contain('"key":"c","value":"NA==","offset":1');
    });

    // guards against a stand-in that deals the same shards to the same members, before which no number serves two of them
    it("gives a generation out twice, with other owners", async () => {
        await join("m-1", 0);
        await pause(60);
        const before = await join("m-2", 0);
        const first = await join("m-1", before.generation);
        await store.restore({ age: 40, away: awayMilliseconds });
        expect((await join("m-1", before.generation)).generation).to.equal(before.generation - 1);
        const again = await join("m-3", 0);
        const second = await join("m-1", again.generation);
        expect(again.generation).to.equal(before.generation);
        expect(second.parts).to.not.deep.equal(first.parts);
    });

    it("ends the calls that wait, and takes none and writes nothing while it is away", async () => {
        const waiting = send(`/log-read?topic=${topic}&part=0&from=0&wait_ms=5000`).then(
            () => "answered",
            () => "reset",
        );
        await pause(20);
        const restored = store.restore({ age: 0, away: 60 });
        expect(await waiting).to.equal("reset");
        store.put(topic, "a", "1");
        expect(await send("/log-owners?group=g").then(() => "answered", () => "reset")).to.equal("reset");
        await restored;
        expect(await listNewest()).to.deep.include({ items: [] });
    });
});
