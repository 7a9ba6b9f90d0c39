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

/** Ranges of the statuses of interim answers and of answers (RFC 9110, 15). */
const interimStatuses = { lowest: 100, highest: 199 } as const;
const finalStatuses = { lowest: 200, highest: 599 } as const;
/** What follows is in another protocol, for which no request of ours asks. */
const switchingProtocolsStatus = 101;
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
        if (isFinalStatus(status)) {
            return { kind: "final" };
        }
        if (!isInterimStatus(status)) {
            return { kind: "none", detail: `status ${status}` };
        }
        interimAnswers++;
        return interimAnswers > interimAnswerLimit
            ? { kind: "none", detail: `more than ${interimAnswerLimit} interim answers` }
            : { kind: "interim" };
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

function isInterimStatus(status: number): boolean {
    return status >= interimStatuses.lowest && status <= interimStatuses.highest && status !== switchingProtocolsStatus;
}
