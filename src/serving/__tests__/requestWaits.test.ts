import { expect } from "chai";
import type { ServerList } from "../serverList.js";
import { requestWaits, runWaitingRequest } from "./waitingRequest.js";

/** Time-outs of calls that are waited for must not be seen in the ends of the requests, so that several are tried. */
const timeouts = [100, 300, 500, 1_250, 1_500, 2_000];
/** Interval at which a stopping instance asks waiting requests. */
const stopCheckMilliseconds = 50;
const longTimeout = 30_000;

describe("wait of a request", () => {
    for (const wait of requestWaits) {
        // guards against a wait that goes on past the time-out of the route, by the time-outs of its own calls (CONFIG)
        it(`ends at the time-out of its route while it waits for: ${wait}`, async () => {
            for (const timeout of timeouts.filter(tried => wait !== "delay" || tried < 1_000)) {
                const { endedAt, status, by, reason } = await runWaitingRequest({ waits: [wait], timeout });
                expect({ endedAt, status, by, reason }, String(timeout)).to.deep.equal({
                    endedAt: timeout,
                    // a server may be running it
                    status: wait === "response" ? 504 : 503,
                    by: "deadline",
                    reason: "timeout",
                });
            }
        });

        // guards against work for a client that has left (GONE)
        it(`ends at once when its client leaves while it waits for: ${wait}`, async () => {
            const { endedAt, outcome } = await runWaitingRequest({
                waits: [wait],
                timeout: longTimeout,
                leavesAt: 410,
            });
            expect([endedAt, outcome]).to.deep.equal([410, "clientLeft"]);
        });

        // guards against a request whose connection is closed at the end of a stop, as its wait wasn't told (LOST)
        it(`ends soon when its instance stops while it waits for: ${wait}`, async () => {
            const stopsAt = 410;
            const { endedAt, by, status } = await runWaitingRequest({
                waits: [wait],
                timeout: longTimeout,
                stopsAt,
            });
            // what is under way has the whole grace
            const latest = wait === "response" ? 3_000 : stopCheckMilliseconds;
            expect([by, status]).to.deep.equal(["stop", wait === "response" ? 502 : 503]);
            expect(endedAt).to.be.within(stopsAt, stopsAt + latest);
        });
    }

    // guards against requests that wait for the whole time of their route for servers of their home, which have all left, or
    // for those of an evacuated failure domain, while their clients could ask again
    for (const wait of ["busyHolder", "silentHolder"] as const) {
        it(`ends soon when an evacuation, or its home, leaves it no server while it waits for: ${wait}`, async () => {
            const home = { allowedRegions: ["eu"] };
            const withdrawAll = (servers: ServerList): void =>
                servers.listAll().forEach(server => servers.put({ ...server, isDraining: true }));
            const drainHome = (servers: ServerList): void => {
                const [first] = servers.listAll();
                withdrawAll(servers);
                servers.put({ ...first!, id: "other", failureDomain: "b" });
            };
            const closeDomain = (servers: ServerList): void => servers.setEvacuated(new Set(["a"]));
            const cases = [
                [home, withdrawAll, "no server in the allowed regions"],
                [home, drainHome, "no server in the allowed regions"],
                [home, closeDomain, "no server outside evacuated domains"],
                [{}, closeDomain, "no server outside evacuated domains"],
            ] as const;
            for (const [change, run, expected] of cases) {
                for (const at of [0, 410]) {
                    const result = await runWaitingRequest({
                        waits: [wait],
                        timeout: longTimeout,
                        ...change,
                        update: { at, run },
                    });
                    expect([result.status, result.by, result.reason]).to.deep.equal([503, "noServer", expected]);
                    // the call to a holder is waited for, as it may have granted a place
                    expect(result.endedAt).to.be.within(at, at + 400);
                }
            }
        });
    }

    // guards against a place, a permit or a trial that is asked for on behalf of a client that left while it waited (GONE)
    for (const next of ["trial", "silentHolder", "permit"] as const) {
        it(`isn't followed by a wait for another thing once its client has left: ${next}`, async () => {
            const { endedAt, outcome, calls, units } = await runWaitingRequest({
                waits: ["delay", next],
                timeout: longTimeout,
                leavesAt: 410,
            });
            expect({ endedAt, outcome, calls, units }).to.deep.equal({
                endedAt: 410,
                outcome: "clientLeft",
                calls: { quota: 1 },
                units: 0,
            });
        });
    }
});
