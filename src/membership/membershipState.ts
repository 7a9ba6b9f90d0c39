/**
 * What this instance sees of the others: the platform's list, corrected by what they say themselves.
 *
 * @packageDocumentation
 */
import type { ListedBackendServer, ListedInstance, ListedState, Listing } from "../backends/index.js";
import { compareText, type InstanceId, type Milliseconds } from "../shared/index.js";
import type { MembershipSnapshot } from "./types.js";

/** What an instance said of itself last. */
export interface ReportedState {
    readonly state: ListedState;
    readonly at: Milliseconds;
}

/** Everything that the view is made of. */
export interface MembershipState {
    readonly self: ListedInstance;
    readonly listing: Listing | undefined;
    /** Whether this instance is on its way out. */
    readonly leaving: boolean;
    readonly reportedStates: ReadonlyMap<InstanceId, ReportedState>;
    readonly snapshot: MembershipSnapshot;
}

/** After this long without a word, what an instance said of itself no longer counts. */
export const reportedStateLifetimeMilliseconds = 3_000;

/**
 * Creates the state before the first answer of the list.
 *
 * @param self - this instance
 * @returns a state that knows this instance only
 */
export function createMembershipState(self: ListedInstance): MembershipState {
    const snapshot: MembershipSnapshot = { revision: 0, instances: [self], backendServers: [] };
    return { self, listing: undefined, leaving: false, reportedStates: new Map(), snapshot };
}

/** What changes the view. */
export type MembershipStateEvent =
    | { readonly kind: "listed"; readonly listing: Listing; }
    | { readonly kind: "heard"; readonly instance: InstanceId; readonly state: ListedState; }
    | { readonly kind: "selfLeaving"; };

/**
 * Takes an event into account.
 *
 * @param state - the state before
 * @param event - what happened
 * @param now - present time
 * @returns the state after; its snapshot is the same object if nothing visible changed
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
            const next = { ...state, reportedStates: reportedStates };
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
        // leaving is final, so an older word of it stands against a list that lags
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
