// Orders at a service whose servers refuse some as they are full, or lookups of which some fail; after some answers one server
// sends bytes late that belong to no request.
import { request } from "node:http";
import { createFolder, createMachine, pause } from "./machine.mjs";
import { startRawServer } from "./rawServer.mjs";
import { startStore } from "./store.mjs";

const isTrouble = process.env.TROUBLE !== "0";
const machineCount = 2;
const serverCount = 3;
/** Orders in clumps, so that servers are full at times. */
const orders = {
    kind: "unsafe", method: "POST", body: "{}", perSecond: 60, clump: 12, slots: 2, queue: 1, work: 60, lateAfter: 503,
};
/** Lookups that find a free slot; so many fail at their server as the site file says of its lookups. */
export const lookups = {
    kind: "safe", method: "GET", body: "", perSecond: 200, clump: 4, slots: 6, queue: 24, work: 15, lateAfter: 200,
    errorShare: 0.14,
};
const playMilliseconds = 52_000;
const garble = { at: [4_000, 12_000, 20_000, 28_000, 36_000, 44_000], duration: 5_000 };
const deadlineMilliseconds = 1_500;

/**
 * Plays; `isBroken` decides from the requests that ran twice, from those that were refused and ran, and from those that were
 * answered with success though every server that answered them did so with a failure.
 */
export async function playLateCopies({ closers, write, describeLate, isBroken, load = orders }) {
    const folder = createFolder();
    closers.push(folder.remove);
    const store = await startStore();
    closers.push(store.close);
    store.put("keyed.op", "config", {
        version: 1,
        routes: [{
            name: "order", host: "orders.example", path_prefix: "/order/", kind: load.kind, service: "app",
            timeout_ms: deadlineMilliseconds, target_latency_ms: 120, max_attempts: 2, priority: 1, public: true,
            can_resume: false,
        }],
        services: [{ name: "app", health_path: "/health", connection_limit: 110 }],
        limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    });
    let begunAt = Number.POSITIVE_INFINITY;
    const runs = new Map();
    const statusesByServers = new Map();
    const writeServer = (event, fields) => {
        write(event, fields);
        if (event === "run") {
            runs.set(fields.id, [...runs.get(fields.id) ?? [], fields.server]);
        }
        if (event === "answered by server") {
            statusesByServers.set(fields.id, [...statusesByServers.get(fields.id) ?? [], fields.status]);
        }
    };
    const servers = [];
    for (let number = 0; number < serverCount; number++) {
        const isGarbling = () => {
            const now = performance.now() - begunAt;
            return isTrouble && number === 0 && garble.at.some(at => now >= at && now < at + garble.duration);
        };
        const server = await startRawServer({
            store, service: "app", id: `i-${number}`, slots: load.slots, queue: load.queue, work: load.work,
            write: writeServer, isGarbling, describeLate, lateAfter: load.lateAfter,
            isFailing: () => load.errorShare !== undefined && Math.random() < load.errorShare,
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
            const finish = (status, body) => {
                answers.set(id, status);
                write("answered", { id, status, body });
                resolve();
            };
            write("sent", { id, machine: machine.name });
            const sending = request({
                host: machine.host, port: machine.port, method: load.method, path: "/order/x", agent: false,
                headers: {
                    Host: "orders.example", "X-Oriolehatch-Attempt-Id": id,
                    ...load.body !== "" && { "Content-Length": load.body.length },
                    "X-Oriolehatch-Deadline-Ms": String(deadlineMilliseconds),
                },
            }, response => {
                let body = "";
                response.on("data", chunk => body += chunk);
                response.once("close", () => finish(response.complete ? response.statusCode : undefined, body));
                response.on("error", () => undefined);
            });
            sending.once("error", () => finish(undefined));
            sending.end(load.body);
        });
    const open = [];
    begunAt = performance.now();
    for (let due = 0; performance.now() - begunAt < playMilliseconds;) {
        due += load.clump;
        for (; due >= 1; due--) {
            open.push(send());
        }
        await pause(load.clump / load.perSecond * 1_000);
    }
    await Promise.race([Promise.all(open), pause(3 * deadlineMilliseconds)]);
    const twice = load.kind === "unsafe" ? [...runs].filter(([, ranAt]) => ranAt.length > 1) : [];
    const refused = [...answers].filter(([id, status]) => [408, 421, 429, 503].includes(status) && runs.has(id));
    const failedAtServers = [...answers].filter(([id, status]) =>
        status === 200 && statusesByServers.get(id)?.every(given => given !== 200)
    );
    const counts = servers.map(server => server.readCounts());
    const statuses = {};
    answers.forEach(status => statuses[status] = (statuses[status] ?? 0) + 1);
    write("result", {
        sent, statuses, servers: counts, twice, refusedAndRun: refused.map(([id]) => id),
        failedAndDelivered: failedAtServers.map(([id]) => id),
    });
    return isBroken({ twice, refused, failedAtServers }) ? 1 : 0;
}
