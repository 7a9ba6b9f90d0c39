/**
 * Clients of the play of streams beside stops, and the plain model of what one of them may see.
 */
import { type Agent, request as sendHttpRequest } from "node:http";
import { pause } from "./testStore.js";

/** An event as its client read it. */
export interface ReadEvent {
    readonly id: number;
    readonly key: string;
    /** Service and software version of its server. */
    readonly origin: string;
    /** Run of the request at a server. */
    readonly run: string;
}

/** One request of a client. */
export interface ClientTry {
    readonly sentAt: number;
    readonly instance: number;
    /** Last event that the client named. */
    readonly after: number;
    readonly status: number | undefined;
    /** Whether the answer came to its end, by its length or last chunk. */
    readonly isComplete: boolean;
    readonly events: readonly ReadEvent[];
}

/** A stream that a client asks for, with all of its tries. */
export interface PlayedStream {
    readonly key: string;
    readonly path: string;
    readonly count: number;
    /** What the server was told of it. */
    readonly parts: string;
    readonly tries: readonly ClientTry[];
}

/** How a client behaves. */
export interface ClientOptions {
    readonly key: string;
    readonly path: string;
    readonly count: number;
    /** What the server is told of the stream. */
    readonly parts: string;
    /** Time for which it doesn't read after each read; 0 for a quick reader. */
    readonly readPause: number;
    /** Number of events after which it leaves its first try and returns; `undefined` when it stays. */
    readonly leaveAfter: number | undefined;
    readonly mayReturn: boolean;
    /** Time after a refusal until the next try. */
    readonly returnDelay: number;
    /** Instance of each try in turn. */
    readonly instances: readonly number[];
    readonly host: string;
    readonly ports: readonly number[];
    readonly isNamingAttempt: boolean;
    /** Kept connections, which first tries use. */
    readonly agent: Agent;
}

const eventPattern = /id: (\d+)\ndata: (\S+) (\S+) (\S+) x*\n\n/g;
const retryableStatus = 503;
const promptReturnMilliseconds = 20;

/**
 * Has a client ask for a stream until it is whole or its tries are used up.
 *
 * @param options - behaviour of the client
 * @returns what it saw
 */
export async function runClient(options: ClientOptions): Promise<PlayedStream> {
    const { key, path, count, parts } = options;
    const tries: ClientTry[] = [];
    for (const [index, instance] of options.instances.entries()) {
        const seen = tries.flatMap(({ events }) => events).at(-1)?.id ?? 0;
        const made = await sendTry(options, index, instance, seen);
        tries.push(made);
        const isRefused = made.status === retryableStatus;
        const isCut = !made.isComplete && options.mayReturn;
        if (!isRefused && !isCut) {
            break;
        }
        await pause(isRefused ? options.returnDelay : promptReturnMilliseconds);
    }
    return { key, path, count, parts, tries };
}

function sendTry(
    options: ClientOptions,
    index: number,
    instance: number,
    after: number,
): Promise<ClientTry> {
    const { key, path, parts, leaveAfter, readPause, host, ports, isNamingAttempt, agent } = options;
    const sentAt = performance.now();
    return new Promise(resolve => {
        let text = "";
        let hasLeft = false;
        const finish = (status: number | undefined, isComplete: boolean): void =>
            resolve({ sentAt, instance, after, status, isComplete, events: readEvents(text) });
        const sent = sendHttpRequest({
            host,
            port: ports[instance]!,
            method: "POST",
            path,
            agent: index === 0 ? agent : false,
            headers: {
                id: `${key}-${index}`,
                key: "acme-key",
                parts,
                ...after === 0 ? {} : { "last-event-id": String(after) },
                ...after === 0 || !isNamingAttempt ? {} : { resumes: `${key}-0` },
            },
        }, response => {
            const readOn = (): void => void response.resume();
            response.on("data", (chunk: Buffer) => {
                text += chunk.toString("latin1");
                if (index === 0 && leaveAfter !== undefined && readEvents(text).length >= leaveAfter) {
                    // the parser reads what it has to the end nevertheless
                    hasLeft = true;
                    sent.destroy();
                }
                if (readPause > 0) {
                    response.pause();
                    setTimeout(readOn, readPause);
                }
            });
            response.on("error", () => undefined);
            response.once("close", () => finish(response.statusCode, response.complete && !hasLeft));
        });
        sent.once("error", () => finish(undefined, false));
        sent.end("body");
    });
}

function readEvents(text: string): readonly ReadEvent[] {
    return [...text.matchAll(eventPattern)].map(([, id, key, origin, run]) => ({
        id: Number(id),
        key: key!,
        origin: origin!,
        run: run!,
    }));
}

/**
 * Lists what a client saw and may not see.
 *
 * @param stream - the stream and its tries
 * @param mayJoin - whether its route may be resumed
 * @returns one text for each fault
 */
export function listFaults(stream: PlayedStream, mayJoin: boolean): readonly string[] {
    const events = stream.tries.flatMap(made => made.events);
    const ids = events.map(({ id }) => id);
    const faults: string[] = [];
    if (ids.some((id, index) => id !== index + 1)) {
        faults.push(`events ${ids.join()}`);
    }
    if (events.some(({ key }) => key !== stream.key)) {
        faults.push("events of another stream");
    }
    const origins = new Set(events.map(({ origin }) => origin));
    if (origins.size > 1) {
        faults.push(`joined from ${[...origins].join()}`);
    }
    const runs = new Set(events.map(({ run }) => run));
    if (!mayJoin && runs.size > 1) {
        faults.push(`joined from runs ${[...runs].join()}`);
    }
    for (const { isComplete, status, after, events: own } of stream.tries) {
        const last = own.at(-1)?.id ?? after;
        if (isComplete && status === 200 && last !== stream.count) {
            faults.push(`complete after event ${last} of ${stream.count}`);
        }
    }
    return faults.map(fault => `${stream.path} ${stream.parts}: ${fault}`);
}
