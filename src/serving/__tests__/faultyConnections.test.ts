import { expect } from "chai";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { closeFaultyConnections } from "../faultyConnections.js";

const headTimeoutMilliseconds = 100;
const checkIntervalMilliseconds = 30;
/** An answer in progress lasts longer than a head may take to come, checks included. */
const answerMilliseconds = 400;
const requestText = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

interface Opened {
    readonly server: Server;
    readonly client: Socket;
    readonly answers: ServerResponse[];
    readonly readText: () => string;
    readonly closed: Promise<void>;
}

// the test ends the answers
async function open(): Promise<Opened> {
    const answers: ServerResponse[] = [];
    const server = createServer({
        headersTimeout: headTimeoutMilliseconds,
        requestTimeout: 0,
        connectionsCheckingInterval: checkIntervalMilliseconds,
    }, (request, response) => {
        response.write("a");
        answers.push(response);
    });
    closeFaultyConnections(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
    let text = "";
    client.on("data", (chunk: Buffer) => text += chunk.toString());
    client.on("error", () => undefined);
    const closed = new Promise<void>(resolve => client.once("close", () => resolve()));
    return { server, client, answers, closed, readText: () => text };
}

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

function close({ client, server }: Opened): void {
    client.destroy();
    server.close();
}

describe("connections of clients with something after a request that can't be read", () => {
    // guards against the time-out of a next head that ends the answer in progress on its connection (LOST)
    it("end the answer in progress first when a next head doesn't come in time", async () => {
        const opened = await open();
        opened.client.write(`${requestText}GET / HT`);
        await pause(answerMilliseconds);
        opened.answers[0]!.end("b");
        await opened.closed;
        expect(opened.readText()).to.match(/1\r\na\r\n1\r\nb\r\n0\r\n\r\n$/);
        close(opened);
    });

    it("take the next request when the rest of its head comes after the answer", async () => {
        const opened = await open();
        opened.client.write(`${requestText}GET / HT`);
        await pause(answerMilliseconds);
        opened.answers[0]!.end("b");
        opened.client.write("TP/1.1\r\nHost: h\r\n\r\n");
        await pause(answerMilliseconds);
        opened.answers[1]!.end("c");
        await pause(checkIntervalMilliseconds);
        expect(opened.readText()).to.match(/1\r\na\r\n1\r\nc\r\n0\r\n\r\n$/);
        close(opened);
    });

    // guards against bytes after a request that end its answer (LOST)
    it("end the answer in progress first when what comes is no request", async () => {
        const opened = await open();
        opened.client.write(requestText);
        await pause(checkIntervalMilliseconds);
        opened.client.write("\x00no request\r\n\r\n");
        await pause(answerMilliseconds);
        opened.answers[0]!.end("b");
        await opened.closed;
        expect(opened.readText()).to.match(/1\r\na\r\n1\r\nb\r\n0\r\n\r\n$/);
        close(opened);
    });

    // guards against a connection that stays open for good, with its request, after its client has left
    it("are closed at once when the client ends them", async () => {
        const opened = await open();
        opened.client.write(requestText);
        await pause(checkIntervalMilliseconds);
        opened.client.end("GET / HT");
        await pause(checkIntervalMilliseconds);
        expect(opened.answers[0]!.closed).to.equal(true);
        close(opened);
    });

    // guards against memory for each chunk of a client that sends without end beside its answer
    it("wait once for the answer, however much comes that is no request", async () => {
        const opened = await open();
        opened.client.write(requestText);
        await pause(checkIntervalMilliseconds);
        const count = opened.answers[0]!.listenerCount("close");
        for (let chunk = 0; chunk < 5; chunk++) {
            opened.client.write("\x00no request\r\n\r\n");
            await pause(checkIntervalMilliseconds);
        }
        expect(opened.answers[0]!.listenerCount("close")).to.equal(count + 1);
        close(opened);
    });

    // guards against a client that sends without end beside its answer and takes the time of all others
    it("are closed before the end of the answer when more comes than a head may have", async () => {
        const opened = await open();
        opened.client.write(requestText);
        await pause(checkIntervalMilliseconds);
        opened.client.write(Buffer.alloc(60_000));
        await pause(answerMilliseconds);
        expect(opened.answers[0]!.closed).to.equal(false);
        opened.client.write(Buffer.alloc(200_000));
        await pause(answerMilliseconds);
        expect(opened.answers[0]!.closed).to.equal(true);
        close(opened);
    });

    it("are closed at once when no answer is in progress", async () => {
        for (const text of ["GET / HT", "\x00no request\r\n\r\n"]) {
            const opened = await open();
            opened.client.write(text);
            await opened.closed;
            expect(opened.answers).to.deep.equal([]);
            close(opened);
        }
        const opened = await open();
        opened.client.write(requestText);
        await pause(checkIntervalMilliseconds);
        opened.answers[0]!.end("b");
        await pause(checkIntervalMilliseconds);
        opened.client.write("\x00no request\r\n\r\n");
        await opened.closed;
        close(opened);
    });
});
