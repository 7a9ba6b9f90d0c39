/**
 * State that all request runners of one instance share: clients of backend servers, retry budgets, the circuit breaker
 * and one subscription to the settings.
 *
 * @packageDocumentation
 */
import type { EngineClient, ServiceClient } from "../backends/index.js";
import type { ResolvedSettings, SettingsView } from "../config/index.js";
import type { TokenLimiter } from "../limits/index.js";
import type { MembershipView } from "../membership/index.js";
import type { Placement } from "../placement/index.js";
import type { BackendServerId, Clock, Milliseconds, RouteId, SeededRandom } from "../shared/index.js";
import {
    type BreakerState,
    listEjectedServers,
    pruneBreaker,
    type ServerCallResult,
    updateBreaker,
} from "./circuitBreaker.js";
import { addFirstAttempt, emptyRetryBudget, type RetryBudget, takeRetryCredit } from "./retryPolicy.js";
import type { RequestReport } from "./types.js";

/** Dependencies of the request runners. */
export interface RunDependencies {
    readonly settings: SettingsView;
    readonly limiter: TokenLimiter;
    readonly placement: Placement;
    readonly membership: MembershipView;
    readonly createEngineClient: (address: string) => EngineClient;
    readonly createServiceClient: (address: string) => ServiceClient;
    readonly clock: Clock;
    readonly random: SeededRandom;
    readonly onReport: (report: RequestReport) => void;
}

/** Dependencies and shared state of the request runners. */
export interface RunContext extends RunDependencies {
    readonly getEngineClient: (address: string) => EngineClient;
    readonly getServiceClient: (address: string) => ServiceClient;
    readonly readRetryCredit: (route: RouteId) => number;
    readonly addFirstAttempt: (route: RouteId, retryRatio: number) => void;
    /** Takes the cost of a retry that was already decided; if the credit is lower, it becomes 0. */
    readonly takeRetryCredit: (route: RouteId, cost: number) => void;
    readonly recordServerResult: (server: BackendServerId, result: ServerCallResult) => void;
    /** Lists the servers of a pool that should get no requests now. */
    readonly listEjectedServers: (pool: string) => readonly BackendServerId[];
    /** Calls the listener after each change of the settings, until the returned function is called. */
    readonly watchSettings: (listener: (settings: ResolvedSettings) => void) => () => void;
    /** Removes clients and failure histories of backend servers that are no longer listed. */
    readonly prune: () => void;
    /** Counts the servers whose ejection has not ended, also those that are used because half a pool is ejected. */
    readonly countEjectedServers: () => number;
}

/**
 * Creates the shared state of the request runners, and subscribes it to the settings.
 *
 * @param dependencies - other parts of the instance
 * @returns the context; `prune` must be called periodically
 */
export function createRunContext(dependencies: RunDependencies): RunContext {
    const engines = new Map<string, EngineClient>();
    const services = new Map<string, ServiceClient>();
    const budgets = new Map<RouteId, RetryBudget>();
    const settingsListeners = new Set<(settings: ResolvedSettings) => void>();
    let breaker: BreakerState = new Map();
    // a single subscription, so that a request does not add one of its own to the settings
    dependencies.settings.subscribe(settings => {
        for (const callListener of [...settingsListeners]) {
            callListener(settings);
        }
    });
    const readNow = (): Milliseconds => dependencies.clock.now();
    const readBudget = (route: RouteId): RetryBudget => budgets.get(route) ?? emptyRetryBudget;
    return {
        ...dependencies,
        getEngineClient: address => getClient(engines, address, dependencies.createEngineClient),
        getServiceClient: address => getClient(services, address, dependencies.createServiceClient),
        readRetryCredit: route => readBudget(route).credit,
        addFirstAttempt: (route, retryRatio) => void budgets.set(route, addFirstAttempt(readBudget(route), retryRatio)),
        takeRetryCredit: (route, cost) =>
            void budgets.set(route, takeRetryCredit(readBudget(route), cost) ?? emptyRetryBudget),
        recordServerResult: (server, result) => {
            breaker = updateBreaker(breaker, server, result, readNow());
        },
        listEjectedServers: pool => {
            const servers = dependencies.membership.read().backendServers;
            return listEjectedServers(
                breaker,
                servers.filter(server => server.pool === pool).map(({ id }) => id),
                readNow(),
            );
        },
        watchSettings: listener => {
            settingsListeners.add(listener);
            return () => settingsListeners.delete(listener);
        },
        prune: () => {
            const servers = dependencies.membership.read().backendServers;
            breaker = pruneBreaker(breaker, new Set(servers.map(server => server.id)));
            const addresses = new Set(servers.map(server => server.address));
            pruneClients(engines, addresses);
            pruneClients(services, addresses);
        },
        countEjectedServers: () => [...breaker.values()].filter(entry => (entry.ejectedUntil ?? 0) > readNow()).length,
    };
}

function getClient<Client>(clients: Map<string, Client>, address: string, create: (address: string) => Client): Client {
    const known = clients.get(address);
    if (known) {
        return known;
    }
    const created = create(address);
    clients.set(address, created);
    return created;
}

// the client is not closed, because a response of a server that is no longer listed may still be in progress
function pruneClients<Client>(clients: Map<string, Client>, addresses: ReadonlySet<string>): void {
    for (const address of clients.keys()) {
        if (!addresses.has(address)) {
            clients.delete(address);
        }
    }
}
