/**
 * Snapshots between instances: the serving side pins one state at a time, the asking side takes all parts or none.
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

/** Serves snapshots of one instance's state. */
export interface SnapshotServer<State, Part> {
    readonly serve: (
        request: SnapshotRequest,
        state: State | undefined,
        lastPass: FinishedCheckpoint | undefined,
        now: Milliseconds,
    ) => StreamMessage<Part>;
}

/**
 * Creates the serving side.
 *
 * @param model - rules of the stream
 * @param instance - this instance's id, so that names of snapshots differ between instances
 * @returns the server
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

/** A state taken from a peer. */
export interface FetchedSnapshot<State> {
    readonly from: InstanceId;
    readonly state: State;
    readonly lastPass: FinishedCheckpoint | undefined;
}

/**
 * Fetches the newest state that some peers have. A state of which a part is missing is dropped.
 *
 * @param model - rules of the stream
 * @param requestFromPeer - sends a message to a peer
 * @param candidates - peers to ask for their first part
 * @param after - only a state that covers a later offset is of use
 * @returns the whole state, or `undefined` if none could be had
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
