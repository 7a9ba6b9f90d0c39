import { expect } from "chai";
import { createInstanceListHttpClient, type ListedInstance } from "../../backends/index.js";
import { createSystemClock } from "../../shared/index.js";
import { createHistory } from "../../testing/index.js";
import { createInstanceListStandin } from "../index.js";

const instance: ListedInstance = {
    kind: "instance",
    id: "i1",
    address: "127.0.0.1:1",
    failureDomain: "a",
    region: "r",
    state: "live",
};

describe("instance list stand-in", () => {
    it("shows a change only after the lag", async () => {
        const history = createHistory({ seed: 1 });
        const standin = createInstanceListStandin({ clock: history.clock, lag: 100, entries: [instance] });
        const readState = async (): Promise<string | undefined> => {
            const listing = await standin.list.list();
            return listing.ok ? listing.value.instances[0]?.state : undefined;
        };
        await history.runAsync(10);
        standin.setEntryState("i1", "leaving");
        await history.runAsync(50);
        standin.removeEntry("i1");
        const seen = [await readState()];
        await history.runAsync(110);
        seen.push(await readState());
        await history.runAsync(150);
        seen.push(await readState());
        expect(seen).to.deep.equal(["live", "leaving", undefined]);
    });

    it("can be read and changed over HTTP", async () => {
        const standin = createInstanceListStandin({ clock: createSystemClock() });
        const address = await standin.start();
        const client = createInstanceListHttpClient({ address });
        const body = JSON.stringify(instance);
        await fetch(`http://${address}/instances/i1`, { method: "PUT", body });
        await fetch(`http://${address}/instances/i2`, { method: "PUT", body: body.replace("i1", "i2") });
        await fetch(`http://${address}/instances/i2`, { method: "DELETE" });
        const listing = await client.list();
        expect(listing).to.deep.equal({ ok: true, value: { instances: [instance], backendServers: [] } });
        standin.startOutage(60_000);
        const during = await client.list();
        expect(during.ok || during.error.kind).to.equal("unavailable");
        await client.close();
        await standin.stop();
    });
});
