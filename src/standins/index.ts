/**
 * Local stand-ins for the platform's services and backend servers. Tests, the demo and `oriolehatch standins` use them.
 *
 * @packageDocumentation
 */
export * from "./engineModel.js";
export * from "./engineModelTypes.js";
export * from "./engineRecord.js";
export * from "./engineStandin.js";
export * from "./instanceListStandin.js";
export * from "./logModel.js";
export * from "./logStandin.js";
export * from "./serviceStandin.js";
export * from "./standins.js";
export * from "./standinsConfig.js";
export * from "./standinServer.js";
export * from "./weightStoreModel.js";
