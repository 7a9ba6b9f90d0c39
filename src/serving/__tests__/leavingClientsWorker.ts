/**
 * Clients that leave soon after they have sent their requests, and the server of these requests, in a thread of their
 * own, so that they aren't held up together with the instance between them.
 */
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { parentPort, workerData } from "node:worker_threads";
import { testHost } from "./testHost.js";

/** Settings of the thread. */
export interface LeavingClientsOptions {
    readonly clientPort: number;
    /** Clients that come, one after the other. */
    readonly clients: number;
    /** Time between two clients, in milliseconds. */
    readonly interval: number;
    /** Shortest and longest time from the request until the client closes its connection, in milliseconds. */
    readonly leaveAfter: readonly [number, number];
}

/** What the thread reports at its end. */
export interface LeavingClientsReport {
    readonly kind: "report";
    /** Requests that reached the server over half a second after their client had closed. */
    readonly late: number;
    /** Requests that reached the server after their client had closed. */
    readonly afterClose: number;
    /** Requests that reached the server at all. */
    readonly arrived: number;
    /** Requests on which the server was still at work half a second after the close of their client. */
    readonly stillRunning: number;
}

const lateMilliseconds = 500;
const settleMilliseconds = 3_000;
const options = workerData as LeavingClientsOptions;
const closedAt = new Map<string, number>();
const arrivedAt = new Map<string, number>();
const endedAt = new Map<string, number>();

const server = createServer((request, response) => {
    const id = String(request.headers.id);
    arrivedAt.set(id, performance.now());
    request.resume();
    response.once("close", () => endedAt.set(id, performance.now()));
});
server.listen(0, "127.0.0.1", () => {
    parentPort!.postMessage({ kind: "listening", port: (server.address() as AddressInfo).port });
});

function sendAndLeave(index: number): void {
    const id = `r${index}`;
    const [shortest, longest] = options.leaveAfter;
    const socket = connect(options.clientPort, testHost);
    socket.on("error", () => undefined);
    socket.write(`POST /lookup/x HTTP/1.1\r\nhost: a\r\nid: ${id}\r\nkey: acme-key\r\ncontent-length: 4\r\n\r\nbody`);
    setTimeout(() => {
        closedAt.set(id, performance.now());
        socket.destroy();
    }, shortest + (longest - shortest) * (index % 10) / 10);
}

function createReport(): LeavingClientsReport {
    const delays = [...arrivedAt].map(([id, at]) => at - closedAt.get(id)!);
    return {
        kind: "report",
        late: delays.filter(delay => delay > lateMilliseconds).length,
        afterClose: delays.filter(delay => delay > 0).length,
        arrived: delays.length,
        stillRunning: [...arrivedAt.keys()].filter(id => {
            const closed = closedAt.get(id)!;
            return (endedAt.get(id) ?? Number.POSITIVE_INFINITY) > closed + lateMilliseconds;
        }).length,
    };
}

parentPort!.once("message", () => {
    for (let index = 0; index < options.clients; index++) {
        setTimeout(sendAndLeave, index * options.interval, index);
    }
    setTimeout(() => {
        parentPort!.postMessage(createReport());
        server.closeAllConnections();
        server.close();
    }, options.clients * options.interval + settleMilliseconds);
});
