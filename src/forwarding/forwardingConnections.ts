/**
 * Connections to servers that lead through another instance while this one reaches no server and others do. All decisions
 * on a request stay here; the other instance only sends one attempt at a time and reports its events.
 *
 * @packageDocumentation
 */
import type { PeerNetwork } from "../peers/index.js";
import type { AnswerMemory } from "../serving/answerMemory.js";
import type { Homes } from "../serving/homes.js";
import { findRequestFault } from "../serving/requestCheck.js";
import type {
    Attempt,
    AttemptFault,
    AttemptHandlers,
    AttemptRequest,
    ServerConnections,
} from "../serving/serverConnections.js";
import { type BackendServer, formatServerRunId, type ServerRunId } from "../serving/types.js";
import {
    type Clock,
    createLogger,
    type FailureDomainId,
    type InstanceId,
    type Milliseconds,
    type SeededRandom,
} from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import { sendThroughInstance } from "./forwardClient.js";
import { createForwardService } from "./forwardService.js";
import { type ForwardingMessage, forwardingMessageSchema } from "./messages.js";
import { createReach } from "./reach.js";

/** Another instance that may help. */
export interface HelperCandidate {
    readonly id: InstanceId;
    readonly failureDomain: FailureDomainId;
}

/** Dependencies of the connections. */
export interface ForwardingOptions {
    /** Identifies one run of this process; begins the ids of its attempts. */
    readonly runId: string;
    readonly failureDomain: FailureDomainId;
    readonly clock: Clock;
    readonly random: SeededRandom;
    readonly network: PeerNetwork;
    /** Connections that lead to the servers directly. */
    readonly direct: ServerConnections;
    readonly listCandidates: () => readonly HelperCandidate[];
    /** Servers that may receive something; none of them is in an evacuated failure domain. */
    readonly listServers: () => readonly BackendServer[];
    readonly findServer: (run: ServerRunId) => BackendServer | undefined;
    readonly probe: (server: BackendServer) => Promise<boolean>;
    /** Called with each forwarded response in which a server announces that it is about to stop. */
    readonly onLeaving: (server: BackendServer) => void;
    /** Whether this instance stops and begins no attempts of others. */
    readonly isStopping: () => boolean;
    /** Whether an instance of a failure domain may have the body of a request with these homes. @default all may */
    readonly mayCarry?: (domain: FailureDomainId, homes: Homes) => boolean;
    /** Memory of all answers of this instance. @default one for the attempts of others alone */
    readonly answerMemory?: Pick<AnswerMemory, "open">;
    /** Counts an attempt that is sent through another instance. */
    readonly onForwarded: () => void;
}

/** Connections of one instance, and its help to others. */
export interface ForwardingConnections extends ServerConnections {
    /** Whether this instance reaches no server, while others do. */
    readonly isCutOff: () => boolean;
    /** Returns the number of attempts of others that this instance carries. */
    readonly countHelped: () => number;
    readonly handleMessage: (message: ForwardingMessage) => Promise<ForwardingMessage | undefined>;
    /** Does what is due; must be called regularly. */
    readonly tick: () => void;
}

/** Instances of the own failure domain, and of others, that are asked at a time. */
const askedOfDomain = 2;
const askedOfOthers = 2;
/** Servers of which others are asked whether they reach them, while this instance is cut off. */
const askedServers = 16;
const askTimeoutMilliseconds = 150;
/** Larger bodies aren't sent through another instance, as a message between instances has a limit. */
const maximumBodyBytes = 1_048_576;
/** Time between two rounds of questions. */
const confirmIntervalMilliseconds = 300;
const probeIntervalMilliseconds = 500;
/** Time for which a helper is used without being asked again. */
const helperLifetimeMilliseconds = 1_500;
const log = createLogger("forwarding");

/**
 * Creates the connections.
 *
 * @param options - direct connections, the other instances and the servers
 * @returns the connections; the caller closes them
 */
export function createForwardingConnections(options: ForwardingOptions): ForwardingConnections {
    const { clock, network, random, direct } = options;
    const reach = createReach();
    const helpers = new Map<InstanceId, Milliseconds>();
    let isCutOff = false;
    let confirmedAt = Number.NEGATIVE_INFINITY;
    let probedAt = Number.NEGATIVE_INFINITY;
    let pendingRound: Promise<boolean> | undefined;
    let lastAttempt = 0;
    const service = createForwardService({
        clock,
        connections: direct,
        findServer: options.findServer,
        isReaching: () => !isCutOff,
        isStopping: options.isStopping,
        ...options.answerMemory && { answerMemory: options.answerMemory },
    });
    const pickSome = (candidates: readonly HelperCandidate[], count: number): readonly InstanceId[] => {
        const rest = [...candidates];
        const picked: InstanceId[] = [];
        while (rest.length > 0 && picked.length < count) {
            picked.push(rest.splice(Math.floor(random.next() * rest.length), 1)[0]!.id);
        }
        return picked;
    };
    const pickCandidates = (): readonly InstanceId[] => {
        const candidates = options.listCandidates();
        const isNear = (candidate: HelperCandidate): boolean => candidate.failureDomain === options.failureDomain;
        return [
            ...pickSome(candidates.filter(isNear), askedOfDomain),
            ...pickSome(candidates.filter(candidate => !isNear(candidate)), askedOfOthers),
        ];
    };
    const requestReach = async (
        candidate: InstanceId,
        runs: readonly ServerRunId[],
        age: Milliseconds,
    ): Promise<boolean> => {
        const message: ForwardingMessage = { kind: "askReach", runs: [...runs], age };
        const response = await network.request(candidate, "forwarding", message, askTimeoutMilliseconds);
        const answer = response.ok ? forwardingMessageSchema.safeParse(response.value) : undefined;
        const data = answer?.success ? answer.data : undefined;
        const isReaching = data?.kind === "reach" && data.reached.length > 0;
        if (data?.kind === "reach" && isReaching && data.hasRoom) {
            helpers.set(candidate, clock.now() + helperLifetimeMilliseconds);
        }
        return isReaching;
    };
    // whether others reach servers that this instance doesn't reach
    const checkReach = async (runs: readonly ServerRunId[], age: Milliseconds): Promise<boolean> => {
        confirmedAt = clock.now();
        const answers = await Promise.all(pickCandidates().map(candidate => requestReach(candidate, runs, age)));
        return answers.includes(true);
    };
    const checkCut = (): Promise<boolean> => {
        const suspects = reach.listSuspects(options.listServers().length);
        if (suspects.length === 0 || isCutOff) {
            return Promise.resolve(isCutOff);
        }
        if (!pendingRound && clock.now() - confirmedAt < confirmIntervalMilliseconds) {
            return Promise.resolve(false);
        }
        // an older response of a server doesn't show that it hasn't ended since
        const age = clock.now() - reach.readUnreachedSince();
        pendingRound ??= checkReach(suspects, age).then(isConfirmed => {
            if (isConfirmed && !isCutOff) {
                isCutOff = true;
                log.warn("servers out of reach", { suspects: suspects.length, helpers: [...helpers.keys()].join() });
            }
            return isConfirmed;
        }).finally(() => pendingRound = undefined);
        return pendingRound;
    };
    const isAllowed = (id: InstanceId, homes: Homes): boolean => {
        const candidate = options.listCandidates().find(other => other.id === id);
        return candidate !== undefined && options.mayCarry?.(candidate.failureDomain, homes) !== false;
    };
    const pickHelper = ({ homes }: AttemptRequest): InstanceId | undefined => {
        const now = clock.now();
        const usable = [...helpers]
            .filter(([id, until]) => until > now && (homes === undefined || isAllowed(id, homes)))
            .map(([id]) => id);
        return usable[Math.floor(random.next() * usable.length)];
    };
    const sendDirectly = (request: AttemptRequest, handlers: AttemptHandlers): Attempt => {
        const run = formatServerRunId(request.server);
        let isOver = false;
        let hasHead = false;
        const handleFault = (fault: AttemptFault): void => {
            if (fault.kind === "notSent" || (fault.kind === "broken" && !hasHead && !fault.isNoAnswer)) {
                reach.markUnreached(run, clock.now());
            }
            if (fault.kind !== "notSent") {
                handlers.onFault(fault);
                return;
            }
            const deliverFault = (isConfirmed: boolean): void => {
                if (!isOver) {
                    isOver = true;
                    handlers.onFault(isConfirmed ? { kind: "rerouted", detail: fault.detail } : fault);
                }
            };
            startTask("check of the reach", async () => deliverFault(await checkCut()), () => deliverFault(false));
        };
        const attempt = direct.send(request, {
            ...handlers,
            onHead: head => {
                hasHead = true;
                reach.markReached(run, clock.now());
                handlers.onHead(head);
            },
            onFault: handleFault,
        });
        return {
            ...attempt,
            abort: () => {
                isOver = true;
                attempt.abort();
            },
        };
    };
    const sendThrough = (helper: InstanceId, request: AttemptRequest, handlers: AttemptHandlers): Attempt => {
        lastAttempt++;
        options.onForwarded();
        return sendThroughInstance({ network, helper, clock }, `${options.runId} ${lastAttempt}`, request, {
            ...handlers,
            onHead: head => {
                if (head.isLeaving) {
                    options.onLeaving(request.server);
                }
                handlers.onHead(head);
            },
            onFault: fault => {
                if (fault.kind === "rerouted" || fault.kind === "broken") {
                    helpers.delete(helper);
                }
                handlers.onFault(fault);
            },
        });
    };
    const checkAgain = async (): Promise<void> => {
        probedAt = clock.now();
        const servers = options.listServers();
        const server = servers[Math.floor(random.next() * servers.length)];
        if (server && await options.probe(server) && isCutOff) {
            isCutOff = false;
            helpers.clear();
            reach.markReached(formatServerRunId(server), clock.now());
            log.info("servers in reach again", { run: formatServerRunId(server) });
        }
    };
    // the permit of a cold server is void before a helper has sent the request, whatever build that has
    const withdrawPaced = (handlers: AttemptHandlers): Attempt => {
        const pending = setImmediate(() =>
            handlers.onFault({ kind: "withdrawn", detail: "a cold server isn't reached through another instance" })
        );
        return { abort: () => clearImmediate(pending), pause: () => undefined, resume: () => undefined };
    };
    return {
        send: (request, handlers) => {
            if (isCutOff && request.isPaced) {
                return withdrawPaced(handlers);
            }
            const isSmall = (request.body?.length ?? 0) <= maximumBodyBytes;
            // what can't be sent is a fault of the request, not of a helper that would refuse it
            const isSendable = findRequestFault(request) === undefined;
            const helper = isCutOff && isSmall && isSendable ? pickHelper(request) : undefined;
            return helper === undefined ? sendDirectly(request, handlers) : sendThrough(helper, request, handlers);
        },
        remove: run => {
            reach.remove(run);
            direct.remove(run);
        },
        close: direct.close,
        isCutOff: () => isCutOff,
        countHelped: service.countAttempts,
        handleMessage: async message => {
            switch (message.kind) {
                case "askReach":
                    return {
                        kind: "reach",
                        reached: [...reach.filterReached(message.runs, clock.now() - message.age)],
                        hasRoom: service.hasRoom(),
                    };
                case "start":
                    return service.start(message);
                case "read":
                    return service.read(message.id);
                case "keep":
                    service.keep(message.id);
                    return undefined;
                case "abort":
                    service.abort(message.id);
                    return { kind: "aborted" };
                case "reach":
                case "aborted":
                case "events":
                case "refused":
                    return undefined;
            }
        },
        tick: () => {
            const now = clock.now();
            service.expire(now);
            if (!isCutOff) {
                return;
            }
            if (now - probedAt >= probeIntervalMilliseconds) {
                startTask("check of the reach", checkAgain);
            }
            if (now - confirmedAt >= confirmIntervalMilliseconds) {
                const runs = options.listServers().slice(0, askedServers).map(formatServerRunId);
                startTask("check of the reach", () => checkReach(runs, helperLifetimeMilliseconds));
            }
        },
    };
}
