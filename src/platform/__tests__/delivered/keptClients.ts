/**
 * Clients that send one request after the other on a connection that they keep, for as long as it is open.
 */
import { Agent, request as sendHttp } from "node:http";

/** A request. */
export interface KeptRequest {
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

/** What a client got; times are those of `performance.now`. */
export interface KeptAnswer {
    /** `undefined` when the connection ended without an answer. */
    readonly status: number | undefined;
    readonly body: string;
    /** Whether the answer has its end. */
    readonly isComplete: boolean;
    readonly sentAt: number;
    /** End of the answer or of the connection. */
    readonly endedAt: number;
}

/** A client with one connection. */
export interface KeptClient {
    readonly send: (request: KeptRequest) => Promise<KeptAnswer>;
    /** Has the next request open a connection. */
    readonly forgetConnection: () => void;
    readonly close: () => void;
}

/**
 * Creates a client, which never leaves before the end of an answer.
 *
 * @param host - IP address of the machine
 * @param port - its client port
 * @returns the client
 */
export function openKeptClient(host: string, port: number): KeptClient {
    const openAgent = (): Agent => new Agent({ keepAlive: true, maxSockets: 1 });
    let agent = openAgent();
    return {
        send: ({ path, headers, body }) =>
            new Promise(resolve => {
                const sentAt = performance.now();
                let status: number | undefined;
                let text = "";
                let isComplete = false;
                const sent = sendHttp({ host, port, method: "POST", path, headers, agent }, response => {
                    status = response.statusCode;
                    response.setEncoding("utf8");
                    response.on("data", (chunk: string) => text += chunk);
                    response.once("end", () => isComplete = response.complete);
                    response.on("error", () => undefined);
                });
                sent.on("error", () => undefined);
                sent.once(
                    "close",
                    () => resolve({ status, body: text, isComplete, sentAt, endedAt: performance.now() }),
                );
                sent.end(body);
            }),
        forgetConnection: () => {
            agent.destroy();
            agent = openAgent();
        },
        close: () => agent.destroy(),
    };
}
