/**
 * Sends orders and reports to the address that an engine's entry has now.
 *
 * @packageDocumentation
 */
import { type BackendServer, formatServerRunId, type ServerRunId } from "../serving/types.js";
import type { EngineControl } from "./types.js";

/**
 * Wraps the calls to engines. The parts that make them keep an engine as it was listed first, while another writer may
 * have changed its entry for a moment just then.
 *
 * @param control - calls to engines
 * @param findServer - finds the present entry of a run; `undefined` when it isn't listed
 * @returns calls that go to the present address
 */
export function trackEngineAddresses(
    control: EngineControl,
    findServer: (run: ServerRunId) => BackendServer | undefined,
): EngineControl {
    const findPresent = (server: BackendServer): BackendServer => findServer(formatServerRunId(server)) ?? server;
    return {
        order: (server, order) => control.order(findPresent(server), order),
        report: server => control.report(findPresent(server)),
    };
}
