// Rule DRAIN: single machines are partitioned from the store while servers leave.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    bounds,
    createAttemptId,
    planMachine,
    runCase,
    sendRequest,
    sleep,
    startLink,
    startMachines,
} from "../lib/deployment.mjs";
import { startPlainServer } from "../lib/servers.mjs";
import { startStore } from "../lib/store.mjs";

const host = "127.0.0.1";
// TROUBLE=0 does the same without the disruption
const isTroubled = process.env.TROUBLE !== "0";
const serverCount = 14;
// 2 of 14 servers leave, a share of .143; the largest of the site file is .153
const leavingCount = 2;
const rounds = 6;
// a cut lasts 4 s, 5.5 s are named
const cutMilliseconds = 4_000;
const cutLeadMilliseconds = 20;
const service = "order-app";
const config = {
    version: 1,
    routes: [{
        name: "confirm",
        host: "orders.example",
        path_prefix: "/confirm/",
        kind: "unsafe",
        timeout_ms: 800,
        target_latency_ms: 100,
        priority: 2,
        service,
        max_attempts: 1,
        public: true,
        sticky: false,
        can_resume: false,
    }],
    services: [{ name: service, health_path: "/health", connection_limit: 110, protocol: "h1", tls: false }],
    limits: { header_bytes: 16384, body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
};

await runCase(dirname(fileURLToPath(import.meta.url)), async opened => {
    const store = await startStore({ host });
    opened.onEnd(() => store.close());
    const leftAt = new Map();
    const senders = new Map();
    const broken = [];
    let cutMachine;
    const onRun = ({ id, attempt }) => {
        const since = leftAt.has(id) ? performance.now() - leftAt.get(id) : undefined;
        if (since === undefined) {
            return;
        }
        const text = `${id} got ${attempt}, passed on by ${senders.get(attempt)}, ${Math.round(since)} ms after the ` +
            "store acknowledged that it is draining";
        opened.write(text);
        if (since > bounds.drain_ms && senders.get(attempt) !== cutMachine?.name) {
            broken.push(text);
        }
    };
    const servers = [];
    let started = 0;
    const addServer = async () => {
        started++;
        const server = await startPlainServer({ host, store, service, id: `i-${started}`, onRun });
        servers.push(server);
        opened.onEnd(() => server.close());
    };
    for (let index = 0; index < serverCount; index++) {
        await addServer();
    }
    store.put("keyed.op", "config", config);
    const machines = [];
    for (const name of ["front-1", "front-2", "front-3", "front-4"]) {
        const link = await startLink(opened, host, store.address);
        machines.push({ ...await planMachine({ name, store: link.address }), link });
    }
    await startMachines(opened, machines);
    await sleep(5_000);
    // the machine through which the others of its zone read the list of servers is seen by its own reads
    const reads = new Map(machines.map(({ name }) => [name, 0]));
    store.control.intercept = request => {
        if (request.url.startsWith("/log-read?topic=keyed.servers")) {
            const reader = machines.find(({ link }) => link.hasPort(request.socket.remotePort));
            reads.set(reader?.name, reads.get(reader?.name) + 1);
        }
        return false;
    };
    await sleep(3_000);
    store.control.intercept = undefined;
    const reader = machines.reduce((most, machine) => reads.get(machine.name) > reads.get(most.name) ? machine : most);
    opened.write(`reads of the list of servers in 3 s: ${JSON.stringify([...reads])}; ${reader.name} will be cut off`);
    const counts = new Map();
    const send = async machine => {
        const attempt = createAttemptId();
        senders.set(attempt, machine.name);
        const answer = await sendRequest({
            host: machine.host,
            port: machine.ports.front,
            path: "/confirm/1",
            headers: {
                Host: "orders.example",
                "X-Oriolehatch-Attempt-Id": attempt,
                "X-Oriolehatch-Deadline-Ms": "1500",
            },
            body: "order",
        });
        counts.set(answer.status, (counts.get(answer.status) ?? 0) + 1);
    };
    const traffic = setInterval(
        () => machines.filter(machine => machine !== cutMachine).forEach(machine => void send(machine)),
        12,
    );
    for (let round = 0; round < rounds; round++) {
        if (isTroubled) {
            opened.write(`${reader.name} is partitioned from the store`);
            cutMachine = reader;
            reader.link.cut();
        }
        await sleep(cutLeadMilliseconds);
        const leaving = servers.splice(0, leavingCount);
        for (const server of leaving) {
            server.entry.state = "draining";
            store.put("keyed.servers", server.id, server.entry);
            leftAt.set(server.id, performance.now());
        }
        opened.write(`the store has acknowledged that ${leaving.map(({ id }) => id).join()} are draining`);
        await sleep(cutMilliseconds);
        reader.link.heal();
        // they have served for drain_ms and a little longer
        for (const server of leaving) {
            server.close();
            store.put("keyed.servers", server.id, undefined);
            await addServer();
        }
        await sleep(5_000);
        cutMachine = undefined;
    }
    clearInterval(traffic);
    await sleep(1_000);
    opened.write(`answers by status: ${JSON.stringify([...counts])}`);
    return broken;
});
