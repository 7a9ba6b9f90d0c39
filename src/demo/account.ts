/**
 * The account that the demo gives of itself: what each request got, and whether that is what was promised.
 *
 * @packageDocumentation
 */
import type { CallerAnswer } from "./caller.js";

/** Collects steps and prints them. */
export interface DemoReport {
    /** Prints a heading. */
    readonly beginScenario: (title: string) => void;
    /** Prints a request, what it got, and whether that was promised. */
    readonly recordAnswer: (what: string, instance: string, answer: CallerAnswer, isAsPromised: boolean) => void;
    /** Prints a fact, and whether it is as promised. */
    readonly recordCheck: (what: string, isAsPromised: boolean) => void;
    readonly countFailures: () => number;
}

const nameWidth = 46;
const textWidth = 34;

/**
 * Creates an empty account.
 *
 * @param write - takes each line
 * @returns the account
 */
export function createDemoReport(write: (line: string) => void): DemoReport {
    let failures = 0;
    const writeLine = (text: string, isAsPromised: boolean): void => {
        failures += isAsPromised ? 0 : 1;
        write(`${isAsPromised ? "  ok   " : "  WRONG"} ${text}`);
    };
    return {
        beginScenario: title => write(`\n${title}`),
        recordAnswer: (what, instance, answer, isAsPromised) =>
            writeLine(`${what.padEnd(nameWidth)} at ${instance}: ${describeAnswer(answer)}`, isAsPromised),
        recordCheck: (what, isAsPromised) => writeLine(what, isAsPromised),
        countFailures: () => failures,
    };
}

function describeAnswer(answer: CallerAnswer): string {
    if (answer.outcome === "completed") {
        const text = answer.text.trim();
        return `completed  ${text.length > textWidth ? `${text.slice(0, textWidth)}…` : text}`;
    }
    const retryText = answer.retryAfterSeconds === undefined ? "" : `, retry after ${answer.retryAfterSeconds} s`;
    return `${answer.outcome} (${answer.reason ?? "no reason given"}${retryText})`;
}
