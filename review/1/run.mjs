// Rule CONFIG: a process stands still for seconds after a server has handed out wrong bytes.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    checkReady,
    createAttemptId,
    planMachine,
    runCase,
    sendRequest,
    sleep,
    startMachines,
} from "../lib/deployment.mjs";
import { startPlainServer } from "../lib/servers.mjs";
import { startStore } from "../lib/store.mjs";

const host = "127.0.0.1";
// TROUBLE=0 does the same without the disruption
const isTroubled = process.env.TROUBLE !== "0";
const service = "order-app";
const routeTimeout = 800;
const slack = 500;
const sendInterval = 50;
const calmMilliseconds = 4_000;
const troubleMilliseconds = 16_000;
// `garble` of the site file: a share of .6 of the servers spoils x = 0.02 of their answers
const serverIds = ["i-1", "i-2", "i-3", "i-4", "i-5"];
const garblingServers = ["i-1", "i-2", "i-3"];
const garbledShare = 0.02;
const wrongLines = ["HTTP/1.1 099 -", "HTTP/1.1 101 Switching Protocols"];
// fewer late answers than this are taken for chance; the rule names no number here
const smallestCount = 8;
const config = {
    version: 1,
    routes: [{
        name: "confirm",
        host: "orders.example",
        path_prefix: "/confirm/",
        kind: "unsafe",
        timeout_ms: routeTimeout,
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
    store.put("keyed.op", "config", config);
    let isGarbling = false;
    const answers = new Map(serverIds.map(id => [id, 0]));
    let wrongCount = 0;
    // in place of the answer come bytes that are no answer to this request
    const respond = ({ id, attempt, response }) => {
        if (!isGarbling || !garblingServers.includes(id)) {
            return false;
        }
        answers.set(id, answers.get(id) + 1);
        if (answers.get(id) % Math.round(1 / garbledShare) !== 0) {
            return false;
        }
        const line = wrongLines[wrongCount++ % wrongLines.length];
        opened.write(`${id} hands out wrong bytes in place of its answer to ${attempt}`);
        response.socket.write(`${line}\r\n\r\n`);
        return true;
    };
    for (const id of serverIds) {
        const server = await startPlainServer({ host, store, service, id, respond });
        opened.onEnd(() => server.close());
    }
    const machines = [];
    for (const name of ["front-1", "front-2"]) {
        machines.push(await planMachine({ name, store: store.address }));
    }
    await startMachines(opened, machines);
    await sleep(3_500);
    const requests = [];
    const send = async machine => {
        const attempt = createAttemptId();
        const request = { machine: machine.name, attempt, sentAt: performance.now(), took: Number.POSITIVE_INFINITY };
        requests.push(request);
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
        request.took = performance.now() - request.sentAt;
        opened.write(`${machine.name} answers ${attempt} with ${answer.status ?? answer.error} after ` +
            `${Math.round(request.took)} ms`);
    };
    // the platform's question to each machine, once a second
    const ask = async machine => {
        const askedAt = performance.now();
        const status = await checkReady(machine);
        opened.write(`${machine.name} says ${status ?? "nothing"} to the question whether it is ready, after ` +
            `${Math.round(performance.now() - askedAt)} ms`);
    };
    const traffic = setInterval(() => machines.forEach(machine => void send(machine)), sendInterval);
    const questions = setInterval(() => machines.forEach(machine => void ask(machine)), 1_000);
    await sleep(calmMilliseconds);
    isGarbling = isTroubled;
    await sleep(troubleMilliseconds);
    clearInterval(traffic);
    clearInterval(questions);
    // as long as any request may be unanswered
    await sleep(10_000);
    // all machines are in touch all the time; a client that gave up at its deadline had no answer until then
    const open = requests.filter(({ took }) => took > routeTimeout);
    const late = open.filter(({ took }) => took > routeTimeout + slack);
    const text = `of ${requests.length} requests ${open.length} had no answer at their route's timeout_ms, and ` +
        `${late.length} of these none half a second later`;
    opened.write(text);
    return late.length >= smallestCount && late.length > open.length / 2 ? [text] : [];
});
