import { expect } from "chai";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { createServerSockets, type ServerSockets } from "../serverSockets.js";

const timeoutMilliseconds = 1_000;
/** Time in which what the server has sent arrives. */
const arrivalMilliseconds = 50;

function connect(sockets: ServerSockets, port: number): Promise<Socket> {
    return new Promise((resolve, reject) => {
        sockets.connect(
            { hostname: "127.0.0.1", host: "127.0.0.1", protocol: "http:", port: String(port) },
            (error, socket) => {
                socket ? resolve(socket) : reject(error!);
            },
        );
    });
}

describe("sockets to servers", () => {
    // guards against a whole answer without a length that counts as broken as another connection is closed in the same turn (LOST)
    it("tell which connection was reset", async () => {
        const server = createServer(socket => {
            socket.on("error", () => undefined).once("data", () => socket.end("a"));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const sockets = createServerSockets(timeoutMilliseconds);
        const { port } = server.address() as AddressInfo;
        const [ended, failed] = [await connect(sockets, port), await connect(sockets, port)];
        // what comes before a request belongs to none, and closes its connection
        [ended, failed].forEach(socket => socket.write("request"));
        await wait(arrivalMilliseconds);
        failed.on("error", () => undefined);
        failed.read();
        const failedConnection = sockets.findCurrent()!;
        failed.destroy(new Error("closed here"));
        expect(ended.read()?.toString()).to.equal("a");
        const endedConnection = sockets.findCurrent()!;
        const wasReset = await new Promise(resolve => ended.once("end", () => resolve(endedConnection.wasReset())));
        expect([wasReset, failedConnection.wasReset()]).to.deep.equal([false, true]);
        server.close();
    });
});
