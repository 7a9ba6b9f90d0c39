/**
 * The instance daemon: its settings file, and the function that opens an instance from it.
 *
 * @packageDocumentation
 */
export * from "./openInstance.js";
export * from "./options.js";
