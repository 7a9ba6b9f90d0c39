// Starts the program of the deploy file as processes on loopback addresses, and sends requests to them.
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as sendHttp } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

export const sleep = duration => new Promise(resolve => setTimeout(resolve, duration));

// Bounds of the settings file in DEPLOY.md, those of both sites.
export const bounds = {
    seed_lag_s: 3,
    reuse_after_s: 2,
    stable_window_ms: 3000,
    ack_ms: 4000,
    catch_up_s: 4,
    drain_ms: 2000,
    grace_s: 8,
    loss_slack_ms: 200,
    config_ms: 2000,
    rollback_slack_ms: 250,
    outer_ms: 5000,
    strict_revocation: true,
    revoke_ms: 5000,
    budget_ratio: 0.2,
    budget_window_s: 10,
    budget_slack: 56,
    quota_window_s: 8,
    quota_over: 0.1,
    quota_slack: 17000,
    recovery_s: 12,
    pass_ms: 120,
    retry_after_s: 0,
    require_fencing: true,
    lease_ms: 3000,
    thaw_ms: 300,
    ceiling_window_s: 5,
    ceiling_over: 1.1,
    version_ms: 5000,
};

// below the ports that the system gives to outgoing connections, which could take a port between its choice and its use
const lowestPort = 15_000;
const portCount = 15_000;
const chosenPorts = new Set();

const checkPort = (host, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

export async function findFreePort(host) {
    for (;;) {
        const port = lowestPort + Math.floor(Math.random() * portCount);
        if (!chosenPorts.has(port) && await checkPort(host, port)) {
            chosenPorts.add(port);
            return port;
        }
    }
}

// the `run` of the role in deploy/system.toml, as words
export function readRunCommand() {
    const text = readFileSync(join(root, "deploy", "system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

// Folder of the settings files, the record of the case, and a list of what has to be ended.
export function openCase(folder) {
    const lines = [];
    const settingsFolder = mkdtempSync(join(tmpdir(), "oriolehatch-review-"));
    const startedAt = performance.now();
    const enders = [];
    const opened = {
        settingsFolder,
        onEnd: ender => enders.push(ender),
        write: text => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`),
        end: async () => {
            await Promise.all(enders.map(ender => ender()));
            rmSync(settingsFolder, { recursive: true, force: true });
            writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
        },
    };
    return opened;
}

// Runs a case: `play` returns what broke the rule, as texts. Exits with 1 if there is any, 0 if not, 2 without a verdict.
export async function runCase(folder, play) {
    const opened = openCase(folder);
    let status = 2;
    const timer = setTimeout(() => {
        opened.write("not ended within 115 s");
        void opened.end().finally(() => process.exit(2));
    }, 115_000);
    try {
        const broken = await play(opened);
        broken.forEach(text => opened.write(`BROKEN ${text}`));
        status = broken.length > 0 ? 1 : 0;
        console.log(status === 1 ? `broken ${broken.length} times, first: ${broken[0]}` : "the rule held");
    }
    catch (error) {
        opened.write(`the case couldn't run: ${error.stack}`);
        console.log(`the case couldn't run: ${error.message}`);
    }
    clearTimeout(timer);
    await opened.end();
    process.exit(status);
}

// Starts machines and waits until all are ready.
export async function startMachines(opened, machines) {
    machines.forEach(machine => machine.process = startMachine(opened, machine));
    for (const machine of machines) {
        if (!await waitReady(machine)) {
            opened.write(`last words of ${machine.name}: ${machine.process.output.slice(-1_000)}`);
            throw new Error(`${machine.name} isn't ready`);
        }
    }
}

// an address of its own for each machine: the program's port for metrics is fixed
const createLoopbackAddress = () => {
    const [second, third, fourth] = randomBytes(3);
    return `127.${second}.${third}.${1 + fourth % 254}`;
};

// Address and ports of one machine; they stay the same over its restarts.
export async function planMachine({ name, host = createLoopbackAddress(), zone = "a", store, parts = 12 }) {
    const ports = {};
    for (const port of ["front", "ready", "peer"]) {
        ports[port] = await findFreePort(host);
    }
    return { name, host, zone, store, parts, ports };
}

// Starts the process of a machine. `bootstrap` is true only when the whole system starts for the first time.
export function startMachine(opened, machine, bootstrap = true) {
    const { name, host, zone, ports } = machine;
    const file = join(opened.settingsFolder, `${name}.json`);
    const settings = {
        node_name: name,
        role: "entry",
        machine_class: "front",
        serves: ["front"],
        ip_address: host,
        zone,
        region: "r",
        zones: { [zone]: "r" },
        listen_addresses: { front: `${host}:${ports.front}`, ready: `${host}:${ports.ready}` },
        internal_ports: [ports.peer, ports.peer],
        seed_addresses: [],
        bootstrap,
        loss_counted: false,
        limits: {
            cpu_share: 0.675,
            cpu_speed_factor: 1,
            memory_mb: 350,
            file_descriptors: 4100,
            link_mbps: 1000,
            disk_mb: 0,
        },
        data_directory: null,
        discovery: "platform",
        entry: "virtual_ip",
        heartbeat_ms: 1200,
        contracts: [],
        fault_tolerance: { machines: 2, zones: 0, regions: 0 },
        bounds,
        platform: {
            address: machine.store,
            form: "log",
            writes_per_s: 400,
            reads_per_s: 2000,
            parts: machine.parts,
            append_ms: 2,
            part_mb_per_s: 20,
            read_mb_per_s: 80,
            record_bytes: 262144,
            call_bytes: 2097152,
            keep_s: 300,
            part_mb: 200,
            min_ttl_ms: 1000,
        },
    };
    writeFileSync(file, JSON.stringify(settings));
    const [command, ...args] = readRunCommand();
    const child = spawn(command, args, {
        cwd: root,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, ORIOLEHATCH_NODE_FILE: file },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const started = { child, output: "", exit: undefined };
    const keep = chunk => {
        started.output = (started.output + chunk).slice(-2_000_000);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    started.ended = new Promise(resolve => {
        child.once("exit", (code, signal) => {
            started.exit = { code, signal };
            resolve(started.exit);
        });
    });
    opened.onEnd(async () => {
        if (!started.exit) {
            child.kill("SIGKILL");
            await started.ended;
        }
    });
    return started;
}

// Asks for readiness as the platform does; the status, or undefined without a response.
export function checkReady({ host, ports }) {
    return new Promise(resolve => {
        const request = sendHttp(
            { host, port: ports.ready, path: "/readiness", agent: false, timeout: 900 },
            response => {
                response.resume();
                resolve(response.statusCode);
            },
        );
        request.once("timeout", () => request.destroy());
        request.once("error", () => resolve(undefined));
        request.end();
    });
}

export async function waitReady(machine, limit = 15_000) {
    const until = performance.now() + limit;
    while (performance.now() < until) {
        if (await checkReady(machine) === 200) {
            return true;
        }
        await sleep(50);
    }
    return false;
}

// An id of a client attempt.
export const createAttemptId = () => randomBytes(8).toString("hex");

// Sends one request; the client gives up at its deadline, as it tells it. Resolves when the connection or the response has ended: status, headers, body and whether the
// response is whole.
export function sendRequest({ host, port, method = "POST", path, headers = {}, body = "", agent = false }) {
    return new Promise(resolve => {
        const result = { status: undefined, headers: {}, body: "", isWhole: false, error: undefined };
        const request = sendHttp({ host, port, method, path, headers, agent }, response => {
            result.status = response.statusCode;
            result.headers = response.headers;
            response.setEncoding("utf8");
            response.on("data", text => {
                result.body += text;
            });
            response.once("end", () => {
                result.isWhole = response.complete;
                resolve(result);
            });
            response.once("error", error => {
                result.error = error.code ?? error.message;
                resolve(result);
            });
            response.once("close", () => resolve(result));
        });
        request.once("error", error => {
            result.error = error.code ?? error.message;
            resolve(result);
        });
        const deadline = setTimeout(() => request.destroy(), Number(headers["X-Oriolehatch-Deadline-Ms"]));
        request.once("close", () => {
            clearTimeout(deadline);
            resolve(result);
        });
        request.end(body);
    });
}

// A way to an address that can be cut: what is on it, or comes to it meanwhile, waits until the cut has healed.
export async function startLink(opened, host, target) {
    const [targetHost, targetPort] = target.split(":");
    const sockets = new Set();
    let isCut = false;
    const server = createServer({ pauseOnConnect: true }, socket => {
        const upstream = connect({ host: targetHost, port: Number(targetPort) });
        const pair = [socket, upstream];
        pair.forEach((end, index) => {
            const other = pair[1 - index];
            sockets.add(end);
            end.on("data", chunk => other.write(chunk));
            end.once("end", () => other.end());
            end.once("error", () => other.destroy());
            end.once("close", () => {
                sockets.delete(end);
                other.destroy();
            });
            if (isCut) {
                end.pause();
            }
            else {
                end.resume();
            }
        });
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    opened.onEnd(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return {
        address: `${host}:${server.address().port}`,
        // whether a connection that the target sees from this port comes over this link
        hasPort: port => [...sockets].some(socket => socket.localPort === port),
        cut: () => {
            isCut = true;
            sockets.forEach(socket => socket.pause());
        },
        heal: () => {
            isCut = false;
            sockets.forEach(socket => socket.resume());
        },
    };
}
