import { expect } from "chai";
import { createServer, type Server, type Socket } from "node:net";
import { Pool } from "undici";
import type { Result } from "../../shared/index.js";
import { type HttpRequestError, type HttpResponse, sendHttpRequest } from "../httpRequest.js";

interface Outcome {
    readonly result: Result<HttpResponse, HttpRequestError>;
    /** Whether the server saw its connection closed. */
    readonly isClosed: boolean;
    readonly sentBytes: number;
}

// a server that sends `start` and then filler bytes as long as the connection stands
async function receiveWithoutEnd(start: string): Promise<Outcome> {
    const filler = Buffer.alloc(65_536, "x");
    let isClosed = false;
    let sentBytes = 0;
    const server: Server = createServer((socket: Socket) => {
        const send = (): void => {
            while (!socket.destroyed) {
                sentBytes += filler.length;
                if (!socket.write(filler)) {
                    socket.once("drain", send);
                    return;
                }
            }
        };
        socket.on("error", () => undefined);
        socket.once("close", () => {
            isClosed = true;
        });
        socket.once("data", () => {
            socket.write(start);
            send();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const pool = new Pool(`http://127.0.0.1:${(server.address() as { readonly port: number; }).port}`);
    const result = await sendHttpRequest(pool, { method: "GET", path: "/", timeout: 10_000 });
    await new Promise(resolve => setTimeout(resolve, 50));
    await pool.destroy();
    server.close();
    return { result, isClosed, sentBytes };
}

describe("calls to the store and to engines", () => {
    // guards against memory that fills with a body that never ends, until the time limit of the call
    it("give up a body without end and close its connection", async () => {
        const outcome = await receiveWithoutEnd("HTTP/1.1 200 OK\r\n\r\n");
        expect(outcome.result.ok).to.equal(false);
        expect(outcome.isClosed).to.equal(true);
        expect(outcome.sentBytes).to.be.below(40_000_000);
    });

    // guards against memory that fills with a head that never ends
    it("give up a head without end and close its connection", async () => {
        const outcome = await receiveWithoutEnd("HTTP/1.1 200 OK\r\nX: ");
        expect(outcome.result.ok).to.equal(false);
        expect(outcome.isClosed).to.equal(true);
        expect(outcome.sentBytes).to.be.below(10_000_000);
    });
});
