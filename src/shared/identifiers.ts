/**
 * Types of the identifiers that messages and settings contain.
 *
 * @packageDocumentation
 */

/** Name of one running instance; a restarted process gets a new name. */
export type InstanceId = string;

/** Name of a failure domain. */
export type FailureDomainId = string;

/** Name of a region, a group of failure domains. */
export type RegionId = string;

/** Name of a client account in the settings tree. */
export type ClientAccountId = string;

/** Name of a backend server (engine or plain service). */
export type BackendServerId = string;

/** Name of an adapter in the settings tree. */
export type AdapterId = string;

/** Version label of an adapter. */
export type AdapterVersion = string;

/** Name of a base model. */
export type BaseModelId = string;

/** Name of a route in the settings tree. */
export type RouteId = string;

/** Identifier of one request, unique across all instances. */
export type RequestId = string;

/** Position in a stream of the log service; the first record has offset 0. */
export type LogOffset = number;

/** Fencing token of an owner, such as that of an engine: the log offset of its claim. A later owner has a higher one. */
export type FencingNumber = LogOffset;
