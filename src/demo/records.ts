/**
 * Checks what the backend servers recorded during the demo against the guarantees of the system.
 *
 * @packageDocumentation
 */
import type { Standins } from "../standins/index.js";
import type { DemoReport } from "./report.js";

/**
 * Checks that every request ran on the requested adapter version, that no adapter in use was evicted, and that no
 * caller's key reached a backend server.
 *
 * @param standins - the local platform
 * @param keys - keys of client accounts, which must not appear in any received request
 * @param report - receives one line per check
 */
export function checkBackendRecords(standins: Standins, keys: readonly string[], report: DemoReport): void {
    const records = [...standins.engines.values()].map(engine => engine.model.record);
    const starts = records.flatMap(record => record.starts);
    const wrongStarts = starts.filter(start => start.asked !== start.ranOn).length;
    const wrongTokens = records.flatMap(record => record.wrongTokens).length;
    report.recordCheck(
        `${starts.length} requests ran at engines, ${wrongStarts + wrongTokens} on a wrong adapter or version`,
        wrongStarts + wrongTokens === 0,
    );
    const evictions = records.flatMap(record => record.evictions);
    const inUse = evictions.filter(eviction => eviction.uses > 0).length;
    report.recordCheck(`${evictions.length} adapters were evicted, ${inUse} of them in use`, inUse === 0);
    const servers = [...standins.engines.values(), ...standins.services.values()];
    const received = servers.flatMap(server => server.received);
    const leaks = received.filter(request => keys.some(key => JSON.stringify(request).includes(key))).length;
    report.recordCheck(
        `${received.length} requests reached backend servers, ${leaks} of them with a caller's key`,
        leaks === 0,
    );
}
