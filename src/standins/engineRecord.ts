/**
 * Record of what an engine model has done. Tests and trials verify against it instead of the serving layer's own records.
 *
 * @packageDocumentation
 */
import { type AdapterReference, formatAdapterName } from "../backends/index.js";
import type { FencingNumber, Milliseconds, RequestId } from "../shared/index.js";

/** A request that started to run. */
export interface RecordedStart {
    readonly requestId: RequestId;
    /** Requested adapter as `ADAPTER@VERSION`; `undefined` for the base model. */
    readonly asked: string | undefined;
    /** Adapter that ran the request, in the same form. */
    readonly ranOn: string | undefined;
    readonly at: Milliseconds;
}

/** An adapter that was removed from its slot. */
export interface RecordedEviction {
    readonly name: string;
    /** Number of requests that were using the adapter. */
    readonly uses: number;
    readonly fencingNumber: FencingNumber;
    readonly at: Milliseconds;
}

/** A load that succeeded or failed. */
export interface RecordedLoad {
    readonly name: string;
    readonly from: Milliseconds;
    readonly to: Milliseconds;
    readonly succeeded: boolean;
}

/** Everything that an engine has done since its creation, across restarts. */
export interface EngineRecord {
    readonly starts: readonly RecordedStart[];
    readonly evictions: readonly RecordedEviction[];
    readonly loads: readonly RecordedLoad[];
    /** Requests whose adapter was evicted while they waited in the engine's queue. */
    readonly lost: readonly { readonly requestId: RequestId; readonly name: string; readonly at: Milliseconds; }[];
    /** Tokens that were produced by a different adapter or version than the request asked for. */
    readonly wrongTokens: readonly { readonly requestId: RequestId; readonly ranOn: string; }[];
    readonly restarts: readonly Milliseconds[];
    /** Number of decoding steps by batch size. */
    readonly stepsByBatch: ReadonlyMap<number, number>;
    /** Total duration of all decoding steps. */
    readonly busy: () => Milliseconds;
}

/** The record with the functions by which the engine model writes it. */
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
 * Creates the record of an engine.
 *
 * @returns the record, without entries
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
