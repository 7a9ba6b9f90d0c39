/**
 * Clients that write their requests byte by byte, in the forms in which a request can meet a stop.
 */
import { connect, type Socket } from "node:net";

/** How the bytes of a request come. */
export const requestForms = [
    "whole",
    "slow body",
    "slow chunks",
    "slow head",
    "after 100 Continue",
    "on a kept connection",
    "slow on a kept connection",
    "on a connection opened before",
] as const;

/** Form of a request. */
export type RequestForm = typeof requestForms[number];

/** A request whose last byte is sent at a set time. */
export interface RawRequest {
    readonly host: string;
    readonly port: number;
    readonly form: RequestForm;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    /** Path of a quick request, with which a kept connection begins, and the headers in which it differs. */
    readonly quickPath: string;
    readonly quickHeaders: Readonly<Record<string, string>>;
    /** Time of the last byte, on the clock of `performance.now`. */
    readonly lastByteAt: number;
    /** Time by which a client that is slow has begun its request, as the port may be closed later. */
    readonly beginBy: number;
}

/** What a client got. */
export interface RawAnswer {
    /** When the last byte was sent; `undefined` when the connection was closed before, or an answer came before. */
    readonly sentAt: number | undefined;
    readonly status: number | undefined;
    /** Head of the answer. */
    readonly head: string;
    readonly body: string;
    readonly isComplete: boolean;
    /** When the answer was complete, or the connection ended. */
    readonly endedAt: number;
}

const slowMilliseconds = 600;
/** Time for the first request on a kept connection. */
const keptMilliseconds = 1_000;
const slowSteps = 3;

/**
 * Sends a request.
 *
 * @param request - the request and its form
 * @returns what the client got
 */
export async function sendRawRequest(request: RawRequest): Promise<RawAnswer> {
    const { form, lastByteAt, beginBy } = request;
    const isKept = form.includes("kept");
    const beginAt = form === "whole" ? lastByteAt : Math.min(lastByteAt - slowMilliseconds, beginBy);
    await pauseUntil(beginAt - (isKept ? keptMilliseconds : 0));
    const connection = openConnection(request);
    if (isKept) {
        const { quickHeaders, quickPath } = request;
        connection.write(formatHead(request, { ...quickHeaders, path: quickPath, "Content-Length": "0" }));
        await connection.waitAnswer();
        connection.forgetAnswer();
        await pauseUntil(beginAt);
    }
    await writeInForm(request, connection);
    if (connection.isUsable()) {
        connection.markSent();
    }
    return connection.finish();
}

async function writeInForm(request: RawRequest, connection: RawConnection): Promise<void> {
    const { body, form, lastByteAt } = request;
    const length = String(body.length);
    const whole = `${formatHead(request, { "Content-Length": length })}${body}`;
    switch (form) {
        case "whole":
        case "on a connection opened before":
        case "on a kept connection":
            await pauseUntil(lastByteAt);
            connection.write(whole);
            return;
        case "slow body":
        case "slow on a kept connection":
            connection.write(formatHead(request, { "Content-Length": length }));
            await writeSlowly(connection, body, lastByteAt);
            return;
        case "slow chunks":
            connection.write(formatHead(request, { "Transfer-Encoding": "chunked" }));
            await writeSlowly(connection, `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`, lastByteAt);
            return;
        case "slow head":
            await writeSlowly(connection, whole, lastByteAt);
            return;
        case "after 100 Continue":
            connection.write(formatHead(request, { "Content-Length": length, Expect: "100-continue" }));
            await connection.waitText("HTTP/1.1 ");
            await pauseUntil(lastByteAt);
            connection.write(body);
            return;
    }
}

async function writeSlowly(connection: RawConnection, text: string, lastByteAt: number): Promise<void> {
    const size = Math.ceil(text.length / slowSteps);
    const interval = (lastByteAt - performance.now()) / (slowSteps - 1);
    for (let step = 0; step < slowSteps; step++) {
        await pauseUntil(lastByteAt - interval * (slowSteps - 1 - step));
        connection.write(text.slice(step * size, (step + 1) * size));
    }
}

function formatHead(request: RawRequest, { path = request.path, ...extra }: Readonly<Record<string, string>>): string {
    const headers = Object.entries({ ...request.headers, ...extra }).map(([name, value]) => `${name}: ${value}\r\n`);
    return `POST ${path} HTTP/1.1\r\n${headers.join("")}\r\n`;
}

interface RawConnection {
    readonly write: (text: string) => void;
    readonly waitText: (text: string) => Promise<void>;
    readonly waitAnswer: () => Promise<void>;
    readonly forgetAnswer: () => void;
    /** Whether the connection is open and nothing but an interim answer has come. */
    readonly isUsable: () => boolean;
    readonly markSent: () => void;
    readonly finish: () => Promise<RawAnswer>;
}

function openConnection({ host, port }: RawRequest): RawConnection {
    const socket: Socket = connect({ host, port });
    let text = "";
    let isClosed = false;
    let sentAt: number | undefined;
    const listeners = new Set<() => void>();
    const callListeners = (): void => listeners.forEach(listener => listener());
    const waitFor = (isDone: () => boolean): Promise<void> =>
        new Promise(resolve => {
            const check = (): void => {
                if (isClosed || isDone()) {
                    listeners.delete(check);
                    resolve();
                }
            };
            listeners.add(check);
            check();
        });
    socket.on("error", () => undefined);
    socket.on("data", (chunk: Buffer) => {
        text += chunk.toString("latin1");
        callListeners();
    });
    socket.once("close", () => {
        isClosed = true;
        callListeners();
    });
    const waitAnswer = (): Promise<void> => waitFor(() => parseAnswer(text).isComplete);
    return {
        write: part => void (isClosed || socket.write(part)),
        waitText: expected => waitFor(() => text.includes(expected)),
        waitAnswer,
        forgetAnswer: () => text = "",
        isUsable: () => !isClosed && parseAnswer(text).status === undefined,
        markSent: () => sentAt = performance.now(),
        finish: async () => {
            await waitAnswer();
            const endedAt = performance.now();
            socket.destroy();
            return { sentAt, endedAt, ...parseAnswer(text) };
        },
    };
}

function parseAnswer(received: string): Omit<RawAnswer, "sentAt" | "endedAt"> {
    const text = received.replace(/^HTTP\/1\.1 100 [^]*?\r\n\r\n/, "");
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return { status: undefined, head: "", body: "", isComplete: false };
    }
    const head = text.slice(0, headEnd);
    const body = text.slice(headEnd + 4);
    const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
    const isComplete = length === undefined ? body.endsWith("0\r\n\r\n") : body.length >= Number(length);
    return { status: Number(head.split(" ")[1]), head, body, isComplete };
}

function pauseUntil(at: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, at - performance.now())));
}
