/**
 * Transfer of snapshots between instances. The server keeps one copy of its state for a time, so that all parts hold
 * the state at one offset; the receiver uses a snapshot only if it has all parts.
 *
 * @packageDocumentation
 */
import type { InstanceId, LogOffset, Milliseconds } from "../shared/index.js";
import type { RequestFromPeer, SnapshotPart, SnapshotRequest, StreamMessage } from "./messages.js";
import type { StreamModel, StreamState } from "./model.js";
import type { FinishedCheckpoint } from "./replay.js";

const pinMilliseconds = 20_000;
const requestTimeoutMilliseconds = 2_000;

interface PinnedSnapshot<Part> {
    readonly name: string;
    readonly covering: LogOffset;
    readonly lastPass: FinishedCheckpoint | undefined;
    readonly parts: readonly Part[];
    readonly expiresAt: Milliseconds;
}

/** Serves snapshots of the state of one instance. */
export interface SnapshotServer<State, Part> {
    /** Returns the requested part; refuses if there is no state yet or the named snapshot is no longer kept. */
    readonly serve: (
        request: SnapshotRequest,
        state: State | undefined,
        lastPass: FinishedCheckpoint | undefined,
        now: Milliseconds,
    ) => StreamMessage<Part>;
}

/**
 * Creates a snapshot server.
 *
 * @param model - model of the stream
 * @param instance - id of this instance, which makes the names of its snapshots unique
 * @returns the server, which keeps at most one snapshot, for 20 s after the latest request for its first part
 */
export function createSnapshotServer<State extends StreamState, Part>(
    model: Pick<StreamModel<State, never, Part, never>, "listParts">,
    instance: InstanceId,
): SnapshotServer<State, Part> {
    let pinned: PinnedSnapshot<Part> | undefined;
    const createPinnedSnapshot = (
        state: State,
        lastPass: FinishedCheckpoint | undefined,
        now: Milliseconds,
    ): PinnedSnapshot<Part> => ({
        name: `${instance}/${state.appliedOffset}/${now}`,
        covering: state.appliedOffset,
        lastPass,
        parts: model.listParts(state),
        expiresAt: now + pinMilliseconds,
    });
    return {
        serve: (request, state, lastPass, now) => {
            if (!state) {
                return { kind: "snapshotRefused", reason: "notReady" };
            }
            if (request.snapshot === undefined) {
                const isCurrent = pinned && pinned.covering === state.appliedOffset && now <= pinned.expiresAt;
                pinned = isCurrent
                    ? { ...pinned!, expiresAt: now + pinMilliseconds }
                    : createPinnedSnapshot(state, lastPass, now);
            }
            const isPinned = pinned && (request.snapshot ?? pinned.name) === pinned.name && now <= pinned.expiresAt;
            const part = isPinned ? pinned!.parts[request.index] : undefined;
            if (!pinned || part === undefined) {
                return { kind: "snapshotRefused", reason: "gone" };
            }
            return {
                kind: "snapshotPart",
                snapshot: pinned.name,
                index: request.index,
                parts: pinned.parts.length,
                covering: pinned.covering,
                lastPass: pinned.lastPass,
                part,
            };
        },
    };
}

/** A state that was fetched from a peer. */
export interface FetchedSnapshot<State> {
    readonly from: InstanceId;
    readonly state: State;
    readonly lastPass: FinishedCheckpoint | undefined;
}

/**
 * Fetches the newest state among those of some peers. If a part of it can't be fetched, the next newest is tried.
 *
 * @param model - model of the stream
 * @param requestFromPeer - sends a message to a peer
 * @param candidates - peers, each of which is asked for the first part of a snapshot
 * @param after - only states at a later offset are fetched
 * @returns the complete state, which the caller owns; `undefined` if none could be fetched
 */
export async function fetchSnapshot<State extends StreamState, Part>(
    model: Pick<StreamModel<State, never, Part, never>, "restoreState">,
    requestFromPeer: RequestFromPeer<Part>,
    candidates: readonly InstanceId[],
    after: LogOffset,
): Promise<FetchedSnapshot<State> | undefined> {
    const asked = await Promise.all(
        candidates.map(async from => ({ from, first: await fetchPart(requestFromPeer, from) })),
    );
    const offers = asked.flatMap(({ from, first }) => first && first.covering > after ? [{ from, first }] : []);
    offers.sort((left, right) => right.first.covering - left.first.covering);
    for (const { from, first } of offers) {
        const parts = await fetchParts(requestFromPeer, from, first);
        if (parts) {
            return { from, state: model.restoreState(parts, first.covering), lastPass: first.lastPass };
        }
    }
    return undefined;
}

async function fetchParts<Part>(
    requestFromPeer: RequestFromPeer<Part>,
    from: InstanceId,
    first: SnapshotPart<Part>,
): Promise<readonly Part[] | undefined> {
    const parts: Part[] = [first.part];
    for (let index = 1; index < first.parts; index++) {
        const next = await fetchPart(requestFromPeer, from, { snapshot: first.snapshot, index });
        if (!next || next.snapshot !== first.snapshot || next.index !== index || next.covering !== first.covering) {
            return undefined;
        }
        parts.push(next.part);
    }
    return parts;
}

async function fetchPart<Part>(
    requestFromPeer: RequestFromPeer<Part>,
    from: InstanceId,
    requestedPart: Omit<SnapshotRequest, "kind"> = { snapshot: undefined, index: 0 },
): Promise<SnapshotPart<Part> | undefined> {
    const answer = await requestFromPeer(
        from,
        { kind: "snapshotRequest", ...requestedPart },
        requestTimeoutMilliseconds,
    );
    return answer?.kind === "snapshotPart" ? answer : undefined;
}
