// Stand-ins of the users' servers: a plain one, and one that runs a model with adapters. Both keep to PROTOCOL.md.
import { createServer } from "node:http";

const beatMilliseconds = 1_200;

// Starts a server of a service that answers each request after `workMs`, and registers it in the store.
export async function startPlainServer({ host, store, service, id, zone = "a", slots = 6, workMs = 20, onRun, respond }) {
    let running = 0;
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.once("end", () => {
            const attempt = request.headers["x-oriolehatch-attempt-id"];
            const own = { "X-Oriolehatch-Attempt-Id": attempt ?? "", "X-Oriolehatch-Instance-Id": id };
            if (request.headers["x-oriolehatch-expect-instance"] !== id) {
                response.writeHead(421, { ...own, "content-length": 0 }).end();
                return;
            }
            running++;
            onRun?.({ id, attempt, request, body: Buffer.concat(chunks) });
            if (respond?.({ id, attempt, request, response, own })) {
                return;
            }
            setTimeout(() => {
                running--;
                const body = `${id} ran ${attempt}`;
                response.writeHead(200, {
                    ...own,
                    "X-Oriolehatch-Response-Signature": `sig.${attempt}`,
                    "X-Oriolehatch-Server-Load": `${running},0,${slots}`,
                    "content-length": body.length,
                });
                response.end(body);
            }, workMs);
        });
    });
    server.keepAliveTimeout = 30_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    const entry = {
        service,
        address,
        zone,
        version: "v1",
        slots,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 0,
        born: Date.now(),
    };
    const beat = () => store.put("keyed.servers", id, entry);
    beat();
    const timer = setInterval(beat, beatMilliseconds);
    return {
        id,
        address,
        entry,
        close: () => {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
}
