// One tenant with a quota in tokens, whose requests go to the machines in rotation in turn; counts the tokens that run. As on the
// pages, a machine is asked once a second whether it is ready, leaves the rotation after two misses and is back with a 200; a client
// whose connection is refused tries once more, at another machine, and leaves at its deadline.
import { request } from "node:http";
import { createFolder, createMachine, pause } from "./machine.mjs";
import { startRawServer } from "./rawServer.mjs";
import { startStore } from "./store.mjs";

const key = "i9n73hh2b9wu3fexd9dn";
const quota = { unit: "tokens", plain_tokens: 200, rate_per_s: 86_328, burst: 86_328 };
/** Bounds of the settings: `quota_window_s`, `quota_over`, `quota_slack`. */
const window = { milliseconds: 8_000, over: 0.1, slack: 17_000 };
const counts = { prompt: 1_460, output: 80 };
const requestTokens = counts.prompt + counts.output;
/** Requests a second of the tenant, half of its quota. */
const usualPerSecond = 28;
const serverCount = 3;
const settlingMilliseconds = 3_000;
const askMilliseconds = 1_000;
const missesUntilOut = 2;
const deadlineMilliseconds = 1_500;

function measureWorstWindow(runs) {
    let worst = { tokens: 0, from: 0 };
    for (const { at: to } of runs) {
        const from = to - window.milliseconds;
        const tokens = runs.filter(run => run.sentAt >= from && run.at <= to).length * requestTokens;
        worst = tokens > worst.tokens ? { tokens, from: Math.round(from) } : worst;
    }
    return worst;
}

/**
 * Plays; `hot` has the times in which the tenant sends more, `isLate` says of a write to the store whether it is done late, and
 * `disturb` gets the machines and the clock of the play, and resolves when it has done what it does.
 */
export async function playQuota({ closers, write, machineCount, playMilliseconds, hot, isLate, disturb }) {
    const folder = createFolder();
    closers.push(folder.remove);
    let begunAt = Number.POSITIVE_INFINITY;
    const now = () => performance.now() - begunAt;
    const store = await startStore({ isLate: call => isLate?.(call, now()) ?? false });
    closers.push(store.close);
    store.put("keyed.op", "config", {
        version: 1,
        routes: [{
            name: "order", host: "orders.example", path_prefix: "/order/", kind: "unsafe", service: "app",
            timeout_ms: deadlineMilliseconds, target_latency_ms: 120, max_attempts: 1, priority: 1, public: false,
            can_resume: false,
        }],
        services: [{ name: "app", health_path: "/health", connection_limit: 240 }],
        limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [{ name: "hule930", api_keys: [key], priority: 1, ...quota }],
    });
    const sentAt = new Map();
    const runs = [];
    const writeServer = (event, fields) => {
        write(event, fields);
        if (event === "run") {
            runs.push({ at: now(), sentAt: sentAt.get(fields.id) });
        }
    };
    for (let number = 0; number < serverCount; number++) {
        const server = await startRawServer({
            store, service: "app", id: `i-${number}`, slots: 200, queue: 200, work: 20, write: writeServer,
            isGarbling: () => false, describeLate: () => "",
        });
        closers.push(server.close);
    }
    const machines = [];
    for (let index = 0; index < machineCount; index++) {
        const machine = await createMachine({ folder: folder.folder, number: index + 1, storeAddress: store.address });
        closers.unshift(() => machine.kill("SIGKILL"));
        machine.start(true);
        machines.push(machine);
    }
    if ((await Promise.all(machines.map(machine => machine.waitReady()))).includes(false)) {
        return 2;
    }
    const misses = machines.map(() => 0);
    const ask = setInterval(() =>
        machines.forEach(async (machine, index) => {
            misses[index] = await machine.isReady() ? 0 : misses[index] + 1;
        }), askMilliseconds);
    closers.unshift(() => clearInterval(ask));
    // where fewer than half are in rotation, all are used
    const listUsable = () => {
        const inRotation = machines.filter((machine, index) => misses[index] < missesUntilOut);
        return inRotation.length * 2 < machineCount ? machines : inRotation;
    };
    await pause(settlingMilliseconds);
    begunAt = performance.now();
    const disturbed = disturb(machines, now);
    const isHot = at => hot.at.some(begin => at >= begin && at < begin + hot.duration);
    const statuses = {};
    let sent = 0;
    const send = (refusing, retryDeadline = deadlineMilliseconds) => {
        const usable = listUsable().filter(machine => machine !== refusing);
        const machine = usable[sent % usable.length] ?? refusing;
        const id = `a${++sent}`;
        const begunSending = now();
        let isOver = false;
        const finish = status => {
            if (isOver) {
                return;
            }
            isOver = true;
            clearTimeout(leave);
            const phase = isHot(begunSending) ? "hot" : "usual";
            statuses[`${phase} ${status}`] = (statuses[`${phase} ${status}`] ?? 0) + 1;
            write("answered", { id, status });
        };
        sentAt.set(id, begunSending);
        write("sent", { id, machine: machine.name });
        const sending = request({
            host: machine.host, port: machine.port, method: "POST", path: "/order/x", agent: false,
            headers: {
                Host: "orders.example", "X-Oriolehatch-Attempt-Id": id, "Content-Length": 2,
                "X-Oriolehatch-Deadline-Ms": String(Math.round(retryDeadline)), "X-Oriolehatch-Key": key,
                "X-Oriolehatch-Token-Counts": `${counts.prompt},${counts.output}`,
            },
        }, response => {
            response.resume();
            response.once("close", () => finish(response.complete ? response.statusCode : undefined));
            response.on("error", () => undefined);
        });
        const leave = setTimeout(() => {
            finish("deadline");
            sending.destroy();
        }, retryDeadline);
        sending.on("error", error => {
            finish(error.code);
            // the connection was refused, so that the machine has read nothing
            if (error.code === "ECONNREFUSED" && refusing === undefined) {
                send(machine, retryDeadline - (now() - begunSending));
            }
        });
        sending.end("{}");
    };
    let due = 0;
    for (let counted = now(); counted < playMilliseconds;) {
        const present = now();
        due += usualPerSecond * (isHot(present) ? hot.factor : 1) * (present - counted) / 1_000;
        counted = present;
        for (; due >= 1; due--) {
            send();
        }
        await pause(10);
    }
    const seen = await disturbed;
    await pause(deadlineMilliseconds);
    const limit = (quota.rate_per_s * window.milliseconds / 1_000 + quota.burst) * (1 + window.over) + window.slack;
    const worst = measureWorstWindow(runs);
    const isBroken = worst.tokens > limit;
    write("result", { sent, statuses, ...seen, worst, limit: Math.round(limit), isBroken });
    return isBroken ? 1 : 0;
}
