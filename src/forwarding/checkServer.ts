/**
 * Checks whether a server accepts a connection.
 *
 * @packageDocumentation
 */
import { connect } from "node:net";
import type { BackendServer } from "../serving/types.js";

const probeTimeoutMilliseconds = 400;

/**
 * Opens a connection to a server and closes it.
 *
 * @param server - the server
 * @returns whether the connection could be opened in time
 */
export function checkServer({ address }: Pick<BackendServer, "address">): Promise<boolean> {
    const colon = address.lastIndexOf(":");
    return new Promise(resolve => {
        const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
        const finish = (isOpen: boolean): void => {
            socket.destroy();
            resolve(isOpen);
        };
        socket.setTimeout(probeTimeoutMilliseconds, () => finish(false));
        socket.once("connect", () => finish(true));
        // a refused connection is a result like any other
        socket.once("error", () => finish(false));
    });
}
