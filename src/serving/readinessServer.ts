/**
 * HTTP server for the platform's readiness probe, which decides whether clients are sent to this instance.
 *
 * @packageDocumentation
 */
import { createServer, type Server } from "node:http";

/** Settings of the readiness server. */
export interface ReadinessServerOptions {
    readonly host: string;
    readonly port: number;
    /** Called for each probe. */
    readonly isReady: () => boolean;
}

/** The readiness server. */
export interface ReadinessServer {
    /** Opens the port; rejects when it is taken. */
    readonly listen: () => Promise<void>;
    readonly close: () => void;
}

const readyStatus = 200;
const notReadyStatus = 503;

/**
 * Creates the readiness server. It responds 200 to any request while the instance is ready, and 503 otherwise.
 *
 * @param options - address, and whether the instance is ready
 * @returns the server, which doesn't listen yet
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
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
