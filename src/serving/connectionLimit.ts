/**
 * Computes how many connections an instance may open to a server.
 *
 * @packageDocumentation
 */

/** Ratio of a server's connection limit that all instances together use. */
const connectionLimitRatio = 0.8;
/** Maximum of connections that one instance opens to a server, also where the server has no limit. */
const maximumConnectionsPerServer = 64;

/**
 * Computes the share of one instance in the connection limit of a server.
 *
 * @param limit - connections that the server accepts from all instances together
 * @param instances - number of instances
 * @returns the connections, at least one
 */
export function computeConnectionLimit(limit: number = maximumConnectionsPerServer, instances: number): number {
    return Math.max(1, Math.floor(Math.min(limit * connectionLimitRatio / instances, maximumConnectionsPerServer)));
}
