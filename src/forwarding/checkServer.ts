/**
 * Checks whether a server accepts a connection.
 *
 * @packageDocumentation
 */
import { connect } from "node:net";
import type { BackendServer } from "../serving/types.js";
import { parseNetworkAddress } from "../shared/index.js";

const probeTimeoutMilliseconds = 400;

/**
 * Opens a connection to a server and closes it.
 *
 * @param server - the server
 * @returns whether the connection could be opened in time; not when the address is none for the network
 */
export function checkServer({ address }: Pick<BackendServer, "address">): Promise<boolean> {
    const target = parseNetworkAddress(address);
    if (!target) {
        return Promise.resolve(false);
    }
    return new Promise(resolve => {
        const socket = connect(target);
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
