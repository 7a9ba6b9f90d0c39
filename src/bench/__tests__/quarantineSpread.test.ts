import { expect } from "chai";
import type { GuardedRequest } from "../../quarantine/index.js";
import { type FleetFaults, runFleet } from "../fleet/fleetWorld.js";

const stableWindowMilliseconds = 3_000;
const crashIntervalMilliseconds = 250;
const durationMilliseconds = 6_000;
const timeLimitMilliseconds = 240_000;

interface SpreadCase {
    readonly name: string;
    /** Ends of servers after which the window begins. */
    readonly crashCount: number;
    /** Request under which a server ends, counted from 0. */
    readonly createCrashing: (crash: number) => GuardedRequest;
    /** A request that must not be refused. */
    readonly innocent: GuardedRequest;
}

const cases: readonly SpreadCase[] = [
    {
        name: "a part that ends servers",
        crashCount: 5,
        createCrashing: crash => ({
            prompt: { shared: ["first", "bad"], own: `own-${crash}` },
            account: crash % 2 === 0 ? "acme" : "bolt",
            digest: `bad ${crash}`,
        }),
        innocent: { prompt: { shared: ["first"], own: "own" }, account: "acme", digest: "innocent" },
    },
    {
        name: "one request that ends servers",
        crashCount: 3,
        createCrashing: () => ({ prompt: undefined, account: "acme", digest: "bad" }),
        innocent: { prompt: undefined, account: "acme", digest: "innocent" },
    },
];

interface Spread {
    /** Time from the last of these ends until each instance refuses such a request, of those that do. */
    readonly delays: readonly number[];
    /** Instances that refuse the innocent request. */
    readonly innocent: number;
}

// servers end, each at another instance, while all instances see other requests answered
async function measureSpread(spreadCase: SpreadCase, instances: number, seed: number): Promise<Spread> {
    const { crashCount, createCrashing } = spreadCase;
    const knownAt = new Map<number, number>();
    let lastAt = 0;
    let innocent = 0;
    const endServers = ({ guards, now, random, schedule }: FleetFaults): void => {
        for (let crash = 0; crash < crashCount; crash++) {
            schedule(crash * crashIntervalMilliseconds, () => {
                const server = { run: `server-${crash}/1`, service: "llm" };
                random.choose(guards).markBroken(server, createCrashing(crash), now());
                lastAt = now();
            });
        }
    };
    const addAnswers = ({ guards, now, schedule }: FleetFaults): void => {
        guards.forEach((guard, index) =>
            schedule(index % 100 * 10, () => {
                const own = `own-${index}-${now()}`;
                const prompt = { shared: ["first", `topic-${index % 20}`], own };
                const account = index % 2 === 0 ? "acme" : "bolt";
                guard.markAnswered({ prompt, account, digest: own }, now() - 500);
            })
        );
    };
    const compareAll = ({ guards, now }: FleetFaults): void => {
        const decide = (index: number, request: GuardedRequest): string => guards[index]!.decide(request, now()).kind;
        guards.forEach((guard, index) => {
            if (!knownAt.has(index) && decide(index, createCrashing(0)) === "quarantined") {
                knownAt.set(index, now());
            }
            innocent += decide(index, spreadCase.innocent) === "open" ? 0 : 1;
        });
    };
    const watch = (faults: FleetFaults): void => {
        compareAll(faults);
        faults.schedule(50, () => watch(faults));
    };
    await runFleet({
        seed,
        instances,
        engines: Math.round(instances * 87 / 195),
        requestsPerSecond: 0.2,
        duration: durationMilliseconds,
        onSecond: (second, faults) => {
            addAnswers(faults);
            if (second === 1) {
                watch(faults);
                endServers(faults);
            }
        },
    });
    return { delays: [...knownAt.values()].map(at => at - lastAt), innocent };
}

for (const spreadCase of cases) {
    describe(`quarantine of ${spreadCase.name}`, () => {
        // guards against knowledge that stays with some instances, of which each lets one more server end
        for (const instances of [8, 195]) {
            it(`is in force at all of ${instances} instances within the stable window after the last end`, async () => {
                const { delays, innocent } = await measureSpread(spreadCase, instances, 1);
                expect(delays).to.have.length(instances);
                expect(Math.max(...delays)).to.be.at.most(stableWindowMilliseconds);
                expect(innocent).to.equal(0);
            }).timeout(timeLimitMilliseconds);
        }
    });
}
