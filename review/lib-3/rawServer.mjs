// Server at the wire, byte by byte: runs so many requests at once, refuses others as it is full, and in a time of trouble
// sends bytes after some refusals, or some good answers, that belong to no request, late, where the next answer is expected.
import { createServer } from "node:net";

const host = "127.0.0.1";
const heartbeatMilliseconds = 1_200;

/** Answers after which the server may send further bytes, as a part of all its answers. */
const spoiledShare = 0.03;

/**
 * Starts a server; `describeLate` makes the late bytes from the head of the answer before them, whose status is `lateAfter`.
 * `isFailing` says of a request that ran whether its answer is a 500.
 */
export async function startRawServer(options) {
    const {
        store, service, id, slots, queue, work, write, isGarbling, describeLate, lateAfter = 503, isFailing = () => false,
    } = options;
    let running = 0;
    const waiting = [];
    // answers in the time of trouble alone
    const counts = { answers: 0, spoiled: 0 };
    const sockets = new Set();
    const run = ({ attemptId, finish }) => {
        running++;
        write("run", { id: attemptId, server: id });
        setTimeout(() => {
            running--;
            if (waiting.length > 0) {
                run(waiting.shift());
            }
            finish();
        }, work);
    };
    const handle = (connection, { attemptId, expected }) => {
        const send = (status, headers, body) => {
            const head = [`HTTP/1.1 ${status}`, `X-Oriolehatch-Attempt-Id: ${attemptId}`, ...headers];
            const length = `Content-Length: ${body.length}`;
            counts.answers += isGarbling() ? 1 : 0;
            connection.write(`${connection.late}${[...head, length].join("\r\n")}\r\n\r\n${body}`);
            if (connection.late !== "") {
                write("sent late", { server: id, before: attemptId });
            }
            connection.late = "";
            const mayFollow = isGarbling() && status.startsWith(String(lateAfter));
            if (mayFollow && counts.spoiled + 1 <= counts.answers * spoiledShare) {
                counts.spoiled++;
                connection.late = describeLate(head.join("\r\n"));
            }
        };
        if (expected !== id) {
            send("421 Misdirected Request", [`X-Oriolehatch-Instance-Id: ${id}`], "");
            return;
        }
        if (running >= slots && waiting.length >= queue) {
            write("refused by server", { id: attemptId, server: id });
            send("503 Service Unavailable", ["X-Oriolehatch-Not-Executed: 1"], "");
            return;
        }
        const finish = () => {
            const hasFailed = isFailing();
            const signature = `X-Oriolehatch-Response-Signature: ${id}.${attemptId}`;
            write("answered by server", { id: attemptId, server: id, status: hasFailed ? 500 : 200 });
            if (hasFailed) {
                send("500 Internal Server Error", [signature], `${id} failed at ${attemptId}`);
            }
            else {
                send("200 OK", [signature], `${id} ran ${attemptId}`);
            }
        };
        const entry = { attemptId, finish };
        if (running < slots) {
            run(entry);
        }
        else {
            waiting.push(entry);
        }
    };
    const server = createServer(socket => {
        let received = "";
        const connection = { late: "", write: text => socket.destroyed || socket.write(text, "latin1") };
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            for (;;) {
                const end = received.indexOf("\r\n\r\n");
                const head = received.slice(0, end);
                const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
                if (end < 0 || received.length < end + 4 + length) {
                    return;
                }
                received = received.slice(end + 4 + length);
                handle(connection, {
                    attemptId: /\r\nx-oriolehatch-attempt-id: *(\S+)/i.exec(head)?.[1],
                    expected: /\r\nx-oriolehatch-expect-instance: *(\S+)/i.exec(head)?.[1],
                });
            }
        });
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    const born = Date.now();
    let sequence = 0;
    const beat = () =>
        store.put("keyed.servers", id, {
            service, address, zone: "a", version: "v1", slots, state: "ready", cold_remaining_ms: 0, born,
            sequence: ++sequence,
        });
    beat();
    const timer = setInterval(beat, heartbeatMilliseconds);
    return {
        id,
        readCounts: () => counts,
        close: () => {
            clearInterval(timer);
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
