/**
 * What the parts need of the connections between instances.
 *
 * @packageDocumentation
 */
import type { AdapterMessage } from "../adapters/messages.js";
import type { ConfigMessage } from "../config/index.js";
import type { LimitsMessage } from "../limits/index.js";
import type { MembershipMessage } from "../membership/index.js";
import type { PlacementMessage } from "../placement/index.js";
import type { AtMostOnceMessage } from "../requests/index.js";
import type { UsageMessage } from "../serving/messages.js";
import type { InstanceId, Milliseconds, Result } from "../shared/index.js";

/** Message type of each part. */
export interface PeerMessagesByTopic {
    readonly config: ConfigMessage;
    readonly membership: MembershipMessage;
    readonly limits: LimitsMessage;
    readonly placement: PlacementMessage;
    readonly outcomes: AtMostOnceMessage;
    readonly adapters: AdapterMessage;
    readonly usage: UsageMessage;
}

/** Name of a part that talks to its like on other instances. */
export type PeerTopic = keyof PeerMessagesByTopic;

/** Why a request to a peer has no answer; except for `unreachable`, it may have been handled. */
export type PeerError =
    | { readonly kind: "unreachable"; readonly detail: string; }
    | { readonly kind: "timeout"; }
    | { readonly kind: "disconnected"; }
    | { readonly kind: "incompatible"; readonly theirs: number; };

/** Handles a peer's message; a returned message answers a request. */
export type PeerHandler<Topic extends PeerTopic> = (
    from: InstanceId,
    message: PeerMessagesByTopic[Topic],
) => PeerMessagesByTopic[Topic] | undefined | Promise<PeerMessagesByTopic[Topic] | undefined>;

/** Connections to the other instances. */
export interface PeerNetwork {
    readonly self: InstanceId;
    /** Sends without an answer; the message may be lost. */
    readonly send: <Topic extends PeerTopic>(to: InstanceId, topic: Topic, message: PeerMessagesByTopic[Topic]) => void;
    /** Sends and waits for the answer. */
    readonly request: <Topic extends PeerTopic>(
        to: InstanceId,
        topic: Topic,
        message: PeerMessagesByTopic[Topic],
        timeout: Milliseconds,
    ) => Promise<Result<PeerMessagesByTopic[Topic], PeerError>>;
    /** Sets the handler of a topic; one for each topic. */
    readonly handle: <Topic extends PeerTopic>(topic: Topic, handler: PeerHandler<Topic>) => void;
}
