/**
 * Clients of plays with long streams. Each sends one request after the other on a connection that it keeps for as long as it
 * is open, returns with its last event where a stream may go on, and tries elsewhere what was refused.
 */
import { Agent, type IncomingMessage, request as sendHttp } from "node:http";
import { connect, type Socket } from "node:net";
import type { SeededRandom } from "../../../shared/index.js";
import type { DeliveredMachine } from "./deliveredProgram.js";
import { pause } from "./deployment.js";
import type { Rotation } from "./rotation.js";
import { eventIntervalMilliseconds, playModel, workHeaders } from "./streamServers.js";

/** Kinds of requests: streams that may go on elsewhere or not, and requests that may run once. */
export type PlayKind = "resumable" | "once" | "plain";

/** An event as the client read it. */
export interface ReadEvent {
    readonly id: number;
    /** Name of the stream that the server wrote into it. */
    readonly name: string;
    /** Attempt whose run made it. */
    readonly attemptId: string;
}

/** One attempt of a client. */
export interface PlayAttempt {
    readonly attemptId: string;
    /** The same for all attempts of a stream or request. */
    readonly name: string;
    readonly kind: PlayKind;
    /** Events of the whole stream; 0 for a plain request. */
    readonly eventCount: number;
    readonly machine: string;
    /** Last event that the client had before. */
    readonly after: number;
    /** When the request was written, its last byte included. */
    readonly sentAt: number;
    endedAt: number;
    status: number | undefined;
    /** Whether the answer tells its own end. */
    isFramed: boolean;
    /** Whether the answer has its end. */
    isComplete: boolean;
    /** Whether the client closed the connection itself. */
    hasLeft: boolean;
    readonly events: ReadEvent[];
    /** Bytes that aren't whole events. */
    rest: string;
}

/** What clients need to know of a deployment. */
export interface ClientOptions {
    readonly rotation: Rotation;
    readonly random: SeededRandom;
    readonly host: string;
    readonly paths: Readonly<Record<PlayKind, string>>;
    readonly adapters: readonly string[];
    readonly key: string;
    /** Time at which no new streams begin. */
    readonly until: number;
}

/** Time that a client gives each of its attempts. */
export const clientDeadlineMilliseconds = 15_000;
const maximumTries = 6;
const leavingShare = 0.03;
const slowShare = 0.25;
const retryMilliseconds = 60;
/** Share of connections that are open for a time before their first request. */
const idleShare = 0.3;
const longestIdleMilliseconds = 5_000;
const slowPaddingBytes = 65_536;
const streamEvents = [20, 30, 45, 60, 80, 120] as const;
const plainWorks = [20, 200, 1_000, 4_000] as const;
const statusOk = 200;

/**
 * Runs one client until the end of the play.
 *
 * @param number - number of the client, part of the ids of its attempts
 * @param options - the deployment
 * @returns its attempts
 */
export async function runPlayClient(number: number, options: ClientOptions): Promise<readonly PlayAttempt[]> {
    const attempts: PlayAttempt[] = [];
    const { random } = options;
    let connection = openConnection(options);
    for (let turn = 1; performance.now() < options.until; turn++) {
        const kind = random.choose<PlayKind>(["resumable", "resumable", "once", "plain"]);
        const eventCount = kind === "plain" ? 0 : random.choose(streamEvents);
        const isSlow = eventCount > 0 && random.chance(slowShare);
        const leavesAfter = random.chance(leavingShare) ? random.between(100, 3_000) : undefined;
        const work = random.choose(plainWorks);
        const adapter = random.choose(options.adapters);
        let after = 0;
        for (let tries = 1; tries <= maximumTries; tries++) {
            if (connection.isClosed()) {
                connection.close();
                connection = openConnection(options);
            }
            const attempt = await sendAttempt(connection, {
                options,
                attemptId: `c${number}-${turn}-${tries}`,
                firstAttemptId: `c${number}-${turn}-1`,
                name: `c${number}-${turn}`,
                kind,
                eventCount,
                after,
                isSlow,
                leavesAfter,
                work,
                adapter,
            });
            attempts.push(attempt);
            if (!connection.isKept()) {
                connection.close();
                connection = openConnection(options);
                await pause(random.chance(idleShare) ? random.between(0, longestIdleMilliseconds) : 0);
            }
            after = attempt.events.at(-1)?.id ?? after;
            if (!isTriedAgain(attempt)) {
                break;
            }
            await pause(retryMilliseconds + random.between(0, retryMilliseconds));
        }
    }
    connection.close();
    return attempts;
}

// as the protocol says: what was refused, or wasn't sent, and streams that may be resumed
function isTriedAgain({ kind, status, isComplete, hasLeft }: PlayAttempt): boolean {
    if (hasLeft || (isComplete && status === statusOk)) {
        return false;
    }
    return kind === "resumable" || (isComplete && status === 503);
}

interface ClientConnection {
    readonly machine: DeliveredMachine;
    readonly agent: Agent;
    /** Whether the connection is open after an answer. */
    readonly isKept: () => boolean;
    /** Whether the connection was closed before its next request. */
    readonly isClosed: () => boolean;
    readonly close: () => void;
}

function openConnection({ rotation, random }: ClientOptions): ClientConnection {
    const machine = random.choose(rotation.list());
    const socket = connect(machine.clientPort, machine.host);
    socket.on("error", () => undefined);
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const given = agent as Agent & { createConnection: () => Socket; };
    given.createConnection = () => socket;
    return {
        machine,
        agent,
        isClosed: () => socket.destroyed || socket.readableEnded,
        isKept: () => Object.keys(agent.freeSockets).length > 0 && !socket.destroyed,
        close: () => {
            agent.destroy();
            socket.destroy();
        },
    };
}

interface AttemptOptions extends Pick<PlayAttempt, "attemptId" | "name" | "kind" | "eventCount" | "after"> {
    readonly options: ClientOptions;
    readonly firstAttemptId: string;
    readonly isSlow: boolean;
    readonly leavesAfter: number | undefined;
    readonly work: number;
    readonly adapter: string;
}

function createHeaders(sent: AttemptOptions): Record<string, string> {
    const headers: Record<string, string> = {
        Host: sent.options.host,
        "X-Oriolehatch-Attempt-Id": sent.attemptId,
        "X-Oriolehatch-Deadline-Ms": String(clientDeadlineMilliseconds),
        "X-Oriolehatch-Key": sent.options.key,
        [workHeaders.name]: sent.name,
        [workHeaders.work]: String(sent.work),
    };
    if (sent.eventCount > 0) {
        headers[workHeaders.events] = String(sent.eventCount);
        headers[workHeaders.padding] = String(sent.isSlow ? slowPaddingBytes : 0);
    }
    if (sent.kind === "resumable") {
        headers["X-Oriolehatch-Model"] = `${playModel}/${sent.adapter}`;
        headers["X-Oriolehatch-Token-Counts"] = "100,50";
        headers["X-Oriolehatch-Prompt-Prefix"] = `aa:50,${Buffer.from(sent.name).toString("hex")}:50`;
    }
    if (sent.after > 0) {
        headers["Last-Event-Id"] = String(sent.after);
        headers["Resumes"] = sent.firstAttemptId;
    }
    return headers;
}

function sendAttempt(connection: ClientConnection, sent: AttemptOptions): Promise<PlayAttempt> {
    const { attemptId, name, kind, eventCount, after, options } = sent;
    const { machine, agent } = connection;
    const attempt: PlayAttempt = {
        attemptId,
        name,
        kind,
        eventCount,
        machine: machine.name,
        after,
        sentAt: performance.now(),
        endedAt: 0,
        status: undefined,
        isFramed: true,
        isComplete: false,
        hasLeft: false,
        events: [],
        rest: "",
    };
    return new Promise(resolve => {
        const sentRequest = sendHttp({
            host: machine.host,
            port: machine.clientPort,
            method: "POST",
            path: `${options.paths[kind]}${attemptId}`,
            headers: createHeaders(sent),
            agent,
        }, response => readAnswer(attempt, response, sent.isSlow, options.random));
        const finish = (): void => {
            clearTimeout(timer);
            attempt.endedAt = performance.now();
            // the agent takes its connection back in a later turn
            setImmediate(() => resolve(attempt));
        };
        const closeEarly = (): void => {
            attempt.hasLeft = true;
            sentRequest.destroy();
            finish();
        };
        // after the deadline it no longer waits
        const timer = setTimeout(
            closeEarly,
            Math.min(sent.leavesAfter ?? Infinity, clientDeadlineMilliseconds + 1_000),
        );
        sentRequest.on("error", () => undefined);
        sentRequest.once("close", finish);
        sentRequest.end("draft");
    });
}

function readAnswer(attempt: PlayAttempt, response: IncomingMessage, isSlow: boolean, random: SeededRandom): void {
    attempt.status = response.statusCode;
    attempt.isFramed = response.headers["content-length"] !== undefined ||
        response.headers["transfer-encoding"] === "chunked";
    response.setEncoding("latin1");
    response.on("data", (chunk: string) => {
        takeEvents(attempt, chunk);
        if (isSlow && random.chance(0.1)) {
            response.pause();
            setTimeout(() => response.resume(), random.between(1, 8) * eventIntervalMilliseconds);
        }
    });
    response.once("end", () => attempt.isComplete = response.complete);
    response.on("error", () => undefined);
}

function takeEvents(attempt: PlayAttempt, chunk: string): void {
    const parts = (attempt.rest + chunk).split("\n\n");
    attempt.rest = parts.pop()!;
    for (const part of parts) {
        const [, id, name, attemptId] = /^id: (\d+)\ndata: (\S+) (\S+) p*$/.exec(part) ?? [];
        attempt.events.push({
            id: Number(id ?? -1),
            name: name ?? "unreadable",
            attemptId: attemptId ?? part.slice(0, 80),
        });
    }
}
