/**
 * Daemons of a trial: real processes on loopback that can be killed, stopped for a while, replaced and cut off.
 *
 * @packageDocumentation
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { connect, createServer, type Server, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { stringify } from "yaml";
import type { InstanceId } from "../shared/index.js";
import type { StandinAddresses, Standins } from "../standins/index.js";

/** A daemon. */
export interface TrialDaemon {
    readonly id: InstanceId;
    readonly callerAddress: string;
    readonly process: ChildProcess;
    /** Others reach the daemon through a relay, so that it can be cut off from them. */
    readonly relay: PeerRelay;
    readonly failureDomain: string;
}

/** Daemons of a trial. */
export interface TrialDaemons {
    readonly list: () => readonly TrialDaemon[];
    /** Those that a balancer sends callers to. */
    readonly listServing: () => readonly TrialDaemon[];
    /** Starts a process; resolves when it is ready, or has had its time. */
    readonly start: (failureDomain: string) => Promise<TrialDaemon>;
    /** Ends a process at once. */
    readonly kill: (daemon: TrialDaemon) => void;
    /** Asks a process to drain; resolves with its exit code. */
    readonly drain: (daemon: TrialDaemon) => Promise<number | undefined>;
    readonly stopAll: () => Promise<void>;
}

/** Carries bytes to a daemon's peer port. */
export interface PeerRelay {
    readonly address: string;
    readonly setCut: (isCut: boolean) => void;
    readonly close: () => void;
}

const commandLine = fileURLToPath(new URL("../cli/main.js", import.meta.url));
const readyPollMilliseconds = 100;
const readyTimeoutMilliseconds = 30_000;
const drainMilliseconds = 1_000;
const balancerLagMilliseconds = 300;

/**
 * Creates the daemons of a trial, none of them running.
 *
 * @param standins - the platform, in which the daemons are listed
 * @param addresses - where the platform listens
 * @returns the daemons
 */
export async function createDaemons(standins: Standins, addresses: StandinAddresses): Promise<TrialDaemons> {
    const folder = await mkdtemp(join(tmpdir(), "oriolehatch-trial-"));
    const running = new Map<InstanceId, TrialDaemon>();
    const serving = new Set<InstanceId>();
    let started = 0;

    const start = async (failureDomain: string): Promise<TrialDaemon> => {
        const id = `daemon-${++started}`;
        const callerAddress = `127.0.0.1:${await findFreePort()}`;
        const peerPort = await findFreePort();
        const relay = await openRelay(peerPort);
        const file = join(folder, `${id}.yaml`);
        await writeFile(
            file,
            stringify({
                id,
                address: callerAddress,
                peerAddress: `127.0.0.1:${peerPort}`,
                failureDomain,
                region: "local",
                platform: { log: addresses.log, instanceList: addresses.instanceList },
                drainMilliseconds,
                logLevel: "error",
            }),
        );
        const child = spawn(process.execPath, [commandLine, "instance", "--config", file], { stdio: "inherit" });
        const daemon: TrialDaemon = { id, callerAddress, process: child, relay, failureDomain };
        running.set(id, daemon);
        child.once("exit", () => {
            running.delete(id);
            serving.delete(id);
            standins.instanceList.removeEntry(id);
            relay.close();
        });
        standins.instanceList.putEntry({
            kind: "instance",
            id,
            address: relay.address,
            failureDomain,
            region: "local",
            state: "live",
        });
        if (await waitUntilReady(daemon)) {
            serving.add(id);
        }
        return daemon;
    };
    const drain = (daemon: TrialDaemon): Promise<number | undefined> => {
        standins.instanceList.setEntryState(daemon.id, "leaving");
        setTimeout(() => serving.delete(daemon.id), balancerLagMilliseconds);
        return new Promise(resolve => {
            daemon.process.once("exit", code => resolve(code ?? undefined));
            daemon.process.kill("SIGTERM");
        });
    };
    return {
        list: () => [...running.values()],
        listServing: () => [...running.values()].filter(daemon => serving.has(daemon.id)),
        start,
        kill: daemon => void daemon.process.kill("SIGKILL"),
        drain,
        stopAll: async () => {
            await Promise.all([...running.values()].map(drain));
            await rm(folder, { recursive: true });
        },
    };
}

/**
 * Waits until a daemon is ready.
 *
 * @param daemon - the daemon
 * @returns whether it became ready in time
 */
export async function waitUntilReady(daemon: TrialDaemon): Promise<boolean> {
    for (let waited = 0; waited < readyTimeoutMilliseconds; waited += readyPollMilliseconds) {
        try {
            const answer = await request(`http://${daemon.callerAddress}/readyz`);
            await answer.body.dump();
            if (answer.statusCode === 200) {
                return true;
            }
        }
        catch {
            // not listening yet
        }
        await new Promise(resolve => setTimeout(resolve, readyPollMilliseconds));
    }
    return false;
}

async function findFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const port = readPort(server);
    await new Promise(resolve => server.close(resolve));
    return port;
}

function readPort(server: Server): number {
    const address = server.address();
    return typeof address === "object" && address ? address.port : 0;
}

async function openRelay(targetPort: number): Promise<PeerRelay> {
    const sockets = new Set<Socket>();
    let isCut = false;
    const server: Server = createServer(incoming => {
        if (isCut) {
            incoming.destroy();
            return;
        }
        const outgoing = connect(targetPort, "127.0.0.1");
        for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]] as const) {
            sockets.add(from);
            from.pipe(to);
            from.on("error", () => to.destroy());
            from.on("close", () => {
                sockets.delete(from);
                to.destroy();
            });
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${readPort(server)}`,
        setCut: wanted => {
            isCut = wanted;
            if (wanted) {
                sockets.forEach(socket => socket.destroy());
            }
        },
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}
