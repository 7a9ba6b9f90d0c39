/**
 * Connects the parts of an instance to the messages of other instances.
 *
 * @packageDocumentation
 */
import type { AdapterCoordinator } from "../adapters/adapterCoordinator.js";
import { adapterMessageSchema } from "../adapters/messages.js";
import { type ForwardingConnections, forwardingMessageSchema } from "../forwarding/index.js";
import type { PeerNetwork } from "../peers/index.js";
import { quarantineMessageSchema, type RequestGuard } from "../quarantine/index.js";
import { resumptionMessageSchema, type StreamOrigins } from "../resumption/index.js";
import type { QuotaClient } from "./quotaClient.js";
import { quotaMessageSchema } from "./quotaMessages.js";
import type { RelayedLog } from "./relayedLog.js";
import { relayMessageSchema } from "./relayMessages.js";

/** Parts that answer messages of other instances. */
export interface PeerHandlerParts {
    readonly adapters: Pick<AdapterCoordinator, "handleMessage">;
    readonly relayed: Pick<RelayedLog, "handleMessage">;
    readonly guard: Pick<RequestGuard, "handleMessage">;
    readonly forwarding: Pick<ForwardingConnections, "handleMessage">;
    readonly origins: Pick<StreamOrigins, "handleMessage">;
    readonly quotas: Pick<QuotaClient, "handleMessage">;
}

/**
 * Registers a handler for each topic. A message that its schema doesn't accept is refused by the network.
 *
 * @param network - connections to other instances
 * @param parts - parts that answer the messages
 */
export function registerPeerHandlers(network: PeerNetwork, parts: PeerHandlerParts): void {
    const { adapters, relayed, guard, forwarding, origins, quotas } = parts;
    network.handle("adapters", (from, message) => adapters.handleMessage(from, adapterMessageSchema.parse(message)));
    network.handle("relay", (from, message) => relayed.handleMessage(relayMessageSchema.parse(message)));
    network.handle("quarantines", (from, message) => guard.handleMessage(from, quarantineMessageSchema.parse(message)));
    network.handle("forwarding", (from, message) => forwarding.handleMessage(forwardingMessageSchema.parse(message)));
    network.handle("resumption", (from, message) => origins.handleMessage(resumptionMessageSchema.parse(message)));
    network.handle("quotas", (from, message) => quotas.handleMessage(from, quotaMessageSchema.parse(message)));
}
