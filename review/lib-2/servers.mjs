// Stand-in of a plain backend server, which registers itself in the store.
import { createServer } from "node:http";

const host = "127.0.0.1";
const heartbeatMilliseconds = 1_200;
const queueLength = 24;

/**
 * Starts a server with `slots` requests at a time and a short queue; beyond it sheds, as the pages say. `onRun` is called
 * when it begins to work on a request, `onArrival` with each request that it reads.
 */
export async function startServer({ store, service, id, slots = 6, work = 20, answerBytes = 800, onRun, onArrival }) {
    let running = 0;
    const waiting = [];
    const begin = job => {
        running++;
        onRun?.(job);
        const text = `${id} ${job.attemptId} `.padEnd(answerBytes, ".");
        setTimeout(() => {
            running--;
            job.response.writeHead(200, {
                ...job.own,
                "X-Oriolehatch-Response-Signature": `sig.${job.attemptId}`,
                "Content-Length": Buffer.byteLength(text),
            });
            job.response.end(text);
            const next = waiting.shift();
            if (next) {
                begin(next);
            }
        }, work);
    };
    const take = (request, response, bytes) => {
        const attemptId = String(request.headers["x-oriolehatch-attempt-id"] ?? "");
        const own = { "X-Oriolehatch-Attempt-Id": attemptId };
        if (request.url === "/health") {
            response.writeHead(200, { "X-Oriolehatch-Instance-Id": id, "Content-Length": "0" }).end();
            return;
        }
        const expected = request.headers["x-oriolehatch-expect-instance"];
        if (expected !== undefined && expected !== id) {
            response.writeHead(421, { ...own, "X-Oriolehatch-Instance-Id": id, "Content-Length": "0" }).end();
            return;
        }
        const job = { attemptId, request, response, own, bytes, id };
        onArrival?.(job);
        if (running < slots) {
            begin(job);
        }
        else if (waiting.length < queueLength) {
            waiting.push(job);
        }
        else {
            response.writeHead(503, { ...own, "X-Oriolehatch-Not-Executed": "1", "Content-Length": "0" }).end();
        }
    };
    const server = createServer((request, response) => {
        let bytes = 0;
        request.on("data", chunk => bytes += chunk.length);
        request.on("error", () => undefined);
        request.once("end", () => take(request, response, bytes));
    });
    server.keepAliveTimeout = 30_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const entry = {
        service,
        address: `${host}:${server.address().port}`,
        zone: "a",
        version: "v1",
        slots,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 0,
        born: Date.now(),
    };
    const writeEntry = () => store.put("keyed.servers", id, JSON.stringify(entry));
    writeEntry();
    const timer = setInterval(writeEntry, heartbeatMilliseconds);
    return {
        id,
        close: () => {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
}
