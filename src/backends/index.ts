/**
 * Interfaces to the external systems (model engines, plain services, the instance list and the log service) and their
 * HTTP clients.
 *
 * @packageDocumentation
 */
export * from "./adapterName.js";
export * from "./engineClient.js";
export * from "./engineHttpClient.js";
export * from "./httpErrors.js";
export * from "./instanceList.js";
export * from "./instanceListHttpClient.js";
export * from "./logHttpClient.js";
export * from "./logService.js";
export * from "./serviceClient.js";
export * from "./serviceHttpClient.js";
