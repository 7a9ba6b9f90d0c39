import { expect } from "chai";
import { hashForRendezvous } from "../../shared/index.js";
import { listRelayedHops } from "../readTiming.js";
import { startTestFleet, type TestAnswer, type TestFleet } from "./testFleet.js";
import { pause } from "./testStore.js";

const instanceCount = 6;
const requestIntervalMilliseconds = 10;
/** Time after which an evacuation, or its end, is known to all instances that reach the store. */
const knownMilliseconds = listRelayedHops().reduce((sum, { duration }) => sum + duration, 0);

interface SentRequest {
    readonly id: string;
    readonly instance: number;
    readonly at: number;
    readonly answer: TestAnswer;
}

// requests at the instances in turn, until `stop` is called
function sendRequests(
    fleet: TestFleet,
    instances: readonly number[],
): { readonly stop: () => Promise<readonly SentRequest[]>; } {
    const sent: Promise<SentRequest>[] = [];
    const timer = setInterval(() => {
        const count = sent.length;
        const instance = instances[count % instances.length]!;
        const path = count % 2 === 0 ? "/x" : "/lookup/x";
        const request = { id: `r${count}`, parts: ["first", `own-${count}`], key: "acme-key", path };
        const at = performance.now();
        sent.push(fleet.send(instance, request).then(answer => ({ id: request.id, instance, at, answer })));
    }, requestIntervalMilliseconds);
    return {
        stop: () => {
            clearInterval(timer);
            return Promise.all(sent);
        },
    };
}

// the servers of the own failure domain are preferred, so that theirs is evacuated
describe("an evacuation while both readers of a failure domain fail and an instance reaches no server", function() {
    this.timeout(60_000);
    let fleet: TestFleet;
    let requests: readonly SentRequest[];
    const times = { begun: 0, ended: 0, all: 0, withdrawn: 0 };
    // the instances have equal processor time, so that the hash of the name decides
    const bySize = Array.from({ length: instanceCount }, (unused, index) => index)
        .sort((left, right) => hashForRendezvous(`front-${left}`) - hashForRendezvous(`front-${right}`));
    const [firstReader, secondReader, cutOff] = bySize as [number, number, number];
    // the first reader reaches no store, so that nothing is asked of it
    const connected = bySize.filter(index => index !== firstReader);

    before(async () => {
        fleet = await startTestFleet({
            instances: instanceCount,
            servers: 3,
            answerDuration: 30,
            readDomain: server => server === 2 ? "b" : "a",
        });
        const sending = sendRequests(fleet, connected);
        await fleet.setCut(cutOff, "refused");
        await pause(2_500);
        fleet.setStoreCut(firstReader, "away");
        await fleet.setPeersCut([secondReader], true);
        fleet.setEvacuated("a", true);
        times.begun = performance.now();
        await pause(knownMilliseconds + 1_500);
        fleet.setEvacuated("a", false);
        times.ended = performance.now();
        await pause(knownMilliseconds + 1_000);
        fleet.setEvacuated("a", true);
        fleet.setEvacuated("b", true);
        times.all = performance.now();
        await pause(knownMilliseconds + 1_000);
        times.withdrawn = performance.now();
        requests = await sending.stop();
    });

    after(() => fleet.stop());

    const listArrivals = (from: number, to: number) =>
        fleet.arrivals.filter(({ server, at }) => !server.startsWith("s-2-") && at > from && at < to);

    // guards against requests that readers' old data, repeats or helpers of other instances send to an evacuated domain
    it("ends all requests to its servers within the bound, of all instances that reach the store", () => {
        expect(listArrivals(times.begun - 1_000, times.begun).length).to.be.at.least(10);
        expect(listArrivals(times.begun + knownMilliseconds, times.ended)).to.deep.equal([]);
    });

    // guards against an evacuation that costs callers their answers while other servers take requests
    it("costs callers nothing", () => {
        const during = requests.filter(({ at, instance }) =>
            at > times.begun && at < times.ended && instance !== cutOff
        );
        expect(during.length).to.be.at.least(100);
        expect(during.filter(({ answer }) => answer.status !== 200)).to.deep.equal([]);
    });

    // guards against servers that stay unused after the withdrawal
    it("has its servers used again as soon after the withdrawal", () => {
        expect(listArrivals(times.ended + knownMilliseconds, times.all).length).to.be.at.least(10);
    });

    // guards against callers who wait for servers of evacuated domains
    it("of all failure domains has requests refused at once, with the time to come back", () => {
        const refused = requests.filter(({ at }) => at > times.all + knownMilliseconds && at < times.withdrawn);
        expect(refused.length).to.be.at.least(50);
        expect(refused.filter(({ answer }) => answer.status !== 503)).to.deep.equal([]);
        expect(refused.every(({ answer }) => Number(answer.retryAfter) >= 1)).to.equal(true);
        expect(Math.max(...refused.map(({ answer }) => answer.took))).to.be.below(500);
    });
});
