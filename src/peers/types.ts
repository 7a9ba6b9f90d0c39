/**
 * Interface through which the parts of an instance exchange messages with other instances.
 *
 * @packageDocumentation
 */
import type { AdapterMessage } from "../adapters/messages.js";
import type { ConfigMessage } from "../config/index.js";
import type { ForwardingMessage } from "../forwarding/index.js";
import type { LimitsMessage } from "../limits/index.js";
import type { MembershipMessage } from "../membership/index.js";
import type { PlacementMessage } from "../placement/index.js";
import type { QuarantineMessage } from "../quarantine/index.js";
import type { AtMostOnceMessage } from "../requests/index.js";
import type { ResumptionMessage } from "../resumption/index.js";
import type { QuotaMessage } from "../serving/quotaMessages.js";
import type { RelayMessage } from "../serving/relayMessages.js";
import type { InstanceId, Milliseconds, Result } from "../shared/index.js";

/** Type of the messages of each topic. */
export interface PeerMessagesByTopic {
    readonly config: ConfigMessage;
    readonly membership: MembershipMessage;
    readonly limits: LimitsMessage;
    readonly placement: PlacementMessage;
    readonly outcomes: AtMostOnceMessage;
    readonly adapters: AdapterMessage;
    readonly quotas: QuotaMessage;
    readonly relay: RelayMessage;
    readonly quarantines: QuarantineMessage;
    readonly forwarding: ForwardingMessage;
    readonly resumption: ResumptionMessage;
}

/** Name of a part of the instance that exchanges messages with the same part of other instances. */
export type PeerTopic = keyof PeerMessagesByTopic;

/**
 * Reason why a request to a peer has no response. `unreachable` and `incompatible` mean that the request was not sent;
 * with any other reason, the peer may have handled it.
 */
export type PeerError =
    | { readonly kind: "unreachable"; readonly detail: string; }
    | { readonly kind: "timeout"; }
    | { readonly kind: "disconnected"; }
    | { readonly kind: "incompatible"; readonly theirs: number; };

/**
 * Handles a peer's message. If it was a request, the returned message is the response; if `undefined` is returned, no
 * response is sent and the request ends with a timeout.
 */
export type PeerHandler<Topic extends PeerTopic> = (
    from: InstanceId,
    message: PeerMessagesByTopic[Topic],
) => PeerMessagesByTopic[Topic] | undefined | Promise<PeerMessagesByTopic[Topic] | undefined>;

/** Connections to the other instances. */
export interface PeerNetwork {
    /** Identifier of this instance. */
    readonly self: InstanceId;
    /** Sends a message without a response; the message may be lost. */
    readonly send: <Topic extends PeerTopic>(to: InstanceId, topic: Topic, message: PeerMessagesByTopic[Topic]) => void;
    /** Sends a request and waits for the response for at most `timeout`. */
    readonly request: <Topic extends PeerTopic>(
        to: InstanceId,
        topic: Topic,
        message: PeerMessagesByTopic[Topic],
        timeout: Milliseconds,
    ) => Promise<Result<PeerMessagesByTopic[Topic], PeerError>>;
    /** Sets the handler of a topic and replaces the previous one. */
    readonly handle: <Topic extends PeerTopic>(topic: Topic, handler: PeerHandler<Topic>) => void;
}

/** Memory with a bound that the connections share with other parts of the instance. */
export interface BoundedMemory {
    /** Adds a connection on which nothing waits to be sent. */
    readonly open: (holder: BoundedMemoryHolder) => ConnectionMemory;
}

/** What a connection is told of the memory. */
export interface BoundedMemoryHolder {
    /** Called when the connection holds most and there is no room; it must then hold less. */
    readonly giveUp: () => void;
}

/** Memory of one connection. */
export interface ConnectionMemory {
    /** Records how much waits to be sent, in bytes. */
    readonly set: (bytes: number) => void;
    /** Ends the connection's part: nothing waits any more. */
    readonly close: () => void;
}
