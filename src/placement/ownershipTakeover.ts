/**
 * First step of a new owner: it asks the other instances which loads they use and which evictions they know of.
 *
 * @packageDocumentation
 */
import type { InstanceId, Milliseconds } from "../shared/index.js";
import type { EngineOwnerContext } from "./engineOwnerTypes.js";
import { countTakeoverQuorum } from "./evictionIntents.js";
import type { LoadName } from "./messages.js";
import type { MessageOf } from "./useLeases.js";

/** Next step of a takeover. */
export type TakeoverStep =
    | { readonly kind: "ask"; readonly instances: readonly InstanceId[]; }
    | { readonly kind: "wait"; }
    /**
     * The takeover is complete. `mayUseInherited` says whether loads found on the engine may stay in use; otherwise all
     * of them are evicted.
     */
    | { readonly kind: "done"; readonly mayUseInherited: boolean; };

/** Progress of a takeover. */
export interface Takeover {
    /** Decides on the next step. The takeover completes only when there is a report of the engine. */
    readonly advance: (hasReport: boolean, now: Milliseconds) => TakeoverStep;
    readonly isDone: () => boolean;
    /** Adds an answer; returns `false` if the instance has answered before. */
    readonly addAnswer: (from: InstanceId, answer: MessageOf<"collected">) => boolean;
    /** Whether any answer names an eviction of the load. */
    readonly isRetired: (name: LoadName) => boolean;
    /** Instances that answered that they may use the load. */
    readonly listHolders: (name: LoadName) => readonly InstanceId[];
    /** Instances that have not answered, and until when each of them may still use loads from before the takeover. */
    readonly listSilentInstances: (now: Milliseconds) => ReadonlyMap<InstanceId, Milliseconds>;
    /** Removes an instance that has ended its requests; its answer is no longer needed. */
    readonly removeInstance: (instance: InstanceId) => void;
}

/**
 * Placeholder for instances that the owner can't name: without a quorum it may not know of all that used the engine.
 */
const unknownInstance = "unknown";

/**
 * Starts a takeover.
 *
 * @param context - context of the owner
 * @returns a takeover without answers
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
            return { kind: "done", mayUseInherited };
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
