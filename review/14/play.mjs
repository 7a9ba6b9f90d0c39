// The store turns one of three machines away while the operator writes large configurations, of which the last takes a key away;
// a client goes on with that key.
import { request } from "node:http";
import { join } from "node:path";
import { createFolder, createMachine, pause } from "../lib-3/machine.mjs";
import { startRawServer } from "../lib-3/rawServer.mjs";
import { runCase } from "../lib-3/runCase.mjs";
import { startStore } from "../lib-3/store.mjs";

const isTrouble = process.env.TROUBLE !== "0";
const machineCount = 3;
const revokeMilliseconds = 5_000;
const routeCount = 1_240;
const keys = { kept: "i9n73hh2b9wu3fexd9dn", taken: "q4c81mz6t0ye5hkrs2wa" };
/** Times in the play, in milliseconds. */
const turnedAway = { at: 4_000, duration: 9_000 };
const versionsAt = Array.from({ length: 11 }, (unused, index) => 4_100 + index * 330);
const takenAt = 7_900;
const playMilliseconds = 22_000;
const perSecond = 300;
const deadlineMilliseconds = 1_500;

function describeConfiguration(version, held) {
    const target = { service: "app", timeout_ms: deadlineMilliseconds, target_latency_ms: 120, max_attempts: 2, priority: 1 };
    const routes = Array.from({ length: routeCount }, (unused, number) => ({
        name: `route-${number}`, host: "shop.example", path_prefix: `/r${number}/`, kind: "safe", public: false,
        can_resume: false, ...target,
    }));
    return {
        version,
        routes,
        services: [{ name: "app", health_path: "/health", connection_limit: 110 }],
        limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [{ name: "hule930", api_keys: held, priority: 1, rate_per_s: 0, burst: 0 }],
    };
}

async function play({ closers, write }) {
    const folder = createFolder();
    closers.push(folder.remove);
    let begunAt = Number.POSITIVE_INFINITY;
    const now = () => performance.now() - begunAt;
    const isTurnedAway = () => isTrouble && now() >= turnedAway.at && now() < turnedAway.at + turnedAway.duration;
    const store = await startStore({ isTurnedAway });
    closers.push(store.close);
    let version = 0;
    // the store's answer to the operator is its acknowledgement
    const publish = held => {
        const value = describeConfiguration(++version, held);
        store.put("keyed.op", "config", value);
        write("configuration", { version, keys: held.length, bytes: JSON.stringify(value).length });
    };
    publish([keys.kept, keys.taken]);
    const sentAt = new Map();
    const runs = [];
    const server = await startRawServer({
        store, service: "app", id: "i-0", slots: 200, queue: 200, work: 10, isGarbling: () => false,
        describeLate: () => "",
        write: (event, fields) => {
            write(event, fields);
            if (event === "run") {
                runs.push(fields.id);
            }
        },
    });
    closers.push(server.close);
    const machines = [];
    for (let index = 0; index < machineCount; index++) {
        const storeAddress = index === 0 ? store.secondAddress : store.address;
        const machine = await createMachine({ folder: folder.folder, number: index, storeAddress });
        closers.unshift(() => machine.kill("SIGKILL"));
        machine.start(true);
        machines.push(machine);
    }
    if ((await Promise.all(machines.map(machine => machine.waitReady()))).includes(false)) {
        return 2;
    }
    begunAt = performance.now();
    let acknowledgedAt = Number.POSITIVE_INFINITY;
    versionsAt.forEach(at => setTimeout(() => publish([keys.kept, keys.taken]), at));
    setTimeout(() => {
        publish([keys.kept]);
        acknowledgedAt = now();
    }, takenAt);
    const statuses = {};
    let sent = 0;
    const send = () => {
        const id = `a${++sent}`;
        const machine = machines[sent % machineCount];
        sentAt.set(id, now());
        const finish = status => {
            const isLate = sentAt.get(id) > acknowledgedAt + revokeMilliseconds;
            const phase = isLate ? "late" : "before";
            statuses[`${phase} ${status}`] = (statuses[`${phase} ${status}`] ?? 0) + 1;
            write("answered", { id, status });
        };
        write("sent", { id, machine: machine.name });
        const sending = request({
            host: machine.host, port: machine.port, path: `/r${sent % routeCount}/x`, agent: false,
            headers: {
                Host: "shop.example", "X-Oriolehatch-Attempt-Id": id, "X-Oriolehatch-Key": keys.taken,
                "X-Oriolehatch-Deadline-Ms": String(deadlineMilliseconds),
            },
        }, response => {
            response.resume();
            response.once("close", () => finish(response.complete ? response.statusCode : undefined));
            response.on("error", () => undefined);
        });
        sending.once("error", error => finish(error.code));
        sending.end();
    };
    for (let counted = 0; now() < playMilliseconds;) {
        for (const due = now() / 1_000 * perSecond; counted < due; counted++) {
            send();
        }
        await pause(5);
    }
    await pause(deadlineMilliseconds);
    const late = runs.filter(id => sentAt.get(id) > acknowledgedAt + revokeMilliseconds);
    const lateBy = late.map(id => Math.round(sentAt.get(id) - acknowledgedAt));
    write("result", { sent, statuses, ranLate: late.length, sentAfter: lateBy.slice(0, 10), isBroken: late.length > 0 });
    return late.length > 0 ? 1 : 0;
}

await runCase(join(import.meta.dirname, "record.txt"), play);
