/**
 * An engine model's own record of what it did; checks read it in place of ours.
 *
 * @packageDocumentation
 */
import { type AdapterReference, formatAdapterName } from "../backends/index.js";
import type { FencingNumber, Milliseconds, RequestId } from "../shared/index.js";

/** Start of a request. */
export interface RecordedStart {
    readonly requestId: RequestId;
    readonly asked: string | undefined;
    readonly ranOn: string | undefined;
    readonly at: Milliseconds;
}

/** An adapter that left its slot. */
export interface RecordedEviction {
    readonly name: string;
    /** Requests that were using it. */
    readonly uses: number;
    readonly fencingNumber: FencingNumber;
    readonly at: Milliseconds;
}

/** A load that ended. */
export interface RecordedLoad {
    readonly name: string;
    readonly from: Milliseconds;
    readonly to: Milliseconds;
    readonly succeeded: boolean;
}

/** What an engine did. */
export interface EngineRecord {
    readonly starts: readonly RecordedStart[];
    readonly evictions: readonly RecordedEviction[];
    readonly loads: readonly RecordedLoad[];
    /** Requests that lost their adapter while they waited in the engine. */
    readonly lost: readonly { readonly requestId: RequestId; readonly name: string; readonly at: Milliseconds; }[];
    /** Tokens that were made by another adapter or version than asked for. */
    readonly wrongTokens: readonly { readonly requestId: RequestId; readonly ranOn: string; }[];
    readonly restarts: readonly Milliseconds[];
    /** Number of steps for each batch size. */
    readonly stepsByBatch: ReadonlyMap<number, number>;
    /** Time spent in steps. */
    readonly busy: () => Milliseconds;
}

/** The engine's side of its record. */
export interface EngineRecordWriter extends EngineRecord {
    readonly addStart: (
        requestId: RequestId,
        asked: AdapterReference | undefined,
        ranOn: AdapterReference | undefined,
        at: Milliseconds,
    ) => void;
    readonly addEviction: (name: string, uses: number, fencingNumber: FencingNumber, at: Milliseconds) => void;
    readonly addLoad: (name: string, from: Milliseconds, to: Milliseconds, succeeded: boolean) => void;
    readonly addLost: (requestId: RequestId, name: string, at: Milliseconds) => void;
    readonly addWrongToken: (requestId: RequestId, ranOn: string) => void;
    readonly addStep: (batch: number, duration: Milliseconds) => void;
    readonly addRestart: (at: Milliseconds) => void;
}

/**
 * Creates an empty record.
 *
 * @returns the record
 */
export function createEngineRecord(): EngineRecordWriter {
    const starts: RecordedStart[] = [];
    const evictions: RecordedEviction[] = [];
    const loads: RecordedLoad[] = [];
    const lost: { requestId: RequestId; name: string; at: Milliseconds; }[] = [];
    const wrongTokens: { requestId: RequestId; ranOn: string; }[] = [];
    const restarts: Milliseconds[] = [];
    const stepsByBatch = new Map<number, number>();
    let busy: Milliseconds = 0;
    return {
        starts,
        evictions,
        loads,
        lost,
        wrongTokens,
        restarts,
        stepsByBatch,
        busy: () => busy,
        addStart: (requestId, asked, ranOn, at) => {
            starts.push({
                requestId,
                asked: asked && formatAdapterName(asked),
                ranOn: ranOn && formatAdapterName(ranOn),
                at,
            });
        },
        addEviction: (name, uses, fencingNumber, at) => {
            evictions.push({ name, uses, fencingNumber, at });
        },
        addLoad: (name, from, to, succeeded) => {
            loads.push({ name, from, to, succeeded });
        },
        addLost: (requestId, name, at) => {
            lost.push({ requestId, name, at });
        },
        addWrongToken: (requestId, ranOn) => {
            wrongTokens.push({ requestId, ranOn });
        },
        addStep: (batch, duration) => {
            stepsByBatch.set(batch, (stepsByBatch.get(batch) ?? 0) + 1);
            busy += duration;
        },
        addRestart: at => {
            restarts.push(at);
        },
    };
}
