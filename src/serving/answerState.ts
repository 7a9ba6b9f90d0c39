/**
 * Decides what may happen to an answer, and who may end it: in each phase some events are allowed, and an answer ends once, by
 * one hand. The table is in docs/design/answerEnds.md.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";
import type { AnswerEnder } from "./answerEnds.js";

/**
 * Phase of an answer: `waiting` without an attempt, `sent` until the head of a server is taken, `answering` while its body comes,
 * `handedOver` when the whole answer is written and not all of it is at the client, and `ended`.
 */
export type AnswerPhase = "waiting" | "sent" | "answering" | "handedOver" | "ended";

/** State of an answer. */
export interface AnswerState {
    readonly phase: AnswerPhase;
    /** Number of the present or last attempt; 0 before the first. */
    readonly attempt: number;
    /** Time at which the head of a server's answer was written to the client; `undefined` before. */
    readonly begunAt: Milliseconds | undefined;
    /** Status that was written to the client. */
    readonly status: number | undefined;
    /**
     * How it ended: `whole`, with a `status` of our own, `cut` by closing the connection, or as the connection was `gone`;
     * `undefined` before.
     */
    readonly ending: "whole" | "status" | "cut" | "gone" | undefined;
    /** By whose hand it ended; `undefined` before. */
    readonly by: AnswerEnder | undefined;
}

/** Head that is written to the client. */
export interface AnswerHead {
    readonly status: number;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly contentLength: number | undefined;
}

/** What happens to an answer. Events of a server carry the number of its attempt, so that a late one changes nothing. */
export type AnswerEvent =
    /** An attempt is about to be sent; `canGoOn` when it can go on with an answer that has begun. */
    | { readonly kind: "attempt"; readonly canGoOn: boolean; readonly deadlineAt: Milliseconds; }
    /** The head of the server was taken for the answer. */
    | { readonly kind: "head"; readonly attempt: number; }
    /** The head is to be written, unless that of an earlier attempt was. */
    | { readonly kind: "begin"; readonly attempt: number; readonly head: AnswerHead; }
    | { readonly kind: "write"; readonly attempt: number; readonly chunk: Buffer; }
    /** The server's answer is whole, but for bytes of an incomplete event. */
    | { readonly kind: "whole"; readonly attempt: number; readonly incompleteBytes: number; }
    /** The attempt is over without a whole answer. */
    | { readonly kind: "attemptOver"; readonly attempt: number; }
    /** All bytes are with the client. */
    | { readonly kind: "delivered"; }
    | EndEvent;

/** Somebody wants to end the answer. */
export interface EndEvent {
    readonly kind: "end";
    readonly by: AnswerEnder;
    /** Head of an answer of our own, for a client that has nothing yet; `undefined` to close its connection. */
    readonly head: AnswerHead | undefined;
    /** Whether the client's connection is closed, by this hand. */
    readonly isGone: boolean;
    /** Time at which the answer must have ended. */
    readonly deadlineAt: Milliseconds;
    /** Time until the end of this instance's stop; infinite when it doesn't stop. */
    readonly stopsIn: Milliseconds;
}

/** What is done with the connections: `abort` the attempt; the others concern the client. */
export type AnswerEffect =
    | { readonly kind: "abort"; }
    | { readonly kind: "writeHead"; readonly head: AnswerHead; }
    | { readonly kind: "write"; readonly chunk: Buffer; }
    | { readonly kind: "end"; }
    | { readonly kind: "destroy"; };

/** Decision on an event that is allowed. */
export interface AnswerDecision {
    readonly state: AnswerState;
    /** In their order. */
    readonly effects: readonly AnswerEffect[];
}

/** State of an answer before the first attempt. */
export const initialAnswerState: AnswerState = {
    phase: "waiting",
    attempt: 0,
    begunAt: undefined,
    status: undefined,
    ending: undefined,
    by: undefined,
};

/**
 * Decides on an event.
 *
 * @param state - present state
 * @param event - what happens
 * @param now - present time
 * @returns the new state and what is to be done, or `undefined` when the event isn't allowed and changes nothing
 */
export function decideAnswer(state: AnswerState, event: AnswerEvent, now: Milliseconds): AnswerDecision | undefined {
    switch (event.kind) {
        case "attempt": {
            const isAllowed = state.phase === "waiting" && now < event.deadlineAt &&
                (state.begunAt === undefined || event.canGoOn);
            return isAllowed ? move({ ...state, phase: "sent", attempt: state.attempt + 1 }) : undefined;
        }
        case "head":
            return isOf(state, event, "sent") ? move({ ...state, phase: "answering" }) : undefined;
        case "begin":
            return isOf(state, event, "answering") ? decideBegin(state, event.head, now) : undefined;
        case "write":
            return hasBegun(state, event) ? move(state, { kind: "write", chunk: event.chunk }) : undefined;
        case "whole":
            return hasBegun(state, event) && event.incompleteBytes === 0
                ? move({ ...state, phase: "handedOver" }, { kind: "end" })
                : undefined;
        case "attemptOver":
            return isOf(state, event, "sent") || isOf(state, event, "answering")
                ? move({ ...state, phase: "waiting" })
                : undefined;
        case "delivered":
            return state.phase === "handedOver"
                ? move({ ...state, phase: "ended", ending: "whole", by: "server" })
                : undefined;
        case "end":
            return isEndAllowed(state, event, now) ? decideEnd(state, event) : undefined;
    }
}

function move(state: AnswerState, ...effects: readonly AnswerEffect[]): AnswerDecision {
    return { state, effects };
}

function isOf(state: AnswerState, event: { readonly attempt: number; }, phase: AnswerPhase): boolean {
    return state.phase === phase && state.attempt === event.attempt;
}

function hasBegun(state: AnswerState, event: { readonly attempt: number; }): boolean {
    return isOf(state, event, "answering") && state.begunAt !== undefined;
}

// an attempt that goes on with a stream keeps the head of the first one
function decideBegin(state: AnswerState, head: AnswerHead, now: Milliseconds): AnswerDecision {
    return state.begunAt === undefined
        ? move({ ...state, begunAt: now, status: head.status }, { kind: "writeHead", head })
        : move(state);
}

function isEndAllowed(state: AnswerState, event: EndEvent, now: Milliseconds): boolean {
    if (state.phase === "ended") {
        return false;
    }
    // a connection that is closed can't be asked
    if (event.isGone) {
        return event.by === "client" || event.by === "stop";
    }
    // what is written may still reach its client
    if (state.phase === "handedOver") {
        return false;
    }
    switch (event.by) {
        case "inside":
            return true;
        case "deadline":
            return now >= event.deadlineAt;
        // what is under way has the whole grace; what waits is told to go elsewhere
        case "stop":
            return state.phase === "waiting" ? Number.isFinite(event.stopsIn) : event.stopsIn <= 0;
        // the attempt of a server is over before
        case "client":
        case "server":
        case "pool":
        case "instance":
        case "configuration":
        case "limit":
        case "noServer":
            return state.phase === "waiting";
    }
}

function decideEnd(state: AnswerState, { by, head, isGone }: EndEvent): AnswerDecision {
    const isAttempting = state.phase === "sent" || state.phase === "answering";
    const abort: readonly AnswerEffect[] = isAttempting ? [{ kind: "abort" }] : [];
    const ended = { ...state, phase: "ended", by } as const;
    if (isGone) {
        return move({ ...ended, ending: "gone" }, ...abort);
    }
    return state.begunAt === undefined && head
        ? move({ ...ended, ending: "status", status: head.status }, ...abort, { kind: "writeHead", head }, {
            kind: "end",
        })
        : move({ ...ended, ending: "cut" }, ...abort, { kind: "destroy" });
}
