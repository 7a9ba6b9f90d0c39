/**
 * Sends one attempt through another instance and reports its events as if the server were reached directly.
 *
 * @packageDocumentation
 */
import type { PeerNetwork } from "../peers/index.js";
import type { Attempt, AttemptFault, AttemptHandlers, AttemptRequest } from "../serving/serverConnections.js";
import { formatServerRunId } from "../serving/types.js";
import { type Clock, createLogger, type InstanceId, isFinalStatus } from "../shared/index.js";
import { callGuarded, startTask } from "../supervision/index.js";
import { createHeldReading } from "./heldReading.js";
import { type AttemptEvent, type ForwardingMessage, forwardingMessageSchema } from "./messages.js";

/** An answer is due after the wait of the other instance at the latest. */
const answerTimeoutMilliseconds = 1_000;
/** Time for the answer to an abort, which may be lost like any message; it is then sent again. */
const abortTimeoutMilliseconds = 120;
const maximumAborts = 3;
const maximumDetailLength = 200;
const log = createLogger("forwarding");

/** Way to an instance that reaches servers. */
export interface HelperWay {
    readonly network: PeerNetwork;
    readonly helper: InstanceId;
    readonly clock: Clock;
}

/**
 * Sends an attempt through a helper.
 *
 * @param way - the helper and the connections to it
 * @param id - identifies the attempt over all instances
 * @param request - the attempt
 * @param handlers - callbacks
 * @returns the attempt in progress
 */
export function sendThroughInstance(
    { network, helper, clock }: HelperWay,
    id: string,
    request: AttemptRequest,
    handlers: AttemptHandlers,
): Attempt {
    let isOver = false;
    const keep = (): void =>
        void callGuarded("keep of a forwarded attempt", () => network.send(helper, "forwarding", { kind: "keep", id }));
    const reading = createHeldReading({ clock, keep, keepUntil: request.deadlineAt });
    const requestHelper = async (message: ForwardingMessage): Promise<ForwardingMessage | AttemptFault> => {
        const response = await network.request(helper, "forwarding", message, answerTimeoutMilliseconds);
        if (!response.ok) {
            const { kind } = response.error;
            const isNotSent = message.kind === "start" && (kind === "unreachable" || kind === "incompatible");
            const detail = `${helper} ${kind}`;
            return isNotSent ? { kind: "rerouted", detail } : { kind: "broken", detail, isBetweenInstances: true };
        }
        const parsed = forwardingMessageSchema.safeParse(response.value);
        return parsed.success
            ? parsed.data
            : { kind: "broken", detail: `${helper} sent an unreadable answer`, isBetweenInstances: true };
    };
    const finish = (notify: () => void): void => {
        if (!isOver) {
            isOver = true;
            reading.end();
            notify();
        }
    };
    const abortAtHelper = async (): Promise<void> => {
        for (let aborts = 0; aborts < maximumAborts; aborts++) {
            const response = await network.request(
                helper,
                "forwarding",
                { kind: "abort", id },
                abortTimeoutMilliseconds,
            );
            if (response.ok) {
                return;
            }
        }
        log.warn("forwarded attempt not aborted", { id: request.attemptId, helper });
    };
    const startAbort = (): void => startTask("abort forwarded attempt", abortAtHelper);
    // an instance of the version before hands on what its server has sent
    const refuseHead = (status: number): void => {
        startAbort();
        finish(() => handlers.onFault({ kind: "broken", detail: `status ${status}`, isNoAnswer: true }));
    };
    const deliver = (event: AttemptEvent): void => {
        if (isOver) {
            return;
        }
        switch (event.kind) {
            case "head":
                isFinalStatus(event.head.status) ? handlers.onHead(event.head) : refuseHead(event.head.status);
                break;
            case "data":
                handlers.onData(Buffer.from(event.chunk.buffer, event.chunk.byteOffset, event.chunk.byteLength));
                break;
            case "end":
                finish(handlers.onEnd);
                break;
            case "fault":
                finish(() => handlers.onFault(event.fault));
                break;
        }
    };
    const run = async (): Promise<void> => {
        const { body, method, target, headers, attemptId } = request;
        const serverRun = formatServerRunId(request.server);
        let message: ForwardingMessage = {
            kind: "start",
            id,
            run: serverRun,
            attemptId,
            method,
            target,
            headers,
            body,
            wasRefused: request.wasRefused,
        };
        while (!isOver) {
            const answer = await requestHelper(message);
            if (answer.kind === "events") {
                answer.events.forEach(deliver);
                await reading.wait();
                message = { kind: "read", id };
                continue;
            }
            const fault = describeFault(answer, message);
            if (fault.kind === "broken" && !isOver) {
                startAbort();
            }
            finish(() => handlers.onFault(fault));
        }
    };
    startTask("forwarded attempt", run, error => {
        startAbort();
        const detail = `failed here: ${String(error).slice(0, maximumDetailLength)}`;
        finish(() => handlers.onFault({ kind: "broken", detail, isBetweenInstances: true }));
    });
    const abort = (): void => {
        isOver = true;
        reading.end();
        startAbort();
    };
    return {
        abort,
        drain: () => isOver || abort(),
        pause: reading.pause,
        resume: reading.resume,
    };
}

function describeFault(answer: ForwardingMessage | AttemptFault, message: ForwardingMessage): AttemptFault {
    if (answer.kind === "broken" || answer.kind === "rerouted") {
        return answer;
    }
    // a refused start has sent nothing; an attempt that the helper no longer knows may have run
    return answer.kind === "refused" && message.kind === "start"
        ? { kind: "rerouted", detail: answer.reason }
        : { kind: "broken", detail: "the other instance lost the attempt", isBetweenInstances: true };
}
