/**
 * Status lines that no answer has, for the tests of all that read answers.
 *
 * @packageDocumentation
 */

/** Numbers, and what looks like one, that are no status of an answer. */
export const wrongStatuses: readonly string[] = [
    "000",
    "001",
    "099",
    "101",
    "600",
    "700",
    "999",
    "1000",
    "20",
    "2e2",
    "-01",
    "+200",
    "",
];

/** Head of an interim answer. */
export const interimHead = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

/**
 * Formats answers with these statuses, with and without a body.
 *
 * @param headers - header lines of the answers
 * @returns the bytes by a name of the answer
 */
export function formatStatusLines(headers: string): Readonly<Record<string, string>> {
    const named = wrongStatuses.map(status => [status === "" ? "none" : status, status] as const);
    return {
        ...Object.fromEntries(named.map(([name, status]) => [
            `${name} with a body`,
            `HTTP/1.1 ${status} -\r\n${headers}Content-Length: 2\r\n\r\nok`,
        ])),
        ...Object.fromEntries(named.map(([name, status]) => [
            `${name} without a body`,
            `HTTP/1.1 ${status} -\r\n${headers}\r\n`,
        ])),
        // nothing follows; the HTTP client takes it for an answer to nothing
        "100 alone": "HTTP/1.1 100 Continue\r\n\r\n",
        "000 before an answer": `HTTP/1.1 000 -\r\n\r\nHTTP/1.1 200 OK\r\n${headers}Content-Length: 2\r\n\r\nok`,
        "101 before an answer": `HTTP/1.1 101 -\r\n\r\nHTTP/1.1 200 OK\r\n${headers}Content-Length: 2\r\n\r\nok`,
    };
}
