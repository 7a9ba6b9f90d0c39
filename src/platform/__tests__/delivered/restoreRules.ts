/**
 * Judges plays in which the store comes back from an older copy, by what clients and engines have seen alone.
 */
import type { RecordedOrder } from "./fencedEngines.js";
import type { Disturbance, Probe, RestoreRecord } from "./restorePlay.js";

/** `config_ms` and the most by which an unstable core stretches it, `outer_ms`. */
const configurationBoundMilliseconds = 2_000 + 5_000;
/** `revoke_ms` */
const revocationBoundMilliseconds = 5_000;
/** A machine is in touch after `stable_window_ms`, and `config_ms` later the version is due there. */
const inTouchMilliseconds = 3_000 + 2_000;
/** `rollback_slack_ms`, eight times as long at a machine that has just been slowed */
const rollbackSlackMilliseconds = 250;
const slowedRollbackSlackMilliseconds = 8 * rollbackSlackMilliseconds;
/** `thaw_ms` */
const thawMilliseconds = 300;
/** Time after the last disturbance from which requests are to be served. */
const recoveryMilliseconds = 8_000;
const servedRatio = 0.95;
const acceptedStatuses: readonly number[] = [200, 202];

/**
 * Finds orders of two holders with one fencing number, or with a lower one after a higher one, that an engine accepted.
 *
 * @param record - what was seen
 * @returns a line for each
 */
export function findSharedNumbers({ orders, disturbances, beganAt }: RestoreRecord): readonly string[] {
    const found: string[] = [];
    const holders = new Map<string, RecordedOrder>();
    const highest = new Map<string, RecordedOrder>();
    const counted = orders.filter(order => acceptedStatuses.includes(order.status) && !isThawed(order, disturbances));
    for (const order of counted) {
        const key = `${order.server} ${order.fencingNumber}`;
        const first = holders.get(key);
        holders.set(key, first ?? order);
        if (first && first.holder !== order.holder) {
            found.push(`${describe(first)}, then ${describe(order)}`);
        }
        const before = highest.get(order.server);
        if (before && before.fencingNumber > order.fencingNumber) {
            found.push(`lower: ${describe(before)}, then ${describe(order)}`);
            continue;
        }
        highest.set(order.server, order);
    }
    return found;

    function describe({ server, holder, fencingNumber, at }: RecordedOrder): string {
        return `${server} took ${fencingNumber} of ${holder} at ${Math.round(at - beganAt)}`;
    }
}

// sent before its sender was frozen or cut off
function isThawed({ holder, at }: RecordedOrder, disturbances: readonly Disturbance[]): boolean {
    return disturbances.some(({ machine, kind, to }) =>
        machine === holder && kind !== "start" && at >= to && at < to + thawMilliseconds
    );
}

/**
 * Finds requests to machines in touch that were handled as only an older version allows, though the store has held a newer
 * one for as long as it may take.
 *
 * @param record - what was seen
 * @returns a line for each
 */
export function findOutdatedAnswers(record: RestoreRecord): readonly string[] {
    return record.probes.filter(isOutdated).map(probe => describeProbe(probe, record));

    function isOutdated(probe: Probe): boolean {
        const { version, sentAt, endedAt, status } = probe;
        const due = findDueVersion(sentAt, record);
        if (due === undefined || !isInTouch(probe, record) || !isOfVersion(probe)) {
            return false;
        }
        const isNewest = !record.writes.some(written => written.version > version && written.at <= endedAt);
        return version < due ? status === 200 : version === due && isNewest && isRefusal(status);
    }
}

/**
 * Finds requests that show that a machine went back to an older version than one that it had served before.
 *
 * @param record - what was seen
 * @returns a line for each
 */
export function findStepsBack(record: RestoreRecord): readonly string[] {
    const served = record.probes.filter(probe => isOfVersion(probe) && probe.status === 200);
    return record.probes.filter(isOfVersion).flatMap(probe => {
        const slack = measureSlack(probe, record);
        const before = served.find(other =>
            other.machine === probe.machine && other.incarnation === probe.incarnation &&
            other.endedAt < probe.sentAt - slack && isBehind(probe, other.version, record)
        );
        return before ? [`${describeProbe(before, record)}, then ${describeProbe(probe, record)}`] : [];
    });
}

// whether only a version below `version` allows what became of a request
function isBehind(probe: Probe, version: number, { writes }: RestoreRecord): boolean {
    if (probe.version !== version) {
        return probe.version < version && probe.status === 200;
    }
    const hasNewer = writes.some(written => written.version > version && written.at <= probe.endedAt);
    return isRefusal(probe.status) && !hasNewer;
}

function measureSlack({ machine, sentAt }: Probe, { disturbances }: RestoreRecord): number {
    const wasSlowed = disturbances.some(disturbance =>
        disturbance.machine === machine && disturbance.kind === "freeze" &&
        disturbance.from <= sentAt && sentAt < disturbance.to + inTouchMilliseconds
    );
    return wasSlowed ? slowedRollbackSlackMilliseconds : rollbackSlackMilliseconds;
}

/**
 * Finds requests with a withdrawn key that ran, at any machine.
 *
 * @param record - what was seen
 * @returns a line for each
 */
export function findWithdrawnKeys(record: RestoreRecord): readonly string[] {
    return record.probes.filter(({ id, kind, version, sentAt, status }) => {
        const withdrawn = record.writes.find(written => written.version > version);
        return kind === "key" && withdrawn !== undefined && sentAt > withdrawn.at + revocationBoundMilliseconds &&
            (status === 200 || record.runs.has(id));
    }).map(probe => describeProbe(probe, record));
}

/** Requests of calm spells, by their kind. */
export interface CalmService {
    readonly kind: "order" | "draft";
    readonly sent: number;
    readonly served: number;
    /** A line for each of the others, with what the machines wrote of it. */
    readonly failed: readonly string[];
    readonly isBack: boolean;
}

/**
 * Counts what was served in calm spells.
 *
 * @param record - what was seen
 * @returns the counts of requests and of streams
 */
export function countCalmService(record: RestoreRecord): readonly CalmService[] {
    const { probes, disturbances } = record;
    const isCalm = ({ sentAt, endedAt }: Probe): boolean =>
        disturbances.some(({ to }) => to + recoveryMilliseconds <= sentAt) &&
        !disturbances.some(({ from, to }) => from <= endedAt && sentAt < to + recoveryMilliseconds);
    return (["order", "draft"] as const).map(kind => {
        const sent = probes.filter(probe => probe.kind === kind && isCalm(probe));
        const served = sent.filter(({ status }) => status === 200).length;
        const failed = sent.filter(({ status }) => status !== 200)
            .map(probe => `${describeProbe(probe, record)}, ${findLines(probe, record)}`);
        return {
            kind,
            sent: sent.length,
            served,
            failed,
            isBack: sent.length > 0 && served >= sent.length * servedRatio,
        };
    });
}

function isOfVersion({ kind }: Probe): boolean {
    return kind === "route" || kind === "key";
}

function isRefusal(status: number | undefined): boolean {
    return status === 401 || status === 403 || status === 404;
}

// the least that the store has held for the whole bound; `undefined` where it was away meanwhile
function findDueVersion(sentAt: number, { held }: RestoreRecord): number | undefined {
    const since = sentAt - configurationBoundMilliseconds;
    const states = held.filter(({ at }, index) => at <= sentAt && (held[index + 1]?.at ?? sentAt) >= since);
    const versions = states.map(({ version }) => version);
    return states[0] !== undefined && states[0].at <= since && !versions.includes(undefined)
        ? Math.min(...versions.map(version => version!))
        : undefined;
}

function isInTouch({ machine, sentAt, endedAt }: Probe, { disturbances }: RestoreRecord): boolean {
    return !disturbances.some(disturbance =>
        disturbance.machine === machine && disturbance.from <= endedAt && disturbance.to > sentAt - inTouchMilliseconds
    );
}

function findLines({ id }: Probe, { output }: RestoreRecord): string {
    return output.split("\n").filter(line => line.includes(`"${id}"`)).join(" ");
}

function describeProbe(probe: Probe, { beganAt, writes }: RestoreRecord): string {
    const { id, kind, version, machine, incarnation, sentAt, status } = probe;
    const newest = writes.filter(({ at }) => at <= sentAt).map(written => written.version);
    return `${id} ${kind} of version ${version} (newest ${Math.max(...newest)}) at ${machine}, start ${incarnation}, ` +
        `sent at ${Math.round(sentAt - beganAt)}: ${status ?? "no answer"}`;
}
