/**
 * Play of streams beside stops in turn.
 */
import { Agent } from "node:http";
import type { ShardGroup } from "../../adapters/types.js";
import { createSeededRandom, type SeededRandom, wrapValue } from "../../shared/index.js";
import type { ServingConfig } from "../types.js";
import { type PlayedStream, runClient } from "./orderClients.js";
import { type OrderServer, startOrderServer, type StreamBreak } from "./orderServers.js";
import { testCodec, testConfig, testService } from "./testCodec.js";
import { putTestConfiguration, startTestInstance, type TestInstance } from "./testInstance.js";
import { createOwnHost, createServerLinks, findFreePorts, type ServerLinks, type TestCut } from "./testServers.js";
import { createMemoryStore, type MemoryStore, pause } from "./testStore.js";

/** No connection of a client has this address, so that the ports of an instance stay free while it starts again. */
const host = createOwnHost(71);
const instanceCount = 5;
const shardCount = 4;
const graceMilliseconds = 4_000;
const playMilliseconds = 11_000;
const stopIntervalMilliseconds = 1_500;
/** An instance starts so long after its former process has ended. */
const restartMilliseconds = 200;
const streamsPerSecond = 22;
const otherService = "llm2";
const paths = ["/r/", "/r/", "/r/", "/p/", "/f/", "/m/"];

/** What clients saw in a play. */
export interface Play {
    readonly streams: readonly PlayedStream[];
    /** Times from which on the flipping route may be resumed, or not. */
    readonly flips: readonly { readonly at: number; readonly canResume: boolean; }[];
}

function createRoute(
    name: string,
    service: string,
    canResume: boolean,
    timeout: number,
): ServingConfig["routes"][number] {
    return {
        ...testConfig.routes[0]!,
        name,
        pathPrefix: `/${name}/`,
        targets: [{ service, weight: 1 }],
        canResume,
        timeout,
        isPublic: false,
    };
}

function createConfiguration(version: number, random: SeededRandom): ServingConfig {
    const timeout = random.between(5, 8) * 1_000;
    return {
        ...testConfig,
        version,
        routes: [
            createRoute("r", testService, true, timeout),
            createRoute("p", testService, false, timeout),
            createRoute("f", testService, version === 1 || random.chance(0.5), timeout),
            createRoute("m", random.chance(0.5) ? testService : otherService, true, timeout),
        ],
        services: new Map(
            [testService, otherService].map(name => [name, { name, connectionLimit: 400, engine: undefined }]),
        ),
        limits: { ...testConfig.limits, idleTimeout: random.between(1, 5) * 1_000 },
    };
}

// shards of members that have left are dealt to the others
function createGroup(): ShardGroup {
    let members: readonly string[] = [];
    let generation = 0;
    const setMembers = (next: readonly string[]): void => {
        if (next.join() !== members.join()) {
            members = next;
            generation++;
        }
    };
    const findOwner = (shard: number): string => members[shard % members.length]!;
    const listShards = (): readonly number[] =>
        members.length === 0 ? [] : Array.from({ length: shardCount }, (unused, shard) => shard);
    return {
        join: async member => {
            setMembers([...new Set([...members, member])].sort());
            return wrapValue({ generation, shards: listShards().filter(shard => findOwner(shard) === member) });
        },
        leave: async member => {
            setMembers(members.filter(other => other !== member));
            return wrapValue(undefined);
        },
        listOwners: async () => wrapValue(listShards().map(shard => ({ shard, member: findOwner(shard) }))),
    };
}

function startServers(store: MemoryStore, random: SeededRandom, areLinked: boolean): Promise<readonly OrderServer[]> {
    const areMixed = random.chance(0.5);
    return Promise.all(
        [0, 1, 2, 3, 4, 5].map(index =>
            startOrderServer({
                id: `s-${index}`,
                service: index < 4 ? testService : otherService,
                version: areMixed && index % 2 === 1 ? "v2" : "v1",
                ...areLinked ? { address: `server:${index}` } : {},
                store,
                random,
            })
        ),
    );
}

// all fronts one after the other, twice as often as the grace is over
async function stopInTurn(
    start: (index: number, isFirst: boolean) => TestInstance,
    running: TestInstance[],
    end: number,
) {
    const endings: Promise<void>[] = [];
    const restartInstance = async (index: number): Promise<void> => {
        running[index]!.stop();
        await running[index]!.ended;
        await pause(restartMilliseconds);
        running[index] = start(index, false);
    };
    for (let turn = 0; performance.now() < end; turn++) {
        endings.push(restartInstance(turn % instanceCount));
        await pause(stopIntervalMilliseconds);
    }
    await Promise.all(endings);
}

async function sendTrouble(servers: readonly OrderServer[], random: SeededRandom, end: number): Promise<void> {
    while (performance.now() < end) {
        const isSilence = random.chance(0.4);
        const isLapsing = random.chance(0.5);
        const duration = random.between(1_000, 1_300);
        const how = random.choose<StreamBreak>(["reset", "insideEvent", "betweenEvents"]);
        if (isSilence) {
            const chosen = servers.filter(() => random.chance(0.7));
            chosen.forEach(server => server.setSilent(duration, isLapsing));
        }
        else {
            random.choose(servers).breakOff(how);
        }
        await pause(random.between(200, 700));
    }
}

// instances that reach no server send their attempts through others, which stop meanwhile
async function limitReach(links: readonly ServerLinks[], random: SeededRandom, end: number): Promise<void> {
    while (performance.now() < end && links.length > 0) {
        const link = random.choose(links);
        await link.setCut(random.choose<TestCut>(["refused", "newRefused"]));
        await pause(random.between(1_500, 2_500));
        await link.setCut("none");
        await pause(random.between(200, 800));
    }
}

interface SendOptions {
    readonly random: SeededRandom;
    readonly ports: readonly number[];
    readonly agent: Agent;
    readonly areLinked: boolean;
}

function sendStream(index: number, { random, ports, agent, areLinked }: SendOptions): Promise<PlayedStream> {
    const isSlow = random.chance(0.12);
    const count = random.between(4, 30);
    const interval = random.between(20, isSlow ? 60 : 140);
    const resume = random.choose(["rest", "rest", "rest", "rest", "rest", "whole", "repeatsLast"]);
    // a link can't pass on every reset as one, and the end of such a stream is that of its connection
    const form = areLinked ? "chunks" : random.choose(["chunks", "chunks", "connection"]);
    const key = `k${index}`;
    const path = random.choose(paths);
    return runClient({
        key,
        path,
        count,
        parts: `all,${key}-${count}-${interval}-${isSlow ? 120_000 : 40}-${form}-${resume}`,
        readPause: isSlow ? random.between(30, 120) : 0,
        leaveAfter: path !== "/p/" && random.chance(0.15) ? random.between(1, 4) : undefined,
        mayReturn: path !== "/p/",
        returnDelay: random.between(100, 600),
        instances: Array.from({ length: 5 }, () => random.between(0, instanceCount - 1)),
        host,
        ports,
        isNamingAttempt: !random.chance(0.15),
        agent,
    });
}

/**
 * Plays streams over a few whole instances of one process, which stop and start in turn with several in their grace, while
 * servers fall silent and break off, configurations change routes and time-outs, and in some plays instances reach no
 * server.
 *
 * @param seed - seed of all that happens
 * @returns what the clients saw
 */
export async function runPlay(seed: number): Promise<Play> {
    const random = createSeededRandom(seed);
    const store: MemoryStore = { ...createMemoryStore(shardCount), group: createGroup() };
    const ports = await findFreePorts(instanceCount * 4);
    let configuration = createConfiguration(1, random);
    const flips: Play["flips"][number][] = [{ at: 0, canResume: true }];
    const areLinked = random.chance(0.4);
    const servers = await startServers(store, random, areLinked);
    const readPorts = servers.map(({ port }) => (): number => port);
    const links = await Promise.all(
        Array.from({ length: areLinked ? instanceCount : 0 }, () => createServerLinks(readPorts)),
    );
    putTestConfiguration(store);
    const start = (index: number, isFirstStart: boolean): TestInstance =>
        startTestInstance({
            name: `front-${index}`,
            host,
            ports: ports.slice(index * 4, index * 4 + 4),
            store,
            isFirstStart,
            translateAddress: address => links[index]?.translate(address) ?? address,
            grace: graceMilliseconds,
            readConfig: () => configuration,
            headers: {
                ...testCodec,
                decodeRequest: (...parameters) => ({ ...testCodec.decodeRequest(...parameters), deadline: undefined }),
            },
        });
    const running = Array.from({ length: instanceCount }, (unused, index) => start(index, true));
    await pause(1_500);
    const end = performance.now() + playMilliseconds;
    const putConfigurations = async (): Promise<void> => {
        while (performance.now() < end) {
            await pause(random.between(900, 2_500));
            configuration = createConfiguration(configuration.version + 1, random);
            flips.push({ at: performance.now(), canResume: configuration.routes[2]!.canResume });
            putTestConfiguration(store);
        }
    };
    const agent = new Agent({ keepAlive: true });
    const clientPorts = ports.filter((unused, index) => index % 4 === 0);
    const sending: Promise<PlayedStream>[] = [];
    const sendAll = async (): Promise<void> => {
        for (let index = 0; performance.now() < end; index++) {
            sending.push(sendStream(index, { random, ports: clientPorts, agent, areLinked }));
            await pause(1_000 / streamsPerSecond);
        }
    };
    await Promise.all([
        stopInTurn(start, running, end),
        sendTrouble(servers, random, end),
        putConfigurations(),
        limitReach(links, random, end),
        sendAll(),
    ]);
    const streams = await Promise.all(sending);
    agent.destroy();
    running.forEach(instance => instance.stop());
    await Promise.all(running.map(({ ended }) => ended));
    servers.forEach(server => server.close());
    links.forEach(link => link.close());
    return { streams, flips };
}
