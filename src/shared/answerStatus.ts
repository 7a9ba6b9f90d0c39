/**
 * Decides what the number of a status line says of the bytes that it begins. Parsers take any three digits for a status,
 * and hand some on that no answer has.
 *
 * @packageDocumentation
 */

/** What a head is: one of an answer, one before that, or none that the answer to a request could have. */
export type CheckedStatus =
    | { readonly kind: "final"; }
    | { readonly kind: "interim"; }
    | { readonly kind: "none"; readonly detail: string; };

/** Checks the statuses of the heads that come for one request, in their order. */
export type StatusCheck = (status: number) => CheckedStatus;

/** Range of the statuses of answers (RFC 9110, 15). */
const finalStatuses = { lowest: 200, highest: 599 } as const;
/** Interim answers that a request may have; servers send some, such as one every few seconds of their work. */
const interimAnswerLimit = 64;

/**
 * Creates the check for the answer to one request.
 *
 * @returns the check
 */
export function createStatusCheck(): StatusCheck {
    let interimAnswers = 0;
    return status => {
        if (status < finalStatuses.lowest) {
            interimAnswers++;
            return interimAnswers > interimAnswerLimit
                ? { kind: "none", detail: `more than ${interimAnswerLimit} interim answers` }
                : { kind: "interim" };
        }
        return isFinalStatus(status) ? { kind: "final" } : { kind: "none", detail: `status ${status}` };
    };
}

/**
 * Returns whether a status is one of an answer.
 *
 * @param status - number of a status line
 * @returns whether the bytes after it may be an answer
 */
export function isFinalStatus(status: number): boolean {
    return Number.isInteger(status) && status >= finalStatuses.lowest && status <= finalStatuses.highest;
}
