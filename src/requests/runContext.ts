/**
 * What the runners of one instance share: settings, budgets, evidence about backend servers, and reports.
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
    advanceBreaker,
    type BreakerEvidence,
    type BreakerState,
    listEjected,
    pruneBreaker,
} from "./circuitBreaker.js";
import { addFirstTry, emptyRetryBudget, type RetryBudget, takeRetry } from "./retryPolicy.js";
import type { RequestReport } from "./types.js";

/** What the runners use of the other parts. */
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

/** State that the runners of one instance share. */
export interface RunContext extends RunDependencies {
    readonly useEngine: (address: string) => EngineClient;
    readonly useService: (address: string) => ServiceClient;
    readonly readRetryCredit: (route: RouteId) => number;
    readonly addFirstTry: (route: RouteId, share: number) => void;
    readonly takeRetry: (route: RouteId, cost: number) => void;
    readonly addEvidence: (server: BackendServerId, evidence: BreakerEvidence) => void;
    readonly listEjected: (pool: string) => readonly BackendServerId[];
    /** Calls back after each change of the settings, until the returned function is called. */
    readonly watchSettings: (listener: (settings: ResolvedSettings) => void) => () => void;
    /** Forgets clients and evidence of servers that are gone. */
    readonly prune: () => void;
    readonly countEjected: () => number;
}

/**
 * Creates the shared state.
 *
 * @param dependencies - the other parts
 * @returns the context
 */
export function createRunContext(dependencies: RunDependencies): RunContext {
    const engines = new Map<string, EngineClient>();
    const services = new Map<string, ServiceClient>();
    const budgets = new Map<RouteId, RetryBudget>();
    const watchers = new Set<(settings: ResolvedSettings) => void>();
    let breaker: BreakerState = new Map();
    // one subscription for all requests
    dependencies.settings.subscribe(settings => {
        for (const callWatcher of [...watchers]) {
            callWatcher(settings);
        }
    });
    const readNow = (): Milliseconds => dependencies.clock.now();
    const readBudget = (route: RouteId): RetryBudget => budgets.get(route) ?? emptyRetryBudget;
    return {
        ...dependencies,
        useEngine: address => useClient(engines, address, dependencies.createEngineClient),
        useService: address => useClient(services, address, dependencies.createServiceClient),
        readRetryCredit: route => readBudget(route).credit,
        addFirstTry: (route, share) => void budgets.set(route, addFirstTry(readBudget(route), share)),
        takeRetry: (route, cost) => void budgets.set(route, takeRetry(readBudget(route), cost) ?? emptyRetryBudget),
        addEvidence: (server, evidence) => {
            breaker = advanceBreaker(breaker, server, evidence, readNow());
        },
        listEjected: pool => {
            const servers = dependencies.membership.read().backendServers;
            return listEjected(breaker, servers.filter(server => server.pool === pool).map(({ id }) => id), readNow());
        },
        watchSettings: listener => {
            watchers.add(listener);
            return () => watchers.delete(listener);
        },
        prune: () => {
            const servers = dependencies.membership.read().backendServers;
            breaker = pruneBreaker(breaker, new Set(servers.map(server => server.id)));
            const addresses = new Set(servers.map(server => server.address));
            forgetClients(engines, addresses);
            forgetClients(services, addresses);
        },
        countEjected: () => [...breaker.values()].filter(entry => (entry.ejectedUntil ?? 0) > readNow()).length,
    };
}

function useClient<Client>(clients: Map<string, Client>, address: string, create: (address: string) => Client): Client {
    const known = clients.get(address);
    if (known) {
        return known;
    }
    const created = create(address);
    clients.set(address, created);
    return created;
}

// a client whose server left the list may still carry an answer, so it is dropped and not closed
function forgetClients<Client>(clients: Map<string, Client>, addresses: ReadonlySet<string>): void {
    for (const address of clients.keys()) {
        if (!addresses.has(address)) {
            clients.delete(address);
        }
    }
}
