/**
 * Link of one machine to the store, which can be cut or slowed down.
 */
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** A link. */
export interface StoreLink {
    /** Address at which the machine reaches the store. */
    readonly address: string;
    /** Number of reads of a topic that have passed. */
    readonly countReads: (topic: string) => number;
    /** Has nothing pass, as for a partitioned machine. */
    readonly cut: () => void;
    /** Has the store's answers come later. */
    readonly delay: (duration: number) => void;
    /** Ends cut and delay; what was held up is lost. */
    readonly heal: () => void;
    readonly close: () => void;
}

const host = "127.0.0.1";

/**
 * Starts a link.
 *
 * @param storeAddress - IP and port of the store
 * @returns the link; the caller closes it
 */
export async function startStoreLink(storeAddress: string): Promise<StoreLink> {
    const port = Number(storeAddress.split(":")[1]);
    const sockets = new Set<Socket>();
    const reads = new Map<string, number>();
    let isCut = false;
    let delay = 0;
    const sendLater = (chunk: Buffer, to: Socket, duration: number): void => {
        if (isCut) {
            return;
        }
        if (duration === 0) {
            to.write(chunk);
            return;
        }
        setTimeout(() => isCut || to.destroyed || to.write(chunk), duration);
    };
    const server = createServer(near => {
        const far = connect({ host, port });
        for (const [socket, other] of [[near, far], [far, near]] as const) {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => {
                sockets.delete(socket);
                other.destroy();
            });
        }
        near.on("data", chunk => {
            const topic = /\/log-read\?topic=([\w.-]+)/.exec(chunk.toString("latin1"))?.[1];
            if (topic !== undefined) {
                reads.set(topic, (reads.get(topic) ?? 0) + 1);
            }
            sendLater(chunk, far, 0);
        });
        far.on("data", chunk => sendLater(chunk, near, delay));
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${(server.address() as AddressInfo).port}`,
        countReads: topic => reads.get(topic) ?? 0,
        cut: () => isCut = true,
        delay: duration => delay = duration,
        heal: () => {
            isCut = false;
            delay = 0;
            sockets.forEach(socket => socket.destroy());
        },
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
