import { expect } from "chai";
import { testConfig } from "./testCodec.js";
import { startTestFleet } from "./testFleet.js";
import { pause } from "./testStore.js";

const streamMilliseconds = 600;
const eventCount = 6;
/** Time-out of the later configuration; streams of the first one may last eight times as long. */
const loweredTimeout = 500;
/** Far longer than a stream and a return of its client may take by the later configuration. */
const laterMilliseconds = 2_500;
/** Until then a stopped instance may read the list of servers once more. */
const stoppedMilliseconds = 1_000;

describe("a stream whose route gets a lower time-out", () => {
    // guards against a version that is forgotten with the new time-out, so that a return is joined to another one (ORDER)
    it("isn't joined to another version when its client returns after the time that new streams may last", async () => {
        let version = "v1";
        const fleet = await startTestFleet({
            instances: 3,
            servers: 2,
            answerDuration: streamMilliseconds,
            eventCount,
            readVersion: () => version,
        });
        const begun = await fleet.send(0, { id: "s0", parts: ["first", "s0"], key: "acme-key", leaveAfter: 2 });
        const lastEventId = begun.events.at(-1)!.id;
        await fleet.stopInstance(0);
        await pause(stoppedMilliseconds);
        version = "v2";
        fleet.servers.forEach(server => server.writeEntry());
        const routes = testConfig.routes.map(route => ({ ...route, timeout: loweredTimeout }));
        fleet.changeConfiguration({ version: 2, routes });
        await pause(laterMilliseconds);
        const returned = { id: "s0-1", parts: ["first", "s0"], key: "acme-key", resumes: "s0", lastEventId };
        const answers = [await fleet.send(1, returned), await fleet.send(2, { ...returned, id: "s0-2" })];
        await fleet.stop();
        expect(begun.events.map(event => event.version)).to.deep.equal(["v1", "v1"]);
        expect(answers.map(({ status, events }) => [status, events.map(event => event.version)])).to.deep.equal([
            [503, []],
            [503, []],
        ]);
    });
});
