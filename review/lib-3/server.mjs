// Stand-in of a plain server at the wire: registers itself in the store, runs requests and answers them.
import { createServer } from "node:http";

const host = "127.0.0.1";
const heartbeatMilliseconds = 1_200;

/** Starts a server; `respond` may answer a run itself, and returns whether it does. */
export async function startServer({ store, service, id, slots = 256, work = 20, respond, onRun = () => undefined, fields = {} }) {
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        request.once("end", () => {
            const attemptId = String(request.headers["x-oriolehatch-attempt-id"] ?? "");
            const own = { "X-Oriolehatch-Attempt-Id": attemptId, "X-Oriolehatch-Instance-Id": id };
            const expected = request.headers["x-oriolehatch-expect-instance"];
            if (expected !== undefined && expected !== id) {
                response.writeHead(421, { ...own, "Content-Length": "0" }).end();
                return;
            }
            const body = Buffer.concat(chunks);
            if (respond?.({ attemptId, request, response, body, own })) {
                return;
            }
            onRun({ attemptId, id, request, body });
            setTimeout(() => {
                const text = `${id} ran ${attemptId}`;
                response.writeHead(200, {
                    ...own,
                    "X-Oriolehatch-Response-Signature": `sig.${attemptId}`,
                    "Content-Length": text.length,
                });
                response.end(text);
            }, work);
        });
    });
    server.keepAliveTimeout = 5_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    let sequence = 0;
    // the entry changes only in its sequence, so that one write is enough for readers; it is repeated as servers do
    const born = Date.now();
    const write = state =>
        store.put("keyed.servers", id, {
            service, address, zone: "a", version: "v1", slots, state, cold_remaining_ms: 0, born, sequence: ++sequence,
            ...fields,
        });
    write("ready");
    const timer = setInterval(() => write("ready"), heartbeatMilliseconds);
    return {
        id,
        address,
        close: () => {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
}
