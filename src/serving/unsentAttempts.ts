/**
 * Keeps the attempts that wait for a connection to a server, so that they end when there will be none.
 *
 * @packageDocumentation
 */
import { callGuarded } from "../supervision/index.js";
import type { AttemptFault } from "./serverConnections.js";
import type { ServerRunId } from "./types.js";

/** Attempts that wait for a connection, by the run of their server. */
export interface UnsentAttempts {
    readonly add: (run: ServerRunId, end: AttemptEnder) => void;
    readonly remove: (run: ServerRunId, end: AttemptEnder) => void;
    /** Ends all attempts of a run. */
    readonly end: (run: ServerRunId, fault: AttemptFault) => void;
}

/** Ends an attempt of which no byte was sent. */
export type AttemptEnder = (fault: AttemptFault) => void;

/**
 * Creates the table without attempts.
 *
 * @returns the table, of which a set of connections needs one
 */
export function createUnsentAttempts(): UnsentAttempts {
    const waiting = new Map<ServerRunId, Set<AttemptEnder>>();
    return {
        add: (run, end) => {
            const ofRun = waiting.get(run) ?? new Set();
            waiting.set(run, ofRun.add(end));
        },
        remove: (run, end) => {
            const ofRun = waiting.get(run);
            ofRun?.delete(end);
            if (ofRun?.size === 0) {
                waiting.delete(run);
            }
        },
        end: (run, fault) => {
            const ofRun = [...waiting.get(run) ?? []];
            waiting.delete(run);
            ofRun.forEach(end => callGuarded("end of an unsent attempt", () => end(fault)));
        },
    };
}
