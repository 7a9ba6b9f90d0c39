// Machines of a small deployment: processes with the command of the deploy file, on loopback addresses of their own.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const bounds = {
    seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8,
    loss_slack_ms: 200, config_ms: 2000, rollback_slack_ms: 250, outer_ms: 5000, strict_revocation: true,
    revoke_ms: 5000, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 56, quota_window_s: 8, quota_over: 0.1,
    quota_slack: 17000, recovery_s: 12, pass_ms: 120, retry_after_s: 0, require_fencing: true, lease_ms: 3000,
    thaw_ms: 300, ceiling_window_s: 5, ceiling_over: 1.1, version_ms: 5000,
};
export const pause = duration => new Promise(resolve => setTimeout(resolve, duration));

function readCommand() {
    const run = /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))[1];
    return run.split(" ");
}

async function findFreePort(host) {
    const server = createServer();
    await new Promise((resolve, reject) => server.once("error", reject).listen(0, host, resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** Creates the machines' folder; the caller removes it. */
export function createFolder() {
    const folder = mkdtempSync(join(tmpdir(), "oriolehatch-review-"));
    return { folder, remove: () => rmSync(folder, { recursive: true, force: true }) };
}

/** Creates a machine, whose address stays over restarts; `onEnd` hears of each end that nobody asked for. */
export async function createMachine({ folder, number, storeAddress, limits = {}, onEnd = () => undefined }) {
    const name = `front-a-${number}`;
    const host = `127.${process.pid % 200 + 20}.${Math.floor(process.pid / 200) % 250}.${number + 1}`;
    const [front, ready, peer] = [await findFreePort(host), await findFreePort(host), await findFreePort(host)];
    const file = join(folder, `${name}.json`);
    let child;
    let output = "";
    const isReady = () =>
        new Promise(resolve => {
            const request = get({ host, port: ready, path: "/readiness", agent: false, timeout: 500 }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            request.on("error", () => resolve(false));
            request.on("timeout", () => request.destroy());
        });
    return {
        name,
        host,
        port: front,
        isReady,
        readPid: () => child?.pid,
        readOutput: () => output,
        start: bootstrap => {
            writeFileSync(file, JSON.stringify({
                node_name: name, role: "entry", machine_class: "front", serves: ["front"], ip_address: host, zone: "a",
                region: "r", zones: { a: "r" }, listen_addresses: { front: `${host}:${front}`, ready: `${host}:${ready}` },
                internal_ports: [peer, peer], seed_addresses: [], bootstrap, loss_counted: false,
                limits: {
                    cpu_share: 0.675, cpu_speed_factor: 1, memory_mb: 350, file_descriptors: 4100, link_mbps: 1000,
                    disk_mb: 0, ...limits,
                },
                data_directory: null, discovery: "platform", entry: "virtual_ip", heartbeat_ms: 1200, bounds,
                platform: { address: storeAddress, form: "log", parts: 12, min_ttl_ms: 1000 },
            }));
            const [command, ...args] = readCommand();
            const started = spawn(command, args, {
                cwd: root,
                env: { PATH: process.env.PATH, HOME: process.env.HOME, ORIOLEHATCH_NODE_FILE: file },
                stdio: ["ignore", "pipe", "pipe"],
            });
            child = started;
            for (const stream of [started.stdout, started.stderr]) {
                stream.on("data", chunk => output = (output + chunk).slice(-200_000));
            }
            started.once("exit", (code, signal) => {
                if (child === started) {
                    child = undefined;
                    onEnd(code, signal);
                }
            });
        },
        waitReady: async (limit = 20_000) => {
            const until = performance.now() + limit;
            while (!await isReady()) {
                if (performance.now() > until) {
                    return false;
                }
                await pause(50);
            }
            return true;
        },
        /** Ends the process as the platform or the play wants it; no restart follows. */
        kill: signal => {
            const ended = child;
            child = undefined;
            if (!ended || ended.exitCode !== null) {
                return Promise.resolve();
            }
            return new Promise(resolve => {
                ended.once("exit", resolve);
                ended.kill(signal);
            });
        },
        send: signal => child?.kill(signal),
    };
}
