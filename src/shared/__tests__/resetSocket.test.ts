import { expect } from "chai";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { resetSocket } from "../index.js";

const unsentBytes = 16 * 1_048_576;
/** Time in which bytes are read at the other end. */
const readMilliseconds = 50;

interface Outcome {
    readonly received: number;
    /** How the connection ended at the other end. */
    readonly end: string;
    /** Errors at the end that was reset. */
    readonly errors: readonly string[];
    /** Connections that are open afterwards, beyond those before. */
    readonly left: number;
}

function countConnections(): number {
    return process.getActiveResourcesInfo().filter(kind => kind === "TCPSocketWrap").length;
}

// what the client of a server sees whose connection `finish` ends
async function collectOutcome(finish: (socket: Socket) => void): Promise<Outcome> {
    const before = countConnections();
    const errors: string[] = [];
    const server = createServer({ allowHalfOpen: true }, socket => {
        socket.on("error", (error: NodeJS.ErrnoException) => errors.push(String(error.code)));
        socket.once("data", () => finish(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
    let received = 0;
    let end = "closed";
    client.on("data", (bytes: Buffer) => received += bytes.length);
    client.once("end", () => end = "ended");
    client.once("error", (error: NodeJS.ErrnoException) => end = String(error.code));
    client.write("begin");
    await new Promise<void>(resolve => client.once("close", () => resolve()));
    server.close();
    // handles of closed connections are given up in the next turns
    await new Promise(resolve => setTimeout(resolve, 100));
    return { received, end, errors, left: countConnections() - before };
}

// a reset that comes together with bytes is an end for Node.js
function callAfterBytes(socket: Socket, call: () => void): void {
    socket.write("abc", () => setTimeout(call, readMilliseconds));
}

describe("reset of a connection", () => {
    // guards against an answer that is cut and looks complete, as the end of the connection is its end
    it("is seen as a reset at the other end, and leaves nothing open where the connection is closed after it", async () => {
        const outcome = await collectOutcome(socket =>
            callAfterBytes(socket, () => {
                resetSocket(socket);
                process.nextTick(() => process.nextTick(() => socket.destroy()));
            })
        );
        expect(outcome).to.deep.equal({ received: 3, end: "ECONNRESET", errors: [], left: 0 });
    });

    it("drops the bytes that weren't sent, also those before an end", async () => {
        const outcome = await collectOutcome(socket => {
            socket.write(Buffer.alloc(unsentBytes));
            socket.end();
            process.nextTick(resetSocket, socket);
        });
        expect(outcome.received).to.be.below(unsentBytes);
        expect(outcome).to.deep.include({ errors: [], left: 0 });
    });

    // guards against a descriptor that is kept for good, and a process that never ends, when an end is on its way
    it("closes the connection whose end is on its way, and leaves nothing open", async () => {
        const outcome = await collectOutcome(socket =>
            callAfterBytes(socket, () => {
                socket.end();
                process.nextTick(resetSocket, socket);
            })
        );
        expect(outcome).to.deep.equal({ received: 3, end: "ended", errors: [], left: 0 });
    });
});
