/**
 * Cost of the connections between instances: bytes a message, processor time a message, memory a connection.
 *
 * @packageDocumentation
 */
import { setMaxListeners } from "node:events";
import { createFrameCodec, createPeerTask, type PeerTask } from "../peers/index.js";
import { createSystemClock } from "../shared/index.js";
import { startDetached } from "../testing/index.js";
import type { Bench, BenchLine, BenchRun } from "./harness.js";

const smallConnectionCount = 20;
const largeConnectionCount = 120;
const messagesPerConnection = 200;
const heartbeatSeconds = 1;
const messageOverheadTargetBytes = 200;
const microsecondsPerMillisecond = 1_000;
const benchMessage = { kind: "snapshotRefused", reason: "notReady" } as const;

/** Cost of the connections between instances. */
export const peersBench: Bench = { name: "peers", run: measurePeers };

async function measurePeers(run: BenchRun): Promise<readonly BenchLine[]> {
    const counted: BenchLine[] = [{
        what: "heartbeat on the wire, with frame",
        unit: "bytes",
        measure: "count",
        ours: measureHeartbeatBytes(),
        // a heartbeat a second to 8 witnesses has to leave most of the 5 KB/s to others
        bound: { kind: "atMost", value: messageOverheadTargetBytes, source: "a third of 5 KB/s for 8 witnesses" },
    }];
    return run.wallClock ? [...counted, ...await measureConnections()] : counted;
}

function measureHeartbeatBytes(): number {
    const body = {
        kind: "heartbeat",
        instance: "instance-0123456789",
        state: "live",
        configurationOffset: 1_000_000,
        ownershipOffset: 1_000_000,
    };
    const codec = createFrameCodec();
    const encodeNext = (): number => codec.encode({ kind: "message", topic: "membership", body }).byteLength;
    // the first of a connection names its fields
    encodeNext();
    return encodeNext();
}

async function measureConnections(): Promise<readonly BenchLine[]> {
    const small = await measureFleet(smallConnectionCount);
    const large = await measureFleet(largeConnectionCount);
    const messages = (largeConnectionCount - smallConnectionCount) * messagesPerConnection;
    // both ends of each connection live in this process, so a slope holds one sender and one receiver
    const cpuPerMessage = (large.cpuMilliseconds - small.cpuMilliseconds) * microsecondsPerMillisecond / messages;
    const bytesPerConnection = (large.bytes - small.bytes) / (largeConnectionCount - smallConnectionCount);
    return [
        { what: "send and receive one message", unit: "us", measure: "wallClock", ours: cpuPerMessage },
        { what: "memory of both ends of a connection", unit: "bytes", measure: "wallClock", ours: bytesPerConnection },
        {
            what: `processor share of ${1 / heartbeatSeconds} heartbeat/s each way with 8 peers`,
            unit: "% of a core",
            measure: "wallClock",
            ours: 8 * cpuPerMessage / microsecondsPerMillisecond / 10 / heartbeatSeconds,
            bound: { kind: "atMost", value: 1.4, source: "letter: control takes at most 1.4% of a core" },
        },
    ];
}

interface FleetCost {
    readonly cpuMilliseconds: number;
    readonly bytes: number;
}

async function measureFleet(connections: number): Promise<FleetCost> {
    const addresses = new Map<string, string>();
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    const startPeer = async (self: string): Promise<PeerTask> => {
        const task = createPeerTask({ self, findAddress: name => addresses.get(name), clock: createSystemClock() });
        addresses.set(self, await task.listen());
        startDetached(task.run(stop.signal));
        return task;
    };
    const center = await startPeer("center");
    const others = await Promise.all(Array.from({ length: connections }, (unused, index) => startPeer(`peer${index}`)));
    const before = process.memoryUsage();
    others.forEach(other => other.network.send("center", "config", benchMessage));
    await waitForFrames(center, connections);
    const after = process.memoryUsage();
    const start = process.cpuUsage();
    for (let round = 0; round < messagesPerConnection; round++) {
        others.forEach(other => other.network.send("center", "config", benchMessage));
        await waitForFrames(center, connections * (round + 2));
    }
    const used = process.cpuUsage(start);
    stop.abort();
    return {
        cpuMilliseconds: (used.user + used.system) / microsecondsPerMillisecond,
        bytes: after.heapUsed + after.external - before.heapUsed - before.external,
    };
}

async function waitForFrames(peer: PeerTask, frames: number): Promise<void> {
    while (peer.readStatus().receivedFrames < frames) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
