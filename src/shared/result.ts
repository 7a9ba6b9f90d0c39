/**
 * Results that return expected errors as values instead of exceptions.
 *
 * @packageDocumentation
 */

/** Either a value or an error, told apart by `ok`. */
export type Result<Value, Failure> =
    | { readonly ok: true; readonly value: Value; }
    | { readonly ok: false; readonly error: Failure; };

/**
 * Wraps a value as a success.
 *
 * @param value - value to return
 * @returns a result with `ok` true
 */
export function wrapValue<Value>(value: Value): Result<Value, never> {
    return { ok: true, value };
}

/**
 * Wraps an error as a failure.
 *
 * @param error - error to return
 * @returns a result with `ok` false
 */
export function wrapError<Failure>(error: Failure): Result<never, Failure> {
    return { ok: false, error };
}
