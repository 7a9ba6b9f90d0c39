// The parts of undici that the daemon uses. Its index also loads fetch, WebSocket, caches and mocks, which a process that
// starts would read and compile for nothing.
import "./httpErrors.js";
import api from "../node_modules/undici/lib/api/index.js";
import buildConnector from "../node_modules/undici/lib/core/connect.js";
import Agent from "../node_modules/undici/lib/dispatcher/agent.js";
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js";
import Pool from "../node_modules/undici/lib/dispatcher/pool.js";

// undici's index adds these methods, of which `request` is used
Object.assign(Dispatcher.prototype, api);

export { Agent, buildConnector, Pool };
