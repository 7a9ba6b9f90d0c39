/**
 * What the stand-ins themselves recorded, compared with what is promised.
 *
 * @packageDocumentation
 */
import type { Standins } from "../standins/index.js";
import type { DemoReport } from "./account.js";

/**
 * Checks the records of the backend servers.
 *
 * @param standins - the local platform
 * @param keys - callers' keys, which no backend server may have seen
 * @param report - takes the findings
 */
export function checkBackendRecords(standins: Standins, keys: readonly string[], report: DemoReport): void {
    const records = [...standins.engines.values()].map(engine => engine.model.record);
    const starts = records.flatMap(record => record.starts);
    const wrongStarts = starts.filter(start => start.asked !== start.ranOn).length;
    const wrongTokens = records.flatMap(record => record.wrongTokens).length;
    report.recordCheck(
        `${starts.length} requests ran at engines, ${wrongStarts + wrongTokens} on another adapter or version`,
        wrongStarts + wrongTokens === 0,
    );
    const evictions = records.flatMap(record => record.evictions);
    const inUse = evictions.filter(eviction => eviction.uses > 0).length;
    report.recordCheck(`${evictions.length} adapters were evicted, ${inUse} of them in use`, inUse === 0);
    const servers = [...standins.engines.values(), ...standins.services.values()];
    const received = servers.flatMap(server => server.received);
    const leaks = received.filter(request => keys.some(key => JSON.stringify(request).includes(key))).length;
    report.recordCheck(
        `${received.length} calls reached backend servers, ${leaks} of them with a caller's key`,
        leaks === 0,
    );
}
