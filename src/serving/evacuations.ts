/**
 * Evacuations of failure domains: while one is in force, nothing more is sent to the servers of the domain.
 *
 * @packageDocumentation
 */
import { createLogger, type FailureDomainId, type Milliseconds, type WriteLogLine } from "../shared/index.js";
import { promiseBoundMilliseconds } from "./readTiming.js";
import type { ServerList } from "./serverList.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "./types.js";

/** What a read of the operators' topic says of evacuations. */
export type EvacuationEvent =
    | { readonly kind: "record"; readonly domain: FailureDomainId; readonly isRequested: boolean; }
    /**
     * All evacuations that are requested; those that are missing are withdrawn, but not those whose record can't be read, which
     * stay as they are.
     */
    | {
        readonly kind: "snapshot";
        readonly requested: readonly FailureDomainId[];
        readonly unreadable: readonly FailureDomainId[];
    };

/** What an event changes. */
export interface EvacuationChange {
    /** Failure domains that are evacuated from now on. */
    readonly inForce: ReadonlySet<FailureDomainId>;
    readonly begun: readonly FailureDomainId[];
    readonly ended: readonly FailureDomainId[];
}

/** Options of the evacuations. */
export interface EvacuationsOptions {
    readonly servers: Pick<ServerList, "setEvacuated" | "listAll">;
    /** Time after which an evacuation must be followed. @default 5000 */
    readonly bound?: Milliseconds | undefined;
    /** Called after a change with the runs to which nothing more is sent. */
    readonly onChange: (evacuated: readonly ServerRunId[]) => void;
    /** Writes one line of the log. @default that of the instance */
    readonly writeLine?: WriteLogLine;
}

/** Evacuations that this instance knows. */
export interface Evacuations {
    readonly handle: (event: EvacuationEvent) => void;
    /** Numbers of evacuated failure domains and of their servers. */
    readonly readCounts: () => { readonly domains: number; readonly servers: number; };
}

/** As `ServingOptions` says. */
const defaultBoundMilliseconds: Milliseconds = 5_000;
const log = createLogger("serving");

/**
 * Decides which failure domains are evacuated.
 *
 * @param inForce - those that are evacuated so far
 * @param event - what was read
 * @returns those that are evacuated from now on, and what has changed
 */
export function applyEvacuation(inForce: ReadonlySet<FailureDomainId>, event: EvacuationEvent): EvacuationChange {
    const next = new Set(inForce);
    if (event.kind === "snapshot") {
        next.clear();
        event.requested.forEach(domain => next.add(domain));
        event.unreadable.filter(domain => inForce.has(domain)).forEach(domain => next.add(domain));
    }
    else if (event.isRequested) {
        next.add(event.domain);
    }
    else {
        next.delete(event.domain);
    }
    return {
        inForce: next,
        begun: [...next].filter(domain => !inForce.has(domain)),
        ended: [...inForce].filter(domain => !next.has(domain)),
    };
}

/**
 * Creates the evacuations of an instance that knows of none.
 *
 * @param options - list of servers, and who is told
 * @returns the evacuations, of which an instance needs one object
 */
export function createEvacuations(options: EvacuationsOptions): Evacuations {
    const { servers, bound = defaultBoundMilliseconds, writeLine = log.info } = options;
    // the reads of the operators' topic may take longer than a shorter bound
    const longest = promiseBoundMilliseconds.configuration;
    if (bound < longest) {
        writeLine("bound on evacuations can't be kept", { bound, longest });
    }
    let inForce: ReadonlySet<FailureDomainId> = new Set();
    const listServers = (domains: ReadonlySet<FailureDomainId>): readonly BackendServer[] =>
        servers.listAll().filter(({ failureDomain }) => domains.has(failureDomain));
    return {
        handle: event => {
            const change = applyEvacuation(inForce, event);
            if (change.begun.length + change.ended.length === 0) {
                return;
            }
            inForce = change.inForce;
            servers.setEvacuated(inForce);
            const countServers = (domain: FailureDomainId): number => listServers(new Set([domain])).length;
            change.begun.forEach(domain => writeLine("evacuation begins", { domain, servers: countServers(domain) }));
            change.ended.forEach(domain => writeLine("evacuation ends", { domain, servers: countServers(domain) }));
            options.onChange(listServers(new Set(change.begun)).map(formatServerRunId));
        },
        readCounts: () => ({ domains: inForce.size, servers: listServers(inForce).length }),
    };
}
