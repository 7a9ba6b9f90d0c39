// undici goes on reading what it has at hand when a head is too long, and makes an error for each further header of it,
// which takes half a second in all. The first one serves for them all. To be imported before the other parts of undici.
import errors from "../node_modules/undici/lib/core/errors.js";

const { HeadersOverflowError } = errors;
let newest;

errors.HeadersOverflowError = function createOverflowError(message) {
    if (!newest) {
        newest = new HeadersOverflowError(message);
        // all of one chunk are made before any microtask runs
        queueMicrotask(() => newest = undefined);
    }
    return newest;
};
