/**
 * Network between the instances of the fleet bench, in virtual time. Counts what each instance sends.
 *
 * @packageDocumentation
 */
import { createFrameCodec, type FrameCodec } from "../../peers/frames.js";
import type { PeerHandler, PeerMessagesByTopic, PeerNetwork, PeerTopic } from "../../peers/index.js";
import { type InstanceId, type Milliseconds, type Result, wrapError, wrapValue } from "../../shared/index.js";
import type { History } from "../../testing/history.js";
import { startDetached } from "../../testing/index.js";

/** Frame between two instances. */
export type FleetFrame =
    | { readonly kind: "message"; readonly topic: string; readonly body: unknown; }
    | { readonly kind: "request"; readonly id: number; readonly topic: string; readonly body: unknown; }
    | { readonly kind: "response"; readonly id: number; readonly body: unknown; };

/** What one instance has sent, and with how many others it has a connection. */
export interface TrafficCounts {
    messages: number;
    bytes: number;
    readonly connections: Set<InstanceId>;
}

/** Network of one instance. */
export interface FleetNetwork extends PeerNetwork {
    readonly counts: TrafficCounts;
}

interface PendingRequest {
    readonly to: InstanceId;
    readonly settle: (body: unknown) => void;
}

/**
 * Connects an instance to the others.
 *
 * @param history - virtual time and the delivery of frames
 * @param self - the instance
 * @param findCounts - finds the counts of another instance, whose connections are counted too
 * @returns the network of the instance
 */
export function createFleetNetwork(
    history: History<FleetFrame>,
    self: InstanceId,
    findCounts: (instance: InstanceId) => TrafficCounts,
): FleetNetwork {
    const counts: TrafficCounts = { messages: 0, bytes: 0, connections: new Set() };
    const handlers = new Map<string, (from: InstanceId, body: unknown) => unknown>();
    const codecs = new Map<InstanceId, FrameCodec>();
    const pending = new Map<number, PendingRequest>();
    let lastId = 0;
    const sendFrame = (to: InstanceId, frame: FleetFrame): void => {
        const codec = codecs.get(to) ?? createFrameCodec();
        codecs.set(to, codec);
        counts.messages++;
        counts.bytes += codec.encode(frame).length;
        counts.connections.add(to);
        findCounts(to).connections.add(self);
        history.send(self, to, frame);
    };
    const receiveFrame = async (from: InstanceId, frame: FleetFrame): Promise<void> => {
        switch (frame.kind) {
            case "message":
                await handlers.get(frame.topic)?.(from, frame.body);
                break;
            case "request": {
                const body = await handlers.get(frame.topic)?.(from, frame.body);
                if (body !== undefined) {
                    sendFrame(from, { kind: "response", id: frame.id, body });
                }
                break;
            }
            case "response":
                pending.get(frame.id)?.settle(frame.body);
                pending.delete(frame.id);
                break;
        }
    };
    history.setHandler(self, (from, frame) => startDetached(receiveFrame(from, frame)));
    const request = async <Topic extends PeerTopic>(
        to: InstanceId,
        topic: Topic,
        message: PeerMessagesByTopic[Topic],
        timeout: Milliseconds,
    ): Promise<Result<PeerMessagesByTopic[Topic], { readonly kind: "timeout"; }>> => {
        lastId++;
        const id = lastId;
        const response = new Promise<unknown>(resolve => pending.set(id, { to, settle: resolve }));
        sendFrame(to, { kind: "request", id, topic, body: message });
        const cancel = new AbortController();
        const late = history.clock.sleep(timeout, cancel.signal).then(() => undefined);
        const body = await Promise.race([response, late]);
        cancel.abort();
        pending.delete(id);
        return body === undefined
            ? wrapError({ kind: "timeout" })
            : wrapValue(body as PeerMessagesByTopic[Topic]);
    };
    return {
        self,
        counts,
        send: (to, topic, message) => sendFrame(to, { kind: "message", topic, body: message }),
        request,
        handle: <Topic extends PeerTopic>(topic: Topic, handler: PeerHandler<Topic>) => {
            handlers.set(topic, handler as (from: InstanceId, body: unknown) => unknown);
        },
    };
}
