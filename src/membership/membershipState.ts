/**
 * Instances and backend servers that this instance knows of: the platform's instance list, corrected by the states that
 * other instances report in their heartbeats.
 *
 * @packageDocumentation
 */
import type { ListedBackendServer, ListedInstance, ListedState, Listing } from "../backends/index.js";
import { compareText, type InstanceId, type Milliseconds } from "../shared/index.js";
import type { MembershipSnapshot } from "./types.js";

/** State that an instance reported in its latest heartbeat. */
export interface ReportedState {
    readonly state: ListedState;
    readonly at: Milliseconds;
}

/** Inputs of the membership snapshot, and the snapshot computed from them. */
export interface MembershipState {
    readonly self: ListedInstance;
    /** Latest response of the instance list; `undefined` before the first. */
    readonly listing: Listing | undefined;
    /** Whether this instance has begun to leave. */
    readonly leaving: boolean;
    readonly reportedStates: ReadonlyMap<InstanceId, ReportedState>;
    readonly snapshot: MembershipSnapshot;
}

/** Time after which a reported state is ignored. */
export const reportedStateLifetimeMilliseconds = 3_000;

/**
 * Creates the state before the first response of the instance list.
 *
 * @param self - this instance
 * @returns a state whose snapshot contains this instance only
 */
export function createMembershipState(self: ListedInstance): MembershipState {
    const snapshot: MembershipSnapshot = { revision: 0, instances: [self], backendServers: [] };
    return { self, listing: undefined, leaving: false, reportedStates: new Map(), snapshot };
}

/** An input that can change the membership snapshot. */
export type MembershipStateEvent =
    | { readonly kind: "listed"; readonly listing: Listing; }
    | { readonly kind: "heard"; readonly instance: InstanceId; readonly state: ListedState; }
    | { readonly kind: "selfLeaving"; };

/**
 * Applies an event to the state.
 *
 * @param state - state before the event
 * @param event - response of the instance list, reported state of another instance, or the start of this one's leave
 * @param now - current monotonic time
 * @returns new state; its snapshot is the same object if no entry changed
 */
export function advanceMembershipState(
    state: MembershipState,
    event: MembershipStateEvent,
    now: Milliseconds,
): MembershipState {
    switch (event.kind) {
        case "listed":
            return updateSnapshot({ ...state, listing: sortListing(event.listing) }, now);
        case "heard": {
            const previousReport = state.reportedStates.get(event.instance);
            const reportedStates = new Map(state.reportedStates).set(event.instance, { state: event.state, at: now });
            const next = { ...state, reportedStates };
            return previousReport?.state === event.state ? next : updateSnapshot(next, now);
        }
        case "selfLeaving":
            return updateSnapshot({ ...state, leaving: true }, now);
    }
}

function updateSnapshot(state: MembershipState, now: Milliseconds): MembershipState {
    const instances = listInstances(state, now);
    const backendServers = state.listing?.backendServers ?? [];
    const { snapshot } = state;
    if (isSameList(snapshot.instances, instances) && isSameList(snapshot.backendServers, backendServers)) {
        return state;
    }
    return { ...state, snapshot: { revision: snapshot.revision + 1, instances, backendServers } };
}

function listInstances(state: MembershipState, now: Milliseconds): readonly ListedInstance[] {
    const others = (state.listing?.instances ?? []).filter(entry => entry.id !== state.self.id);
    const self: ListedInstance = { ...state.self, state: state.leaving ? "leaving" : "live" };
    const corrected = others.map(entry => {
        const report = state.reportedStates.get(entry.id);
        // the instance list lags and an instance never stops leaving, so its own report overrides a listed "live"
        const leaving = report?.state === "leaving" && now - report.at < reportedStateLifetimeMilliseconds;
        return leaving ? { ...entry, state: "leaving" as const } : entry;
    });
    return [...corrected, self].sort((left, right) => compareText(left.id, right.id));
}

function sortListing(listing: Listing): Listing {
    const backendServers = [...listing.backendServers].sort((left, right) => compareText(left.id, right.id));
    return { instances: listing.instances, backendServers };
}

type ListedEntry = ListedInstance | ListedBackendServer;

function isSameList(left: readonly ListedEntry[], right: readonly ListedEntry[]): boolean {
    return left.length === right.length && left.every((entry, index) => isSameEntry(entry, right[index]!));
}

function isSameEntry(left: ListedEntry, right: ListedEntry): boolean {
    return left === right || JSON.stringify(left) === JSON.stringify(right);
}
