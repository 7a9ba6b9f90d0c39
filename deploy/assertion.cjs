"use strict";

// Takes the place of the runtime's `assert`, of which undici calls the function itself. The stack tells which check failed.
class AssertionError extends Error {
    constructor(message) {
        super(message);
        this.name = "AssertionError";
        this.code = "ERR_ASSERTION";
    }
}

module.exports = function assert(value, message = "assertion failed") {
    if (!value) {
        throw message instanceof Error ? message : new AssertionError(message);
    }
};
