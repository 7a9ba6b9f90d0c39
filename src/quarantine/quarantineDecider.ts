/**
 * Decides for all instances which requests are quarantined. The instance that holds a certain shard does so from the
 * reports of all; its decisions go through the platform's store, so that they outlast it.
 *
 * @packageDocumentation
 */
import { createLogger, type Milliseconds } from "../shared/index.js";
import { type CrashEvidence, createCrashEvidence, evidenceLifetimeMilliseconds } from "./crashEvidence.js";
import type { CrashReport } from "./messages.js";
import { encodeQuarantine, type KnownQuarantine, measureRemaining, type QuarantineList } from "./quarantineList.js";
import { formatScopeKey, type PartScope, type Quarantine, type QuarantineScope, type ScopeKey } from "./types.js";

/** Dependencies of the decider. */
export interface QuarantineDeciderOptions {
    /** Quarantines in force, as read from the store. */
    readonly list: QuarantineList;
    /** Writes a record, or deletes it where the value is `undefined`; resolves with whether that was done. */
    readonly publish: (key: ScopeKey, value: Uint8Array | undefined) => Promise<boolean>;
    readonly now: () => Milliseconds;
}

/** Decider on quarantines. */
export interface QuarantineDecider {
    /** Takes the report of an instance, and returns the scopes of which answers are to be reported. */
    readonly receiveReport: (report: CrashReport, now: Milliseconds) => readonly QuarantineScope[];
    /** Grants one request of a scope whose quarantine has lasted its time. */
    readonly grantTrial: (scope: QuarantineScope, now: Milliseconds) => Promise<boolean>;
    /** Quarantines what the evidence blames, and ends quarantines that it clears; call it regularly. */
    readonly update: (now: Milliseconds) => Promise<void>;
}

/** Quarantines at the same time; beyond it nothing more is quarantined, so that the list can't grow without end. */
const maximumQuarantines = 500;
/** Quarantines of one account; its oldest ends for a new one, so that it can't use up the list for the others. */
const maximumQuarantinesPerAccount = 50;
const maximumSuspects = 64;
const log = createLogger("quarantine");

/**
 * Creates the decider without evidence.
 *
 * @param options - list of quarantines and the store
 * @returns the decider, of which an instance needs one object
 */
export function createQuarantineDecider(options: QuarantineDeciderOptions): QuarantineDecider {
    const { list } = options;
    const evidence = createCrashEvidence();
    // times from which on an answer clears a quarantine that this instance has decided
    const clearedFrom = new Map<ScopeKey, Milliseconds>();
    const widened = new Map<ScopeKey, PartScope>();
    const explained = new Map<ScopeKey, QuarantineScope>();
    let isUpdating = false;
    // records may be written and deleted by another instance that decides, or deleted by hand
    const updateExplanations = (): void => {
        for (const [key, scope] of [...explained].filter(([, each]) => !list.find(each))) {
            explained.delete(key);
            evidence.removeExplanation(scope);
        }
        for (const known of list.list().filter(each => !explained.has(formatScopeKey(each)))) {
            explained.set(formatScopeKey(known), known);
            evidence.addExplanation(known, known.crashes ?? Number.POSITIVE_INFINITY);
        }
    };
    const applyOwn = (key: ScopeKey, value: Uint8Array | undefined): void => {
        list.apply({ key, value }, options.now());
        updateExplanations();
    };
    const write = async (quarantine: Quarantine): Promise<boolean> => {
        const key = formatScopeKey(quarantine);
        const value = encodeQuarantine(quarantine);
        const isWritten = await options.publish(key, value);
        if (isWritten) {
            applyOwn(key, value);
        }
        else {
            log.warn("quarantine not written, it is tried again", { ...quarantine });
        }
        return isWritten;
    };
    // a request ends each server or none, so that an answer from before its first ends speaks for it too
    const findClearedFrom = (scope: QuarantineScope, firstAt: Milliseconds): Milliseconds =>
        scope.kind === "request" ? firstAt - evidenceLifetimeMilliseconds : firstAt;
    const isCleared = (quarantine: QuarantineScope & { readonly seenAt: Milliseconds; }): boolean =>
        evidence.findSoundAt(quarantine) >
            (clearedFrom.get(formatScopeKey(quarantine)) ?? findClearedFrom(quarantine, quarantine.seenAt));
    const endQuarantine = async (scope: QuarantineScope, reason: string): Promise<void> => {
        const key = formatScopeKey(scope);
        if (await options.publish(key, undefined)) {
            applyOwn(key, undefined);
            clearedFrom.delete(key);
            log.info("quarantine lifted", { ...scope, reason });
        }
    };
    const makeRoom = async ({ account }: QuarantineScope): Promise<void> => {
        const own: readonly KnownQuarantine[] = list.list().filter(known => known.account === account);
        const [oldest] = [...own].sort((left, right) => left.seenAt - right.seenAt);
        if (account !== undefined && oldest && own.length >= maximumQuarantinesPerAccount) {
            await endQuarantine(oldest, "its account has too many of them");
        }
    };
    // once a request has been tried, what its trials show decides
    const endOutweighed = async (now: Milliseconds): Promise<void> => {
        let isOutweighed: ReturnType<CrashEvidence["createWeighing"]> | undefined;
        for (const quarantine of list.list()) {
            if (quarantine.kind !== "request" || quarantine.trials > 0) {
                continue;
            }
            isOutweighed ??= evidence.createWeighing(now);
            if (isOutweighed(quarantine)) {
                await endQuarantine(quarantine, "other requests explain the ends of servers under it");
                isOutweighed = undefined;
            }
        }
    };
    const start = async (scope: QuarantineScope, firstAt: Milliseconds, crashes: number): Promise<void> => {
        if (!list.find(scope)) {
            await makeRoom(scope);
            if (list.list().length >= maximumQuarantines) {
                log.warn("request not quarantined, as too many are", { ...scope, maximumQuarantines });
                return;
            }
            clearedFrom.set(formatScopeKey(scope), findClearedFrom(scope, firstAt));
            if (await write({ ...scope, trials: 0, crashes })) {
                log.warn("request quarantined: servers ended when they began to run it", { ...scope, crashes });
            }
        }
    };
    // one more account whose request ended a server is enough where another one's prompts are quarantined already
    const addWiderScopes = (shared: readonly string[], account: string | undefined): void => {
        for (const known of list.list()) {
            if (known.kind === "request" || known.account === undefined || known.account === account) {
                continue;
            }
            const scope: PartScope = { kind: "part", part: known.part, account: undefined };
            if (shared.includes(known.part) && !list.find(scope) && !isCleared({ ...scope, seenAt: known.seenAt })) {
                widened.set(formatScopeKey(scope), scope);
            }
        }
    };
    const updateOnce = async (now: Milliseconds): Promise<void> => {
        updateExplanations();
        for (const quarantine of list.list().filter(isCleared)) {
            await endQuarantine(quarantine, "a request of its scope was answered");
        }
        await endOutweighed(now);
        for (const [key, scope] of [...widened]) {
            widened.delete(key);
            await start(scope, now, 1);
        }
        for (const { scope, firstAt, crashes } of evidence.listBlamed(now)) {
            await start(scope, firstAt, crashes);
        }
    };
    return {
        receiveReport: (report, now) => {
            for (const { account, digest, age, shared } of report.answers) {
                evidence.addAnswer({ account, digest, shared, beganAt: now - age });
            }
            report.sound.forEach(({ scope, age }) => evidence.addSoundScope(scope, now - age));
            for (const { run, service, age, requests } of report.breaks) {
                const broken = requests.map(({ account, ...rest }) => ({ ...rest, account }));
                evidence.addBreak({ run, service, at: now - age, requests: broken });
                broken.forEach(request => addWiderScopes(request.shared, request.account));
            }
            report.alive.forEach(evidence.removeRun);
            return evidence.listSuspects(now).slice(0, maximumSuspects);
        },
        grantTrial: async (scope, now) => {
            const known = list.find(scope);
            if (!known) {
                return true;
            }
            if (measureRemaining(known, now) > 0) {
                return false;
            }
            const isGranted = await write({ ...scope, trials: known.trials + 1, crashes: known.crashes });
            log.info("trial of a quarantined request", { ...scope, trials: known.trials, isGranted });
            return isGranted;
        },
        update: async now => {
            if (isUpdating) {
                return;
            }
            isUpdating = true;
            try {
                await updateOnce(now);
            }
            finally {
                isUpdating = false;
            }
        },
    };
}
