/**
 * Sends sound requests to one machine while other servers of it send bytes without end.
 */
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { Worker } from "node:worker_threads";
import type { DeliveredMachine } from "./deliveredProgram.js";
import { runDeployment } from "./deployment.js";
import { endlessBytes } from "./endlessBytes.js";
import type { EndlessReport, EndlessRequests } from "./endlessBytesWorker.js";
import { createEndlessConfiguration, faultyRoutes } from "./wireConfiguration.js";
import { runPart, type TrafficPart } from "./wrongByteTraffic.js";

/** What was seen while one kind was sent. */
export interface EndlessPart extends TrafficPart {
    readonly kind: string;
    /** Largest resident memory, in bytes. */
    readonly largestMemory: number;
    /** Number of the answers to the clients of faulty servers that read, by status. */
    readonly statuses: Readonly<Record<string, number>>;
    /** Ends of the process so far. */
    readonly ends: number;
    readonly output: string;
}

const service = "order-app";
const faultyService = "faulty-app";
const soundServers = ["i-1", "i-2", "i-3"];
/** Enough for the connections of all requests at a time. */
const faultyServers = ["f-1", "f-2", "f-3", "f-4"];
const memoryIntervalMilliseconds = 50;
const heartbeatMilliseconds = 1_200;
const bytesPerKibibyte = 1_024;

/**
 * Runs one kind after the other against one machine.
 *
 * @param kinds - names of the bytes
 * @param clients - requests to faulty servers at a time, where the kind names no other number
 * @param duration - time for each kind, in milliseconds
 * @returns what was seen of each kind; no more after the process has ended
 */
export async function runEndlessByteTraffic(
    kinds: readonly string[],
    clients: number,
    duration: number,
): Promise<readonly EndlessPart[]> {
    const worker = new Worker(new URL("./endlessBytesWorker.js", import.meta.url));
    const [listening] = await once(worker, "message") as [Extract<EndlessReport, { readonly kind: "listening"; }>];
    try {
        return await runDeployment(
            {
                configuration: createEndlessConfiguration(service, faultyService),
                servers: soundServers.map(id => ({ service, id })),
                machines: 1,
            },
            async ({ machines, store }) => {
                const machine = machines[0]!;
                const writeEntries = (): void =>
                    faultyServers.forEach(id => store.put("keyed.servers", id, createEntry(listening.port)));
                writeEntries();
                const timer = setInterval(writeEntries, heartbeatMilliseconds);
                await new Promise(resolve => setTimeout(resolve, heartbeatMilliseconds));
                const parts: EndlessPart[] = [];
                for (const kind of kinds) {
                    parts.push(await runKind(machine, worker, { kind, clients, duration }));
                    if (machine.countEnds() > 0) {
                        break;
                    }
                }
                clearInterval(timer);
                return parts;
            },
        );
    }
    finally {
        await worker.terminate();
    }
}

async function runKind(
    machine: DeliveredMachine,
    worker: Worker,
    { kind, clients, duration }: Pick<EndlessRequests, "kind" | "clients" | "duration">,
): Promise<EndlessPart> {
    const { host, clientPort: port } = machine;
    const { route, clients: ownClients = clients, leastDuration = 0, startInterval = 0 } = endlessBytes[kind]!;
    const request: EndlessRequests = {
        kind,
        host,
        port,
        ...faultyRoutes[route],
        clients: ownClients,
        startInterval,
        duration: Math.max(duration, leastDuration),
    };
    let largestMemory = 0;
    let hasEnded = false;
    const watch = setInterval(
        () => largestMemory = Math.max(largestMemory, readMemory(machine)),
        memoryIntervalMilliseconds,
    );
    worker.postMessage(request);
    const reported = once(worker, "message") as Promise<[Extract<EndlessReport, { readonly kind: "ended"; }>]>;
    const [traffic, [{ statuses }]] = await Promise.all([
        runPart(machine, () => kind, () => !hasEnded && machine.countEnds() === 0),
        reported.finally(() => hasEnded = true),
    ]);
    clearInterval(watch);
    return { ...traffic, kind, largestMemory, statuses, ends: machine.countEnds(), output: machine.readOutput() };
}

function createEntry(port: number): string {
    return JSON.stringify({
        service: faultyService,
        address: `127.0.0.1:${port}`,
        zone: "a",
        version: "v1",
        slots: 6,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 0,
        born: bornAt,
    });
}

const bornAt = Date.now();

function readMemory(machine: DeliveredMachine): number {
    const pid = machine.readPid();
    const status = pid === undefined ? "" : readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * bytesPerKibibyte;
}
