/**
 * Ids of the events of a stream. They are kept as digits, as some are times in nanoseconds, which a number would round.
 *
 * @packageDocumentation
 */

/** Id of an event: decimal digits without zeros before them. */
export type EventId = string;

/** A longer one counts as none, as it is kept with each stream and sent to servers. */
const idPattern = /^\d{1,128}$/;
const leadingZeros = /^0+(?=\d)/;

/**
 * Decodes an id.
 *
 * @param text - text that may be one
 * @returns the id; `undefined` when the text has more than 128 digits, or anything but digits
 */
export function decodeEventId(text: string): EventId | undefined {
    return idPattern.test(text) ? text.replace(leadingZeros, "") : undefined;
}

/**
 * Compares two ids by their value.
 *
 * @param id - one id
 * @param other - the other one
 * @returns whether the first one is higher
 */
export function isLaterEvent(id: EventId, other: EventId): boolean {
    return id.length === other.length ? id > other : id.length > other.length;
}
