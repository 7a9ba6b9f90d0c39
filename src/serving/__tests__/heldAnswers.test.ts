import { expect } from "chai";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { resetSocket } from "../../shared/index.js";
import { type Attempt, createServerConnections } from "../serverConnections.js";
import { testCodec } from "./testCodec.js";
import { pause } from "./testStore.js";

type Ending = (socket: Socket) => void;

const head = "HTTP/1.1 200 OK\r\nId: 7\r\n";
const holdMilliseconds = 150;
const part = "x".repeat(2_000);
const forms = {
    "without a length": `${head}Connection: close\r\n\r\n${part}`,
    "with its whole length": `${head}Connection: close\r\nContent-Length: ${part.length}\r\n\r\n${part}`,
    "with more to come": `${head}Connection: close\r\nContent-Length: ${part.length + 1}\r\n\r\n${part}`,
    "in chunks": `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n${part}`,
} as const;
const endings: Readonly<Record<string, Ending>> = {
    "ended with its last bytes": socket => socket.end(),
    ended: socket => setTimeout(() => socket.end(), holdMilliseconds / 3),
    "reset with its last bytes": socket => resetSocket(socket),
    reset: socket => setTimeout(() => resetSocket(socket), holdMilliseconds / 3),
};
// an answer that has its whole length is whole, whatever becomes of its connection
const isWhole = (form: keyof typeof forms, ending: string): boolean =>
    form === "with its whole length" || ending.startsWith("ended") && form === "without a length";

// holds the answer back from its first bytes on, for longer than its connection lasts
async function readHeld(form: string, end: Ending): Promise<{ readonly end: string; readonly length: number; }> {
    const server: Server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.write(form, () => end(socket)));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const connections = createServerConnections({
        headers: testCodec,
        findConnectionLimit: () => 1,
        mayReceive: () => true,
        loop: { isLate: () => false, handleWaiting: () => Promise.resolve() },
        onLeaving: () => undefined,
        idleTimeout: 1_000,
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const observed = { end: "none", length: 0 };
    const sent: Attempt = connections.send(
        {
            server: {
                id: "s",
                startedAt: 1,
                service: "llm",
                address,
                failureDomain: "a",
                isDraining: false,
                softwareVersion: "v1",
                slots: 1,
                models: [],
            },
            attemptId: "7",
            method: "POST",
            target: "/",
            headers: [],
            body: undefined,
        },
        {
            onHead: () => undefined,
            onData: chunk => {
                observed.length += chunk.length;
                sent.pause();
            },
            onEnd: () => observed.end = "end",
            onFault: ({ kind }) => observed.end = kind,
        },
    );
    await pause(holdMilliseconds);
    sent.resume();
    await pause(holdMilliseconds / 3);
    connections.close();
    server.close();
    return observed;
}

describe("answer that is held back for a client which reads slowly", () => {
    for (const form of Object.keys(forms) as (keyof typeof forms)[]) {
        for (const [ending, end] of Object.entries(endings)) {
            // guards against an exception of the HTTP client that ended the process, with all answers in progress
            it(`${form} ends once when its connection is ${ending}`, async () => {
                const { end: observed, length } = await readHeld(forms[form], end);
                expect([observed, length === part.length]).to.deep.equal(
                    isWhole(form, ending) ? ["end", true] : ["broken", length === part.length],
                );
            });
        }
    }
});
