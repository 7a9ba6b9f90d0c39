import { expect } from "chai";
import { createSeededRandom } from "../../shared/index.js";
import type { ServingConfig } from "../types.js";
import { type OrderServer, startOrderServer } from "./orderServers.js";
import { sendRequest, type TestAnswer } from "./testClient.js";
import { testConfig, testService } from "./testCodec.js";
import { putTestConfiguration, startTestInstance, type TestInstance } from "./testInstance.js";
import { findFreePorts } from "./testServers.js";
import { createMemoryStore, type MemoryStore, pause } from "./testStore.js";

const instanceCount = 3;
const otherService = "llm2";
/** Time in which a configuration is in force at all instances. */
const noticeMilliseconds = 1_200;
const streamCount = 12;

interface MovedFleet {
    /** Begins a stream, or takes it up after the events of `begun`; its client names the first attempt unless `isUnnamed`. */
    readonly send: (
        instance: number,
        id: string,
        begun?: TestAnswer,
        isUnnamed?: boolean,
    ) => Promise<TestAnswer>;
    readonly putServices: (services: readonly string[]) => Promise<void>;
    readonly stopInstance: (instance: number) => Promise<void>;
    readonly stop: () => Promise<void>;
}

function createConfiguration(version: number, services: readonly string[]): ServingConfig {
    const targets = services.map(service => ({ service, weight: 1 }));
    return {
        ...testConfig,
        version,
        routes: [{ ...testConfig.routes[0]!, targets }],
        services: new Map(
            [testService, otherService].map(name => [name, { name, connectionLimit: 200, engine: undefined }]),
        ),
    };
}

// one server of each of two services, of one version, and a route that configurations move
async function startFleet(services: readonly string[]): Promise<MovedFleet> {
    const store: MemoryStore = createMemoryStore(4);
    let configuration = createConfiguration(1, services);
    const random = createSeededRandom(1);
    const servers: readonly OrderServer[] = await Promise.all(
        [testService, otherService].map(service =>
            startOrderServer({ id: `s-${service}`, service, version: "v1", store, random })
        ),
    );
    putTestConfiguration(store);
    const ports = await findFreePorts(instanceCount * 4);
    const running: readonly TestInstance[] = Array.from(
        { length: instanceCount },
        (unused, index) =>
            startTestInstance({
                name: `front-${index}`,
                ports: ports.slice(index * 4, index * 4 + 4),
                store,
                translateAddress: address => address,
                readConfig: () => configuration,
            }),
    );
    await pause(noticeMilliseconds);
    return {
        send: (instance, id, begun, isUnnamed = false) =>
            sendRequest(ports[instance * 4]!, {
                id: begun ? `${id}-1` : id,
                parts: ["all", `${id}-6-60-4-chunks-rest`],
                key: "acme-key",
                ...begun ? { lastEventId: begun.events.at(-1)!.id } : { leaveAfter: 2 },
                ...begun && !isUnnamed ? { resumes: id } : {},
            }),
        putServices: async next => {
            configuration = createConfiguration(configuration.version + 1, next);
            putTestConfiguration(store);
            await pause(noticeMilliseconds);
        },
        stopInstance: index => {
            running[index]!.stop();
            return running[index]!.ended;
        },
        stop: async () => {
            running.forEach(instance => instance.stop());
            await Promise.all(running.map(({ ended }) => ended));
            servers.forEach(server => server.close());
        },
    };
}

// begins streams at the first instance, then `change`, and takes them up at the second one
async function takeUpAfter(fleet: MovedFleet, change: () => Promise<void>, isUnnamed = false) {
    const ids = Array.from({ length: streamCount }, (unused, index) => `s${index}`);
    const begun = await Promise.all(ids.map(id => fleet.send(0, id)));
    await change();
    const rest = await Promise.all(ids.map((id, index) => fleet.send(1, id, begun[index], isUnnamed)));
    return rest.map((answer, index) => ({
        status: answer.status,
        services: new Set([...begun[index]!.events, ...answer.events].map(({ version }) => version.split(" ")[1])),
    }));
}

describe("streams whose route a configuration moves to another service", () => {
    // guards against the rest of a stream from a service that hasn't begun it: its route led elsewhere before (ORDER)
    it("are refused when their clients return, and not joined with what the other service writes", async () => {
        const fleet = await startFleet([otherService]);
        const streams = await takeUpAfter(fleet, () => fleet.putServices([testService]));
        await fleet.stop();
        expect(streams.filter(({ services }) => services.size > 1).length).to.equal(0);
        expect(streams.every(({ status }) => status === 503)).to.equal(true);
    });

    // guards against the same where the instance that began them has stopped, which alone knew where
    it("are refused, too, when the instance that began them has stopped before", async () => {
        const fleet = await startFleet([otherService]);
        const streams = await takeUpAfter(fleet, async () => {
            await fleet.stopInstance(0);
            await fleet.putServices([testService]);
        });
        await fleet.stop();
        expect(streams.filter(({ services }) => services.size > 1).length).to.equal(0);
        expect(streams.every(({ status }) => status === 503)).to.equal(true);
    });

    // guards against the same for clients that name no attempt, whose streams nobody can look up
    it("are refused, too, when their clients don't name the attempt that began them", async () => {
        const fleet = await startFleet([otherService]);
        const streams = await takeUpAfter(fleet, () => fleet.putServices([testService]), true);
        await fleet.stop();
        expect(streams.filter(({ services }) => services.size > 1).length).to.equal(0);
        expect(streams.every(({ status }) => status === 503)).to.equal(true);
    });

    // guards against over-caution: a route that is split still leads to the service that began the stream
    it("go on at the service that began them when the route leads to a second one beside it", async () => {
        const fleet = await startFleet([testService]);
        const streams = await takeUpAfter(fleet, () => fleet.putServices([testService, otherService]));
        await fleet.stop();
        expect(streams.filter(({ services }) => services.size > 1).length).to.equal(0);
        expect(streams.filter(({ status }) => status === 200).length).to.equal(streamCount);
    });
});
