// Orders at a service whose servers refuse some as they are full; after some refusals one server sends bytes late that belong
// to no request.
import { request } from "node:http";
import { createFolder, createMachine, pause } from "./machine.mjs";
import { startRawServer } from "./rawServer.mjs";
import { startStore } from "./store.mjs";

const isTrouble = process.env.TROUBLE !== "0";
const machineCount = 2;
const serverCount = 3;
/** Requests a second, in clumps, so that servers are full at times. */
const perSecond = 60;
const clump = 12;
const playMilliseconds = 52_000;
const garble = { at: [4_000, 12_000, 20_000, 28_000, 36_000, 44_000], duration: 5_000 };
const deadlineMilliseconds = 1_500;

/** Plays; `isBroken` decides from the requests that ran twice, and from those that were refused and ran. */
export async function playLateCopies({ closers, write, describeLate, isBroken }) {
    const folder = createFolder();
    closers.push(folder.remove);
    const store = await startStore();
    closers.push(store.close);
    store.put("keyed.op", "config", {
        version: 1,
        routes: [{
            name: "order", host: "orders.example", path_prefix: "/order/", kind: "unsafe", service: "app",
            timeout_ms: deadlineMilliseconds, target_latency_ms: 120, max_attempts: 2, priority: 1, public: true,
            can_resume: false,
        }],
        services: [{ name: "app", health_path: "/health", connection_limit: 110 }],
        limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    });
    let begunAt = Number.POSITIVE_INFINITY;
    const runs = new Map();
    const writeServer = (event, fields) => {
        write(event, fields);
        if (event === "run") {
            runs.set(fields.id, [...runs.get(fields.id) ?? [], fields.server]);
        }
    };
    const servers = [];
    for (let number = 0; number < serverCount; number++) {
        const isGarbling = () => {
            const now = performance.now() - begunAt;
            return isTrouble && number === 0 && garble.at.some(at => now >= at && now < at + garble.duration);
        };
        const server = await startRawServer({
            store, service: "app", id: `i-${number}`, slots: 2, queue: 1, work: 60, write: writeServer, isGarbling,
            describeLate,
        });
        closers.push(server.close);
        servers.push(server);
    }
    const machines = [];
    for (let index = 0; index < machineCount; index++) {
        const machine = await createMachine({ folder: folder.folder, number: index, storeAddress: store.address });
        closers.unshift(() => machine.kill("SIGKILL"));
        machine.start(true);
        machines.push(machine);
    }
    const areReady = await Promise.all(machines.map(machine => machine.waitReady()));
    if (areReady.includes(false)) {
        return 2;
    }
    const answers = new Map();
    let sent = 0;
    const send = () =>
        new Promise(resolve => {
            const id = `a${++sent}`;
            const machine = machines[sent % machineCount];
            const finish = status => {
                answers.set(id, status);
                write("answered", { id, status });
                resolve();
            };
            write("sent", { id, machine: machine.name });
            const sending = request({
                host: machine.host, port: machine.port, method: "POST", path: "/order/x", agent: false,
                headers: {
                    Host: "orders.example", "X-Oriolehatch-Attempt-Id": id, "Content-Length": 2,
                    "X-Oriolehatch-Deadline-Ms": String(deadlineMilliseconds),
                },
            }, response => {
                response.resume();
                response.once("close", () => finish(response.complete ? response.statusCode : undefined));
                response.on("error", () => undefined);
            });
            sending.once("error", () => finish(undefined));
            sending.end("{}");
        });
    const open = [];
    begunAt = performance.now();
    for (let due = 0; performance.now() - begunAt < playMilliseconds;) {
        due += clump;
        for (; due >= 1; due--) {
            open.push(send());
        }
        await pause(clump / perSecond * 1_000);
    }
    await Promise.race([Promise.all(open), pause(3 * deadlineMilliseconds)]);
    const twice = [...runs].filter(([, ranAt]) => ranAt.length > 1);
    const refused = [...answers].filter(([id, status]) => [408, 421, 429, 503].includes(status) && runs.has(id));
    const counts = servers.map(server => server.readCounts());
    const statuses = {};
    answers.forEach(status => statuses[status] = (statuses[status] ?? 0) + 1);
    write("result", { sent, statuses, servers: counts, twice, refusedAndRun: refused.map(([id]) => id) });
    return isBroken({ twice, refused }) ? 1 : 0;
}
