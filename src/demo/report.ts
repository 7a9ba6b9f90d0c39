/**
 * Report of the demo: prints the result of each step and counts those that differ from the expected behavior.
 *
 * @packageDocumentation
 */
import type { CallerAnswer } from "./caller.js";

/** Prints the results of the demo and counts failures. */
export interface DemoReport {
    /** Prints the title of a scenario. */
    readonly beginScenario: (title: string) => void;
    /** Prints a request, the answer to it, and whether the answer is the expected one. */
    readonly recordAnswer: (what: string, instance: string, answer: CallerAnswer, isExpected: boolean) => void;
    /** Prints an observation, and whether it is the expected one. */
    readonly recordCheck: (what: string, isExpected: boolean) => void;
    /** Counts the answers and observations that were not the expected ones. */
    readonly countFailures: () => number;
}

const nameWidth = 46;
const textWidth = 34;

/**
 * Creates an empty report.
 *
 * @param write - called with each line, without a line break
 * @returns the report
 */
export function createDemoReport(write: (line: string) => void): DemoReport {
    let failures = 0;
    const writeLine = (text: string, isExpected: boolean): void => {
        failures += isExpected ? 0 : 1;
        write(`${isExpected ? "  ok   " : "  WRONG"} ${text}`);
    };
    return {
        beginScenario: title => write(`\n${title}`),
        recordAnswer: (what, instance, answer, isExpected) =>
            writeLine(`${what.padEnd(nameWidth)} at ${instance}: ${describeAnswer(answer)}`, isExpected),
        recordCheck: (what, isExpected) => writeLine(what, isExpected),
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
