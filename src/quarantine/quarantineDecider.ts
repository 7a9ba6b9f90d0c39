/**
 * Decides for all instances which prompts are quarantined. The instance that holds a certain shard does so from the
 * reports of all; its decisions go through the platform's store, so that they outlast it.
 *
 * @packageDocumentation
 */
import { createLogger, type Milliseconds } from "../shared/index.js";
import { createCrashEvidence } from "./crashEvidence.js";
import type { PromptReport } from "./messages.js";
import { computeQuarantineDuration, encodeQuarantine, type QuarantineList } from "./quarantineList.js";
import { formatScopeKey, type PromptScope, type PromptScopeKey, type Quarantine } from "./types.js";

/** Dependencies of the decider. */
export interface QuarantineDeciderOptions {
    /** Quarantines in force, as read from the store. */
    readonly list: QuarantineList;
    /** Writes a record, or deletes it where the value is `undefined`; resolves with whether that was done. */
    readonly publish: (key: PromptScopeKey, value: Uint8Array | undefined) => Promise<boolean>;
    readonly now: () => Milliseconds;
}

/** Decider on quarantines. */
export interface QuarantineDecider {
    /** Takes the report of an instance, and returns the scopes of which answers are to be reported. */
    readonly receiveReport: (report: PromptReport, now: Milliseconds) => readonly PromptScope[];
    /** Grants one request of a scope whose quarantine has lasted its time. */
    readonly grantTrial: (scope: PromptScope, now: Milliseconds) => Promise<boolean>;
    /** Quarantines what the evidence blames, and ends quarantines that it clears; call it regularly. */
    readonly update: (now: Milliseconds) => Promise<void>;
}

/** Quarantines at the same time; beyond it nothing more is quarantined, so that the list can't grow without end. */
const maximumQuarantines = 500;
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
    const clearedFrom = new Map<PromptScopeKey, Milliseconds>();
    const widened = new Map<PromptScopeKey, PromptScope>();
    let isUpdating = false;
    const write = async (quarantine: Quarantine): Promise<boolean> => {
        const key = formatScopeKey(quarantine);
        const value = encodeQuarantine(quarantine);
        const isWritten = await options.publish(key, value);
        if (isWritten) {
            list.apply({ key, value }, options.now());
        }
        else {
            log.warn("quarantine not written, it is tried again", { ...quarantine });
        }
        return isWritten;
    };
    const isCleared = (quarantine: PromptScope & { readonly seenAt: Milliseconds; }): boolean => {
        const from = clearedFrom.get(formatScopeKey(quarantine)) ?? quarantine.seenAt;
        return (evidence.findSoundAt(quarantine) ?? Number.NEGATIVE_INFINITY) > from;
    };
    const endQuarantine = async (scope: PromptScope): Promise<void> => {
        const key = formatScopeKey(scope);
        if (await options.publish(key, undefined)) {
            list.apply({ key, value: undefined }, options.now());
            clearedFrom.delete(key);
            evidence.removeExplanation(scope);
            log.info("quarantine lifted: a prompt with the part was answered", { ...scope });
        }
    };
    const start = async (scope: PromptScope, firstAt: Milliseconds, crashes: number): Promise<void> => {
        const { part, account } = scope;
        if (!list.find(scope)) {
            if (list.list().length >= maximumQuarantines) {
                log.warn("prompt not quarantined, as too many are", { part, account, maximumQuarantines });
                return;
            }
            clearedFrom.set(formatScopeKey(scope), firstAt);
            if (!await write({ part, account, trials: 0 })) {
                return;
            }
            log.warn("prompt quarantined: servers ended when they began to answer it", { part, account, crashes });
        }
        evidence.addExplanation(scope);
    };
    // one more account whose request ended a server is enough where another one's prompts are quarantined already
    const addWiderScopes = (shared: readonly string[], account: string | undefined): void => {
        for (const known of list.list()) {
            const isOther = known.account !== undefined && known.account !== account && shared.includes(known.part);
            const scope = { part: known.part, account: undefined };
            if (isOther && !list.find(scope) && !isCleared({ ...scope, seenAt: known.seenAt })) {
                widened.set(formatScopeKey(scope), scope);
            }
        }
    };
    const updateOnce = async (now: Milliseconds): Promise<void> => {
        for (const quarantine of list.list().filter(isCleared)) {
            await endQuarantine(quarantine);
        }
        for (const [key, scope] of [...widened]) {
            widened.delete(key);
            await start(scope, now, 1);
        }
        const blamed = evidence.findBlamed(now);
        if (blamed) {
            await start({ part: blamed.part, account: blamed.account }, blamed.firstAt, blamed.crashes);
        }
    };
    return {
        receiveReport: (report, now) => {
            for (const { account, age, shared } of report.answers) {
                evidence.addAnswer({ account, shared, beganAt: now - age });
            }
            for (const { scope, age } of report.sound) {
                evidence.addSoundScope({ part: scope.part, account: scope.account }, now - age);
            }
            for (const { run, age, requests } of report.breaks) {
                const broken = requests.map(({ account, own, shared }) => ({ account, own, shared }));
                evidence.addBreak({ run, at: now - age, requests: broken });
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
            if (known.seenAt + computeQuarantineDuration(known.trials) > now) {
                return false;
            }
            const { part, account, trials } = known;
            const isGranted = await write({ part, account, trials: trials + 1 });
            log.info("trial of a quarantined prompt", { part, account, trials, isGranted });
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
