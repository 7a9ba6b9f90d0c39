/**
 * Faulty servers that send without end, and the clients of their requests, in a thread of their own, so that they hold up
 * neither the sound clients nor the measurement.
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { parentPort } from "node:worker_threads";
import { type EndlessBytes, endlessBytes } from "./endlessBytes.js";

/** What the thread is told to do. */
export interface EndlessRequests {
    /** Name of the bytes that the servers send. */
    readonly kind: string;
    /** Address of the machine. */
    readonly host: string;
    readonly port: number;
    /** Value of the `Host` header. */
    readonly site: string;
    readonly path: string;
    /** Requests at a time; the client of each second one reads nothing. */
    readonly clients: number;
    /** Time between the first requests of two clients, in milliseconds. */
    readonly startInterval: number;
    /** Time in which the clients send, in milliseconds; they then leave. */
    readonly duration: number;
}

/** What the thread says: its port, or the end of the requests with the statuses of the answers. */
export type EndlessReport =
    | { readonly kind: "listening"; readonly port: number; }
    | { readonly kind: "ended"; readonly statuses: Readonly<Record<string, number>>; };

const blockBytes = 65_536;
const pauseMilliseconds = 20;
let current: EndlessBytes = { route: "plain", start: "", unit: "x" };

function writeWithoutEnd(socket: Socket, received: string): void {
    const kind = current;
    const readHeader = (name: string): string => new RegExp(`\\r\\n${name}: ([^\\r]*)`, "i").exec(received)?.[1] ?? "";
    const start = kind.start
        .replaceAll("ID", readHeader("x-oriolehatch-attempt-id"))
        .replaceAll("SERVER", readHeader("x-oriolehatch-expect-instance"));
    let count = 0;
    let sentBytes = 0;
    const block = Buffer.from(kind.unit.repeat(Math.max(1, Math.floor(blockBytes / kind.unit.length))), "latin1");
    const createCounted = (): Buffer =>
        Buffer.from(Array.from({ length: 1_000 }, () => kind.unit.replace("N", String(++count))).join(""));
    const send = (): void => {
        if (socket.destroyed || sentBytes >= (kind.limit ?? Number.POSITIVE_INFINITY)) {
            return;
        }
        const bytes = kind.isSlow ? kind.unit : kind.isCounted ? createCounted() : block;
        sentBytes += bytes.length;
        if (socket.write(bytes)) {
            setImmediate(send);
            return;
        }
        socket.once("drain", send);
    };
    socket.setNoDelay(true);
    socket.write(Buffer.from(start, "latin1"));
    send();
}

async function sendRequests(request: EndlessRequests): Promise<Readonly<Record<string, number>>> {
    const until = performance.now() + request.duration;
    const statuses: Record<string, number> = {};
    const runClient = async (index: number): Promise<void> => {
        await new Promise(resolve => setTimeout(resolve, index * request.startInterval));
        for (let count = 0; performance.now() < until; count++) {
            const status = await sendRequest(request, `w${index}-${count}`, index % 2 === 0, until - performance.now());
            statuses[status] = (statuses[status] ?? 0) + 1;
            await new Promise(resolve => setTimeout(resolve, pauseMilliseconds));
        }
    };
    await Promise.all(Array.from({ length: request.clients }, (unused, index) => runClient(index)));
    return statuses;
}

function sendRequest(
    { host, port, site, path, kind }: EndlessRequests,
    id: string,
    reads: boolean,
    patience: number,
): Promise<string> {
    return new Promise(resolve => {
        let status = reads ? "none" : "unread";
        const socket = connect({ host, port });
        const timer = setTimeout(() => socket.destroy(), patience);
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            if (status === "none") {
                status = chunk.toString("latin1", 9, 12);
            }
        });
        if (!reads) {
            socket.pause();
        }
        socket.once("close", () => {
            clearTimeout(timer);
            resolve(status);
        });
        socket.write(
            `POST ${path} HTTP/1.1\r\nHost: ${site}\r\nX-Oriolehatch-Attempt-Id: ${id}-${kind.length}\r\n` +
                "Content-Length: 1\r\nConnection: close\r\n\r\nx",
        );
    });
}

const server = createServer(socket => {
    let received = "";
    let isSending = false;
    socket.on("error", () => undefined);
    socket.on("data", chunk => {
        received += chunk.toString("latin1");
        if (received.includes("\r\n\r\n") && !isSending) {
            isSending = true;
            writeWithoutEnd(socket, received);
        }
    });
});
server.listen(0, "127.0.0.1", () => {
    const report: EndlessReport = { kind: "listening", port: (server.address() as AddressInfo).port };
    parentPort!.postMessage(report);
});
parentPort!.on("message", async (request: EndlessRequests) => {
    current = endlessBytes[request.kind]!;
    const report: EndlessReport = { kind: "ended", statuses: await sendRequests(request) };
    parentPort!.postMessage(report);
});
