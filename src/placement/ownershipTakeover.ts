/**
 * A new owner's first step: it learns from the members what is in use and what is being evicted.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { EngineOwnerContext } from "./engineOwnerTypes.js";
import { countTakeoverQuorum } from "./evictionIntents.js";
import type { LoadName } from "./messages.js";
import type { MessageOf } from "./useLeases.js";

/** What a new owner does next. */
export type TakeoverStep =
    | { readonly kind: "ask"; readonly instances: readonly InstanceId[]; }
    | { readonly kind: "wait"; }
    /** All that can be learned has been; `keepInherited` says whether loads found on the engine may be used. */
    | { readonly kind: "done"; readonly mayUseInherited: boolean; };

/** State of taking over. */
export interface Takeover {
    readonly advance: (hasReport: boolean, now: Milliseconds) => TakeoverStep;
    readonly isDone: () => boolean;
    /** Adds an answer; `false` for a repeated one. */
    readonly addAnswer: (from: InstanceId, answer: MessageOf<"collected">) => boolean;
    readonly isRetired: (name: LoadName) => boolean;
    /** Instances that said that they hold the load. */
    readonly listHolders: (name: LoadName) => readonly InstanceId[];
    /** Instances that have not answered, and until when they may still use what was there before. */
    readonly listSilentInstances: (now: Milliseconds) => ReadonlyMap<InstanceId, Milliseconds>;
    readonly removeInstance: (instance: InstanceId) => void;
}

/** Stands for instances that nobody here has known. */
const unknownInstance = "unknown";

/**
 * Starts taking over.
 *
 * @param context - the owner's context
 * @returns a state that nobody has answered
 */
export function createTakeover(context: EngineOwnerContext): Takeover {
    const { times } = context;
    const answers = new Map<InstanceId, MessageOf<"collected">>();
    const left = new Set<InstanceId>();
    let startedAt: Milliseconds | undefined;
    let askedAt = Number.NEGATIVE_INFINITY;
    let mayUseInherited: boolean | undefined;

    const listUnansweredInstances = (now: Milliseconds): readonly InstanceId[] => {
        const named = [...answers.values()].flatMap(answer => answer.participants);
        const all = new Set([...context.listMembers(), ...context.listParticipants(now), ...named]);
        return [...all].filter(instance => !answers.has(instance) && !left.has(instance));
    };
    const hasQuorum = (): boolean => {
        const members = context.listMembers();
        const witnesses = members.filter(member => answers.get(member)?.knewOwner === true).length;
        return members.length > 0 && witnesses >= countTakeoverQuorum(members.length);
    };
    const advance = (hasReport: boolean, now: Milliseconds): TakeoverStep => {
        startedAt ??= now;
        const waited = now - startedAt;
        const silent = listUnansweredInstances(now);
        const hasHeardEnough = silent.length === 0 ||
            (hasQuorum() ? waited >= times.collectTimeout : waited >= times.quorumTimeout);
        if (hasReport && hasHeardEnough) {
            mayUseInherited = hasQuorum();
            return { kind: "done", mayUseInherited: mayUseInherited };
        }
        if (silent.length > 0 && now - askedAt >= times.retryInterval) {
            askedAt = now;
            return { kind: "ask", instances: silent };
        }
        return { kind: "wait" };
    };
    return {
        advance,
        isDone: () => mayUseInherited !== undefined,
        addAnswer: (from, answer) => {
            const isNew = !answers.has(from);
            answers.set(from, answer);
            return isNew;
        },
        isRetired: name => [...answers.values()].some(answer => answer.retired.includes(name)),
        listHolders: name => [...answers].flatMap(([instance, answer]) => answer.held.includes(name) ? [instance] : []),
        listSilentInstances: now => {
            const until = (startedAt ?? now) + times.leaseDuration + times.maximumRequestDuration;
            if (now >= until) {
                return new Map();
            }
            const silent = listUnansweredInstances(startedAt ?? now);
            const names = mayUseInherited === false ? [...silent, unknownInstance] : silent;
            return new Map(names.map(instance => [instance, until]));
        },
        removeInstance: instance => {
            left.add(instance);
        },
    };
}
