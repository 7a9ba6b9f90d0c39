/**
 * Keeps requests that end servers from reaching more of them: connects the request path, the deciding
 * instance and the records in the platform's store.
 *
 * @packageDocumentation
 */
import type { ShardHolders } from "../adapters/shardHolders.js";
import type { PeerNetwork } from "../peers/index.js";
import type { KeyedLog, KeyedRecord, ServerRunId } from "../serving/types.js";
import type { Clock, InstanceId, Milliseconds } from "../shared/index.js";
import { startTask } from "../supervision/index.js";
import { createCrashReporter } from "./crashReporter.js";
import { type CrashReport, type QuarantineMessage, quarantineMessageSchema } from "./messages.js";
import { createQuarantineDecider } from "./quarantineDecider.js";
import { createQuarantineList, type KnownQuarantine, type QuarantineDecision } from "./quarantineList.js";
import type { BrokenRequest, GuardedRequest, QuarantineScope, ServerBreak } from "./types.js";

/** Dependencies of the guard. */
export interface RequestGuardOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly holders: ShardHolders;
    /** Whether this instance holds a shard. */
    readonly isHeld: (shard: number) => boolean;
    readonly append: KeyedLog["append"];
}

/** Guard of one instance. */
export interface RequestGuard {
    readonly decide: (request: GuardedRequest, now: Milliseconds) => QuarantineDecision;
    /** Asks the deciding instance whether a request may be sent whose quarantine has lasted its time. */
    readonly requestTrial: (scope: QuarantineScope) => Promise<boolean>;
    /** Records that a server broke off a request at the beginning of its answer, or before it. */
    readonly markBroken: (
        server: Pick<ServerBreak, "run" | "service">,
        request: GuardedRequest,
        now: Milliseconds,
    ) => void;
    /** Records that a server began to answer a request that was sent at `sentAt`. */
    readonly markServerAnswered: (run: ServerRunId, sentAt: Milliseconds, now: Milliseconds) => void;
    /** Records an answer that is complete or has gone on for a while. */
    readonly markAnswered: (request: GuardedRequest, beganAt: Milliseconds) => void;
    readonly handleMessage: (
        from: InstanceId,
        message: QuarantineMessage,
    ) => QuarantineMessage | undefined | Promise<QuarantineMessage>;
    /** Replaces all quarantines by those of a snapshot of the store. */
    readonly replaceAll: (records: readonly KeyedRecord[]) => void;
    readonly applyRecord: (record: KeyedRecord) => void;
    /** Records quarantines that the store has lost; the deciding instance writes them again. */
    readonly markLost: (records: readonly KeyedRecord[]) => void;
    /** Sends what is to be reported, and decides where this instance does; call it regularly. */
    readonly tick: () => void;
}

/** Shard whose holder decides. */
const deciderShard = 0;
const deciderTimeoutMilliseconds = 350;
/** Time in which requests that broke off together are collected. */
const collectMilliseconds = 40;

/**
 * Creates the guard of an instance.
 *
 * @param options - the other instances and the store
 * @returns the guard, without quarantines
 */
export function createRequestGuard(options: RequestGuardOptions): RequestGuard {
    const { clock, holders, network, self } = options;
    const list = createQuarantineList();
    const reporter = createCrashReporter(scope => list.find(scope) !== undefined);
    const decider = createQuarantineDecider({
        list,
        publish: async (key, value) => (await options.append("quarantines", key, value)).ok,
        now: clock.now,
    });
    const lost = new Map<string, Uint8Array>();
    let isRestoring = false;
    let isReporting = false;
    let isCollecting = false;
    const isDecider = (): boolean => options.isHeld(deciderShard);
    const trackAdded = (added: readonly KnownQuarantine[]): void =>
        added.forEach(quarantine => reporter.trackQuarantine(quarantine, clock.now()));
    const sendToDecider = async (message: QuarantineMessage): Promise<QuarantineMessage | undefined> => {
        const holder = holders.find(deciderShard);
        if (holder === undefined || holder === self || holders.isSilent(holder)) {
            startTask("holders of shards", holders.refresh);
            return undefined;
        }
        const response = await network.request(holder, "quarantines", message, deciderTimeoutMilliseconds);
        if (!response.ok) {
            holders.markSilent(holder, response.error.kind === "unreachable" ? "unreachable" : "timeout");
        }
        const parsed = response.ok ? quarantineMessageSchema.safeParse(response.value) : undefined;
        if (!parsed?.success || parsed.data.kind === "notDecider") {
            startTask("holders of shards", holders.refresh);
            return undefined;
        }
        return parsed.data;
    };
    const deliver = async (report: CrashReport): Promise<readonly QuarantineScope[] | undefined> => {
        if (isDecider()) {
            return decider.receiveReport(report, clock.now());
        }
        const response = await sendToDecider(report);
        return response?.kind === "suspects"
            ? response.scopes
            : undefined;
    };
    const findReceiver = (): InstanceId | undefined => isDecider() ? self : holders.find(deciderShard);
    const sendReport = async (): Promise<void> => {
        if (isReporting || !reporter.hasNews(clock.now())) {
            return;
        }
        isReporting = true;
        try {
            await sendNews();
        }
        finally {
            isReporting = false;
        }
    };
    const sendNews = async (): Promise<void> => {
        // an instance that has asked no holder so far knows none
        if (findReceiver() === undefined) {
            await holders.refresh();
        }
        const receiver = findReceiver();
        const message = receiver === undefined ? undefined : reporter.createReport(receiver, clock.now());
        const suspects = message && await deliver(message);
        if (receiver !== undefined && message && suspects) {
            reporter.markReceived(receiver, message);
            reporter.watchScopes(suspects, clock.now());
        }
    };
    const collectReport = async (): Promise<void> => {
        if (!isCollecting) {
            isCollecting = true;
            try {
                await clock.sleep(collectMilliseconds);
            }
            finally {
                isCollecting = false;
            }
            await sendReport();
        }
    };
    const writeLost = async (): Promise<void> => {
        for (const [key, value] of [...lost]) {
            // one that was lifted or written meanwhile isn't lost any more
            if (lost.has(key) && !(await options.append("quarantines", key, value)).ok) {
                return;
            }
            lost.delete(key);
        }
    };
    const restoreLost = async (): Promise<void> => {
        if (isRestoring || lost.size === 0) {
            return;
        }
        isRestoring = true;
        try {
            await writeLost();
        }
        finally {
            isRestoring = false;
        }
    };
    return {
        decide: list.decide,
        requestTrial: async scope => {
            if (isDecider()) {
                return decider.grantTrial(scope, clock.now());
            }
            const response = await sendToDecider({ kind: "askTrial", scope });
            return response?.kind === "trial" && response.isGranted;
        },
        markBroken: (server, request, now) => {
            reporter.markBroken(server, describeBroken(request), now);
            startTask("report of broken requests", collectReport);
        },
        markServerAnswered: reporter.markServerAnswered,
        markAnswered: (request, beganAt) => {
            const { account, digest, shared } = describeBroken(request);
            reporter.markAnswered({ account, digest, shared, beganAt });
        },
        handleMessage: (from, message) => {
            holders.markResponsive(from);
            switch (message.kind) {
                case "report":
                    return isDecider()
                        ? { kind: "suspects", scopes: [...decider.receiveReport(message, clock.now())] }
                        : { kind: "notDecider" };
                case "askTrial":
                    return isDecider()
                        ? decider.grantTrial(message.scope, clock.now())
                            .then(isGranted => ({ kind: "trial", isGranted }))
                        : { kind: "notDecider" };
                case "suspects":
                case "trial":
                case "notDecider":
                    return undefined;
            }
        },
        replaceAll: records => trackAdded(list.replaceAll(records, clock.now())),
        markLost: records => {
            lost.clear();
            records.forEach(({ key, value }) => value && lost.set(key, value));
        },
        applyRecord: record => {
            lost.delete(record.key);
            const added = list.apply(record, clock.now());
            trackAdded(added ? [added] : []);
        },
        tick: () => {
            startTask("report of broken requests", sendReport);
            if (isDecider()) {
                startTask("quarantines", () => decider.update(clock.now()));
                startTask("lost quarantines", restoreLost);
            }
        },
    };
}

function describeBroken({ prompt, account, digest }: GuardedRequest): BrokenRequest {
    return { account, digest, own: prompt?.own ?? "", shared: prompt?.shared ?? [] };
}
