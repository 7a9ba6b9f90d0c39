/**
 * The answer to one client: the one place that writes to it and ends it, as its state allows.
 *
 * @packageDocumentation
 */
import type { Clock } from "../shared/index.js";
import { callGuarded } from "../supervision/index.js";
import {
    type AnswerEffect,
    type AnswerEvent,
    type AnswerState,
    decideAnswer,
    initialAnswerState,
} from "./answerState.js";
import type { ClientResponse, ConnectionCloser } from "./requestState.js";

/** What came of an event: it wasn't allowed, it was, or it was and the client reads too slowly for more. */
export type EventResult = "refused" | "applied" | "full";

/** The answer to one client. */
export interface ClientAnswer {
    readonly read: () => AnswerState;
    /** Whether the head of a server's answer was written. */
    readonly hasBegun: () => boolean;
    /** Does what the state allows, and nothing else. */
    readonly apply: (event: AnswerEvent) => EventResult;
    /** Sets what ends the present attempt. */
    readonly setAbort: (abort: () => void) => void;
    /** Calls `resume` once when more may be written. */
    readonly onDrain: (resume: () => void) => void;
    /** Resolves when all that was written is on its way to the client, or its connection is closed. */
    readonly finished: Promise<"sent" | ConnectionCloser>;
}

/**
 * Creates the answer to a client that has got nothing.
 *
 * @param response - response to the client
 * @param clock - source of the times
 * @returns the answer
 */
export function createClientAnswer(response: ClientResponse, clock: Clock): ClientAnswer {
    let state = initialAnswerState;
    let abortAttempt: (() => void) | undefined;
    const run = (effect: AnswerEffect): boolean => {
        switch (effect.kind) {
            case "abort":
                callGuarded("abort attempt", () => abortAttempt?.());
                return true;
            case "writeHead":
                response.writeHead(effect.head.status, effect.head.headers, effect.head.contentLength);
                return true;
            case "write":
                return response.write(effect.chunk);
            case "end":
                response.end();
                return true;
            case "destroy":
                response.destroy();
                return true;
        }
    };
    return {
        read: () => state,
        hasBegun: () => state.begunAt !== undefined,
        apply: event => {
            const decision = decideAnswer(state, event, clock.now());
            if (!decision) {
                return "refused";
            }
            state = decision.state;
            return decision.effects.map(run).every(Boolean) ? "applied" : "full";
        },
        setAbort: abort => abortAttempt = abort,
        onDrain: response.onDrain,
        finished: response.finished ?? Promise.resolve("sent"),
    };
}
