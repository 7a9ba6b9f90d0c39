// minimal fakes of the limiter, placement, membership, settings and peers, which tests can control
import type { ListedBackendServer } from "../../backends/index.js";
import type { ResolvedRoute, ResolvedSettings, SettingsView } from "../../config/index.js";
import type { TokenLimiter } from "../../limits/index.js";
import type { EpochView, MemberEpoch, MembershipView } from "../../membership/index.js";
import type { PeerNetwork } from "../../peers/index.js";
import type { Pin, PinOutcome, Placement } from "../../placement/index.js";
import { hashKey, wrapError, wrapValue } from "../../shared/index.js";

export const key = "key-of-a";
export const keyHash = hashKey(key);

export interface FakeSettings extends SettingsView {
    readonly change: (change: Partial<ResolvedSettings>) => void;
}

export function buildSettings(deadline = 2_000): ResolvedSettings {
    const base = {
        access: "keyed",
        accounts: undefined,
        openAccount: undefined,
        requestClass: "interactive",
        deadline,
        retryBudget: 1,
    } as const;
    const model = { ...base, kind: "model", baseModel: "base", maximumOutputTokens: 16, pool: "engines" } as const;
    const routes: ResolvedRoute[] = [
        { ...model, id: "quotes", adapter: "springs" },
        { ...model, id: "open-quotes", adapter: undefined, access: "open", openAccount: "public" },
        { ...model, id: "all-adapters", adapter: undefined, accounts: ["a"] },
        { ...base, id: "orders", kind: "service", pool: "orders", repeat: "once", costTokens: 1 },
        { ...base, id: "stock", kind: "service", pool: "orders", repeat: "idempotent", costTokens: 1 },
    ];
    const buildAccount = (id: string) => [id, { id, limits: { rate: 100, burst: 1_000 }, weight: 1 }] as const;
    return {
        appliedOffset: 0,
        accounts: new Map([buildAccount("a"), buildAccount("b"), buildAccount("public")]),
        keys: new Map([
            [keyHash, { id: "key-a", hash: keyHash, account: "a" }],
            [hashKey("key-of-b"), { id: "key-b", hash: hashKey("key-of-b"), account: "b" }],
        ]),
        routes: new Map(routes.map(route => [route.id, route])),
        adapters: new Map(
            ["springs", "wire"].map(id => [id, { id, baseModel: "base", version: "v1" }]),
        ),
        weightStore: { loadsPerSecond: 5, loadBurst: 1, loadsInFlight: 8 },
    };
}

export function createFakeSettings(first = buildSettings()): FakeSettings {
    let current = first;
    const listeners = new Set<(settings: ResolvedSettings) => void>();
    return {
        read: () => current,
        subscribe: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        change: change => {
            current = { ...current, ...change, appliedOffset: current.appliedOffset + 1 };
            listeners.forEach(listener => listener(current));
        },
    };
}

export interface FakeLimiter extends TokenLimiter {
    readonly settledTokens: readonly number[];
    readonly countUnsettled: () => number;
}

export function createFakeLimiter(waitToReserve: () => Promise<void> = () => Promise.resolve()): FakeLimiter {
    const open = new Set<string>();
    const settledTokens: number[] = [];
    return {
        settledTokens: settledTokens,
        countUnsettled: () => open.size,
        reserve: async (request, signal) => {
            await Promise.race([waitToReserve(), waitAborted(signal)]);
            if (signal.aborted) {
                return wrapError({ kind: "aborted" });
            }
            open.add(request.requestId);
            return wrapValue({ requestId: request.requestId, account: request.account, tokens: 10 });
        },
        settle: (reservation, tokens) => {
            if (!open.delete(reservation.requestId)) {
                throw new Error("settled twice");
            }
            settledTokens.push(tokens);
        },
    };
}

export interface FakeEngine {
    readonly id: string;
    readonly address: string;
    readonly incarnation: () => string;
}

export interface FakePlacement extends Placement {
    readonly releases: readonly PinOutcome[];
    readonly countPins: () => number;
}

// grants a pin on the first engine that is not excluded, and throws when a pin is released twice
export function createFakePlacement(
    engines: readonly FakeEngine[],
    waitToPlace: () => Promise<void> = () => Promise.resolve(),
    onPinCheck: () => void = () => undefined,
): FakePlacement {
    const releases: PinOutcome[] = [];
    let pins = 0;
    return {
        releases,
        countPins: () => pins,
        acquire: async (request, signal) => {
            await Promise.race([waitToPlace(), waitAborted(signal)]);
            const engine = engines.find(candidate => !request.excludedEngines.includes(candidate.id));
            if (signal.aborted || !engine) {
                return wrapError(signal.aborted ? { kind: "aborted" } : { kind: "noEngine", detail: "all failed" });
            }
            pins++;
            let released = false;
            const pin: Pin = {
                engine: engine.id,
                address: engine.address,
                incarnation: engine.incarnation(),
                adapter: request.adapter,
                loadStall: 0,
                queueWait: 0,
                isValid: () => {
                    onPinCheck();
                    return !released;
                },
                release: outcome => {
                    if (released) {
                        throw new Error("released twice");
                    }
                    released = true;
                    pins--;
                    releases.push(outcome);
                },
            };
            return wrapValue(pin);
        },
    };
}

export function createFakeMembership(
    servers: readonly ListedBackendServer[],
    instances: readonly string[] = ["i1"],
): MembershipView {
    const listed = instances.map(id => ({
        kind: "instance",
        id,
        address: id,
        failureDomain: "f",
        region: "r",
        state: "live",
    } as const));
    return {
        read: () => ({ revision: 1, instances: listed, backendServers: servers }),
        subscribe: () => () => undefined,
    };
}

export function createListedService(
    id: string,
    address: string,
    state: "live" | "leaving" = "live",
): ListedBackendServer {
    return { kind: "service", id, address, failureDomain: "f", region: "r", state, pool: "orders" };
}

export function createFakeEpochs(epoch: MemberEpoch): EpochView {
    return { read: () => epoch, readValidUntil: () => Infinity, subscribe: () => () => undefined };
}

// peer network in which no other instance can be reached
export function createSingleInstanceNetwork(self: string): PeerNetwork {
    return {
        self,
        send: () => undefined,
        request: () => Promise.resolve(wrapError({ kind: "unreachable", detail: "nobody else" })),
        handle: () => undefined,
    };
}

function waitAborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}
