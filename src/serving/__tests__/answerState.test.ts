import { expect } from "chai";
import fc from "fast-check";
import { readFileSync } from "node:fs";
import type { AnswerEnder } from "../answerEnds.js";
import {
    type AnswerDecision,
    type AnswerEffect,
    type AnswerEvent,
    type AnswerPhase,
    type AnswerState,
    decideAnswer,
    type EndEvent,
    initialAnswerState,
} from "../answerState.js";

interface Step {
    readonly event: AnswerEvent;
    readonly now: number;
    readonly before: AnswerState;
    /** `undefined` when the event wasn't allowed. */
    readonly decision: AnswerDecision | undefined;
}

const enders: readonly AnswerEnder[] = [
    "client",
    "stop",
    "deadline",
    "inside",
    "server",
    "pool",
    "instance",
    "configuration",
    "limit",
    "noServer",
];
const head = { status: 200, headers: [], contentLength: undefined };
const chunk = Buffer.from("id: 1\n\n");
const deadlineAt = 50;
const attempt = fc.integer({ min: 1, max: 3 });
const end: fc.Arbitrary<EndEvent> = fc.record({
    kind: fc.constant("end"),
    by: fc.constantFrom(...enders),
    head: fc.constantFrom({ ...head, status: 502 }, undefined),
    isGone: fc.boolean(),
    deadlineAt: fc.constant(deadlineAt),
    stopsIn: fc.constantFrom(Number.POSITIVE_INFINITY, 1_000, 0),
});
const event: fc.Arbitrary<AnswerEvent> = fc.oneof(
    fc.record({ kind: fc.constant("attempt"), canGoOn: fc.boolean(), deadlineAt: fc.constant(deadlineAt) } as const),
    fc.record({ kind: fc.constantFrom("head", "attemptOver"), attempt }),
    fc.record({ kind: fc.constant("begin"), attempt, head: fc.constant(head) } as const),
    fc.record({ kind: fc.constant("write"), attempt, chunk: fc.constant(chunk) } as const),
    fc.record({ kind: fc.constant("whole"), attempt, incompleteBytes: fc.constantFrom(0, 0, 7) } as const),
    fc.constant({ kind: "delivered" } as const),
    end,
) as fc.Arbitrary<AnswerEvent>;
/** What a request does that nobody ends, in parts, so that long ways are reached as well. */
const lead = fc.constantFrom<readonly AnswerEvent["kind"][]>(
    [],
    ["attempt"],
    ["attempt", "head", "begin", "write"],
    ["attempt", "head", "begin", "write", "attemptOver", "attempt", "head", "begin"],
    ["attempt", "head", "begin", "write", "whole"],
);
const history = fc.tuple(lead, fc.array(fc.tuple(event, fc.integer({ min: 0, max: 9 })), { maxLength: 30 }))
    .map(([kinds, events]) => runHistory([...createLead(kinds), ...events]));

function createLead(kinds: readonly AnswerEvent["kind"][]): readonly (readonly [AnswerEvent, number])[] {
    let number = 0;
    return kinds.map(kind => {
        number += kind === "attempt" ? 1 : 0;
        const all = { kind, attempt: number, canGoOn: true, deadlineAt, head, chunk, incompleteBytes: 0 };
        return [all as unknown as AnswerEvent, 0];
    });
}

function runHistory(events: readonly (readonly [AnswerEvent, number])[]): readonly Step[] {
    let state = initialAnswerState;
    let now = 0;
    return events.map(([next, delay]) => {
        now += delay;
        const before = state;
        const decision = decideAnswer(before, next, now);
        state = decision?.state ?? before;
        return { event: next, now, before, decision };
    });
}

function listEffects(steps: readonly Step[]): readonly AnswerEffect["kind"][] {
    return steps.flatMap(({ decision }) => decision?.effects.map(({ kind }) => kind) ?? []);
}

function checkHistories(check: (steps: readonly Step[]) => void): void {
    fc.assert(fc.property(history, check), { numRuns: 3_000, seed: 48 });
}

describe("state of an answer", () => {
    // guards against an answer that two owners end, or that is written to after its end (LOST, ORDER)
    it("has one end with one name, and nothing is written or closed after it", () => {
        checkHistories(steps => {
            const ends = steps.filter(({ before, decision }) =>
                before.phase !== "ended" && decision?.state.phase === "ended"
            );
            expect(ends.length).to.be.at.most(1);
            for (const { before, decision } of steps) {
                const after = decision?.state ?? before;
                expect(after.by !== undefined, after.phase).to.equal(after.phase === "ended");
                expect(after.ending !== undefined, after.phase).to.equal(after.phase === "ended");
                expect(before.phase === "ended" && decision !== undefined, "decided after the end").to.equal(false);
            }
            const client = listEffects(steps).filter(kind => kind !== "abort").join(" ");
            expect(client).to.match(/^(writeHead( write)*( end| destroy)?)?(destroy)?$/);
        });
    });

    // guards against an answer that ends as whole by a connection that was reset, or with an incomplete event (ORDER)
    it("is whole only after the whole answer of the present attempt", () => {
        checkHistories(steps => {
            const last = steps.at(-1)?.decision?.state ?? steps.at(-1)?.before;
            const whole = steps.find(({ decision }) => decision?.state.phase === "handedOver");
            if (last?.ending === "whole" || whole) {
                expect(whole!.event).to.deep.include({
                    kind: "whole",
                    incompleteBytes: 0,
                    attempt: whole!.before.attempt,
                });
                expect(whole!.before.phase).to.equal("answering");
            }
            if (last?.ending === "whole") {
                expect(last.by).to.equal("server");
            }
        });
    });

    // guards against a stop, a deadline or a silence that ends an answer early (LOST)
    it("is ended by its owners only when they may, and by the end of its connection at any time", () => {
        checkHistories(steps => {
            for (const { event: next, before, decision, now } of steps) {
                if (next.kind !== "end" || before.phase === "ended") {
                    continue;
                }
                const isUnderWay = ["sent", "answering", "handedOver"].includes(before.phase);
                const isClosed = next.isGone && ["client", "stop"].includes(next.by);
                const isEarlyStop = next.by === "stop" && isUnderWay && next.stopsIn > 0 && !isClosed;
                const isEarlyDeadline = next.by === "deadline" && now < deadlineAt;
                expect(decision !== undefined && (isEarlyStop || isEarlyDeadline), `early ${next.by}`).to.equal(false);
                expect(decision === undefined && isClosed, "open after its connection").to.equal(false);
            }
        });
    });

    // guards against a second attempt beside one that is under way, or after bytes that it can't go on with (TWICE, ORDER)
    it("begins an attempt only while none is under way, and aborts the one that is when it ends", () => {
        checkHistories(steps => {
            for (const { event: next, before, decision, now } of steps) {
                if (next.kind === "attempt" && decision) {
                    expect(before.phase).to.equal("waiting");
                    expect(now).to.be.below(deadlineAt);
                    expect(before.begunAt === undefined || next.canGoOn).to.equal(true);
                }
                const isAborted = decision?.effects.some(({ kind }) => kind === "abort") ?? false;
                const isUnderWay = before.phase === "sent" || before.phase === "answering";
                expect(isAborted).to.equal(isUnderWay && decision?.state.phase === "ended");
            }
        });
    });

    // guards against a page that says something else than the code
    it("is ended by those whom the page lists", () => {
        const page = readFileSync(new URL("../../../docs/design/answerEnds.md", import.meta.url), "utf8");
        for (const by of enders) {
            const cells = listedPhases.map(phase => describeCondition(by, phase, false));
            expect(page).to.include(`| \`${by}\` | ${cells.join(" | ")} |`);
            const closed = listedPhases.map(phase => describeCondition(by, phase, true));
            const isClosing = by === "client" || by === "stop";
            expect(closed).to.deep.equal(listedPhases.map(phase => isClosing && phase !== "ended" ? "yes" : "no"));
        }
    });
});

const listedPhases: readonly AnswerPhase[] = ["waiting", "sent", "answering", "handedOver", "ended"];
const conditions: readonly (readonly [text: string, holds: (end: EndEvent, now: number) => boolean])[] = [
    ["deadline over", (unused, now) => now >= deadlineAt],
    ["grace over", ({ stopsIn }) => stopsIn <= 0],
    ["stop begun", ({ stopsIn }) => stopsIn < Number.POSITIVE_INFINITY],
];

// tries all that an end can depend on, and names what all ends that are allowed have in common
function describeCondition(by: AnswerEnder, phase: AnswerPhase, isGone: boolean): string {
    const tries = [0, deadlineAt].flatMap(now =>
        [Number.POSITIVE_INFINITY, 1_000, 0].map(stopsIn => {
            const next: EndEvent = { kind: "end", by, head, isGone, deadlineAt, stopsIn };
            return { next, now, isAllowed: decideAnswer({ ...initialAnswerState, phase }, next, now) !== undefined };
        })
    );
    const allowed = tries.filter(({ isAllowed }) => isAllowed);
    if (allowed.length === 0) {
        return "no";
    }
    const needed = conditions.find(([, holds]) => allowed.every(({ next, now }) => holds(next, now)));
    return needed?.[0] ?? "yes";
}
