/**
 * The port on which the platform asks whether clients may come.
 *
 * @packageDocumentation
 */
import { createServer, type Server } from "node:http";

/** Settings of the port. */
export interface ReadinessServerOptions {
    readonly host: string;
    readonly port: number;
    readonly isReady: () => boolean;
}

/** The port. */
export interface ReadinessServer {
    readonly listen: () => Promise<void>;
    readonly close: () => void;
}

const readyStatus = 200;
const notReadyStatus = 503;

/**
 * Creates the port.
 *
 * @param options - address and the answer
 * @returns the port, not yet open
 */
export function createReadinessServer(options: ReadinessServerOptions): ReadinessServer {
    const server: Server = createServer((request, response) => {
        response.writeHead(options.isReady() ? readyStatus : notReadyStatus, { "Content-Length": 0 });
        response.end();
    });
    return {
        listen: () =>
            new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen({ host: options.host, port: options.port }, resolve);
            }),
        close: () => server.closeAllConnections(),
    };
}
