/**
 * JSON's `null`, which `undefined` can't represent.
 *
 * @packageDocumentation
 */

/** JSON's `null`, for wire formats that require it; the rest of the code uses `undefined`. */
// eslint-disable-next-line no-restricted-syntax
export const jsonNull = null;
