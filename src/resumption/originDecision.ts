/**
 * Decides at which service and software version a stream goes on, from what several instances know.
 *
 * @packageDocumentation
 */
import type { OriginDecision, OriginView, StreamOrigin, TimeSpan } from "./types.js";

/** What another instance answered. */
export interface OriginAnswer extends OriginView {
    /** Origin of the stream; `undefined` when the instance doesn't keep it. */
    readonly origin?: StreamOrigin | undefined;
}

/** Whether the origin is known; `unconfirmed` while newer views may tell. */
export type OriginVerdict = OriginDecision | { readonly kind: "unconfirmed"; readonly reason: string; };

/**
 * Decides the origin of a stream. A stream of which nobody knows began while no other version served, unless one did, or
 * unless there is a time at which it may have begun and over which nobody has followed the servers.
 *
 * @param own - view of this instance
 * @param answers - answers of the instances that keep such streams; empty when none responded
 * @param possibleTime - from the earliest beginning of the stream to the client's return
 * @returns the origin, or why it isn't known
 */
export function decideOrigin(
    own: OriginView,
    answers: readonly OriginAnswer[],
    possibleTime: TimeSpan,
): OriginVerdict {
    const recorded = listDistinct(answers.flatMap(({ origin }) => origin ? [origin] : []));
    if (recorded.length === 1) {
        return { kind: "known", origin: recorded[0]! };
    }
    if (recorded.length > 1) {
        return { kind: "unknown", reason: "two versions are said to have begun the stream" };
    }
    if (answers.length === 0) {
        return { kind: "unknown", reason: "no instance answered that keeps streams" };
    }
    const views = [own, ...answers];
    const possible = listDistinct(views.flatMap(({ origins }) => origins));
    if (possible.length > 1) {
        return { kind: "unknown", reason: "nobody knows which of several versions began the stream" };
    }
    if (possible.length === 0 || !isCovered(possibleTime, views.flatMap(({ followed }) => followed))) {
        return { kind: "unconfirmed", reason: "nobody has followed the servers for as long as the stream may be old" };
    }
    return { kind: "known", origin: possible[0]! };
}

/**
 * Compares two origins. A number and a text are never the same version.
 *
 * @param left - one origin
 * @param right - the other one
 * @returns whether servers of both may go on with the same streams
 */
export function isSameOrigin(left: StreamOrigin, right: StreamOrigin): boolean {
    return left.service === right.service && left.version === right.version;
}

/**
 * Tells whether a time is covered by several others together.
 *
 * @param time - the time
 * @param spans - the others, in any order
 * @returns whether no moment of it is left out
 */
export function isCovered(time: TimeSpan, spans: readonly TimeSpan[]): boolean {
    let coveredTo = Math.min(time.from, time.to);
    let isBegun = false;
    for (const { from, to } of [...spans].sort((left, right) => left.from - right.from)) {
        if (from <= coveredTo && to >= coveredTo) {
            coveredTo = to;
            isBegun = true;
        }
    }
    return isBegun && coveredTo >= time.to;
}

function listDistinct(origins: readonly StreamOrigin[]): readonly StreamOrigin[] {
    return origins.filter((origin, index) => origins.findIndex(other => isSameOrigin(origin, other)) === index);
}
