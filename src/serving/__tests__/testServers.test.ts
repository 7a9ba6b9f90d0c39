import { expect } from "chai";
import { connect } from "node:net";
import { type ServerWorld, startServer } from "./testServers.js";
import { createMemoryStore, pause } from "./testStore.js";

const restartDelay = 100;

function countListening(): number {
    return process.getActiveResourcesInfo().filter(kind => kind === "TCPServerWrap").length;
}

// requests on connections of their own, which a server reads in the same turn of the event loop
function sendTogether(port: number, count: number): void {
    for (let index = 0; index < count; index++) {
        const socket = connect({ host: "127.0.0.1", port });
        socket.on("error", () => undefined);
        socket.write(`GET / HTTP/1.1\r\nhost: a\r\nid: r${index}\r\nexpected: s-0-0\r\nparts: bad\r\n\r\n`);
    }
}

describe("server of the tests that requests end", () => {
    // guards against a second run beside the next one, which nobody closes, so that the process of the tests never ends
    it("ends one run only by the requests that came to it, and leaves no port open", async () => {
        const listening = countListening();
        const stopping = new AbortController();
        // the first answer begins before the run ends, the second one after it
        const delays = [0, 40];
        const world: ServerWorld = {
            options: {
                crashingPart: "bad",
                restartDelay,
                answerDuration: 10,
                readHeadDelay: () => delays.shift() ?? 0,
            },
            store: createMemoryStore(4),
            arrivals: [],
            closes: [],
            crashes: [],
            stopping: stopping.signal,
        };
        const server = await startServer(0, world);
        sendTogether(server.readPort()!, 2);
        await pause(4 * restartDelay);
        stopping.abort();
        server.close();
        await pause(2 * restartDelay);
        expect([world.arrivals.length, world.crashes.length]).to.deep.equal([2, 1]);
        expect(countListening()).to.equal(listening);
    });
});
