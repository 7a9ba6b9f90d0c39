/**
 * IP addresses with a port, as the network accepts them.
 *
 * @packageDocumentation
 */
import { isIPv4 } from "node:net";

/** An IP address and a port to which a connection can be tried. */
export interface NetworkAddress {
    /** IPv4 address. */
    readonly host: string;
    /** Up to 65535. */
    readonly port: number;
}

/** Highest port of TCP. */
export const maximumPort = 65_535;

/**
 * Parses an address. There is one spelling of each, so that equal addresses are equal texts, and each that is accepted
 * can be put into a URL.
 *
 * @param text - `IP:PORT`, such as `127.0.0.1:7000`; not trusted
 * @param minimumPort - 1 for an address to connect to; 0 for one to listen at, where it chooses a free port
 * @returns IP and port; `undefined` when the text is no address for the network, such as one with the port 99999
 */
export function parseNetworkAddress(text: string, minimumPort: 0 | 1 = 1): NetworkAddress | undefined {
    const colon = text.lastIndexOf(":");
    const host = text.slice(0, Math.max(0, colon));
    const portText = text.slice(colon + 1);
    const port = Number(portText);
    const isPort = /^(0|[1-9]\d{0,4})$/.test(portText) && port >= minimumPort && port <= maximumPort;
    return isIPv4(host) && isPort ? { host, port } : undefined;
}
