/**
 * Backend servers in a process of their own, which fall silent together and go on.
 */
import { fork } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { fileURLToPath } from "node:url";
import { pause } from "./deployment.js";
import type { ServerMessage, ServerSpec } from "./serverProcess.js";
import type { WireStore } from "./wireStore.js";

/** Running servers. */
export interface SilentServers {
    /** Ids of the requests that a server has begun to run. */
    readonly runs: ReadonlySet<string>;
    /**
     * Stops the servers for a time: they accept, answer and write nothing.
     *
     * @param duration - the time in milliseconds
     * @param lapseAfter - time after which the store drops their entries, until they write again; `undefined` for never
     */
    readonly silence: (duration: number, lapseAfter: number | undefined) => Promise<void>;
    readonly close: () => Promise<void>;
}

/** Connections that fill the queue of a server that stands still, so that it accepts none. */
const fillerCount = 12;

/**
 * Starts servers.
 *
 * @param store - store in which they register themselves
 * @param specs - the servers
 * @returns the servers; the caller closes them
 */
export async function startSilentServers(store: WireStore, specs: readonly ServerSpec[]): Promise<SilentServers> {
    const runs = new Set<string>();
    let addresses: readonly string[] = [];
    const child = fork(fileURLToPath(new URL("./serverProcess.js", import.meta.url)), [JSON.stringify(specs)]);
    await new Promise<void>(resolve =>
        child.on("message", (message: ServerMessage) => {
            switch (message.kind) {
                case "entry":
                    store.put("keyed.servers", message.id, message.value);
                    break;
                case "run":
                    runs.add(message.attemptId);
                    break;
                case "started":
                    addresses = message.addresses;
                    resolve();
                    break;
            }
        })
    );
    const removeEntries = (): void => specs.forEach(({ id }) => store.put("keyed.servers", id, undefined));
    return {
        runs,
        silence: async (duration, lapseAfter) => {
            child.kill("SIGSTOP");
            const fillers = addresses.flatMap(address => fillQueue(address));
            const lapse = lapseAfter === undefined ? undefined : setTimeout(removeEntries, lapseAfter);
            await pause(duration);
            clearTimeout(lapse);
            child.kill("SIGCONT");
            fillers.forEach(socket => socket.destroy());
        },
        close: async () => {
            child.kill("SIGKILL");
            await once(child, "exit");
        },
    };
}

function fillQueue(address: string): readonly Socket[] {
    const [host, port] = address.split(":");
    return Array.from({ length: fillerCount }, () => {
        const socket = connect({ host: host!, port: Number(port) });
        socket.on("error", () => undefined);
        return socket;
    });
}
