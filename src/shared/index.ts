/**
 * Types and functions that all parts of the instance use.
 *
 * @packageDocumentation
 */
export * from "./answerStatus.js";
export * from "./boundedJson.js";
export * from "./constants.js";
export * from "./hash.js";
export * from "./identifiers.js";
export * from "./inputError.js";
export * from "./inputRanges.js";
export * from "./json.js";
export * from "./logger.js";
export * from "./logSink.js";
export * from "./networkAddress.js";
export * from "./random.js";
export * from "./resetSocket.js";
export * from "./result.js";
export * from "./time.js";
