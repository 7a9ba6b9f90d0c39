/**
 * Daemons of a trial: real instance processes on loopback that can be killed, paused, replaced and disconnected from each
 * other.
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

/** A running daemon process. */
export interface TrialDaemon {
    readonly id: InstanceId;
    readonly callerAddress: string;
    readonly process: ChildProcess;
    /** Other daemons connect to this daemon through the relay, so that a trial can interrupt the connections. */
    readonly relay: PeerRelay;
    readonly failureDomain: string;
}

/** The daemons of a trial. */
export interface TrialDaemons {
    readonly list: () => readonly TrialDaemon[];
    /** Lists the daemons to which a load balancer would send callers. */
    readonly listServing: () => readonly TrialDaemon[];
    /** Starts a daemon; resolves when it is ready or the timeout for readiness has passed. */
    readonly start: (failureDomain: string) => Promise<TrialDaemon>;
    /** Kills a daemon with SIGKILL. */
    readonly kill: (daemon: TrialDaemon) => void;
    /** Drains a daemon with SIGTERM; resolves with its exit code, or `undefined` if a signal ended it. */
    readonly drain: (daemon: TrialDaemon) => Promise<number | undefined>;
    /** Drains all daemons and removes their configuration files. */
    readonly stopAll: () => Promise<void>;
}

/** A TCP relay to the peer port of a daemon. */
export interface PeerRelay {
    readonly address: string;
    /** `true` closes all connections and rejects new ones; `false` accepts connections again. */
    readonly setCut: (isCut: boolean) => void;
    readonly close: () => void;
}

const commandLine = fileURLToPath(new URL("../cli/main.js", import.meta.url));
const readyPollMilliseconds = 100;
const readyTimeoutMilliseconds = 30_000;
const drainMilliseconds = 1_000;
const balancerLagMilliseconds = 300;

/**
 * Prepares the daemons of a trial without starting any.
 *
 * @param standins - local platform whose instance list receives the daemons
 * @param addresses - addresses of the local platform
 * @returns the daemons, none of them running
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
 * Polls `/readyz` of a daemon until it is ready.
 *
 * @param daemon - daemon to poll
 * @returns `true` when the daemon is ready, `false` after 30 s
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
            // the daemon is not listening yet
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
