/**
 * Choice of an engine for a request.
 *
 * @packageDocumentation
 */
export * from "./engineScore.js";
