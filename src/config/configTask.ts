/**
 * The task that follows the configuration stream and provides the current settings to the rest of the instance.
 *
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { LogService } from "../backends/index.js";
import type { PeerNetwork } from "../peers/index.js";
import type { Clock, InstanceId, Milliseconds } from "../shared/index.js";
import { createStreamFollower, type FollowerSettings, type FollowerStatus } from "../streams/index.js";
import { startTask, type Task } from "../supervision/index.js";
import { readResolvedSettings, type SettingsState } from "./acceptRule.js";
import { configurationModel, type DecidedChange } from "./model.js";
import type { ResolvedSettings, SettingsView } from "./resolvedSettings.js";

/** Dependencies and settings of a configuration task. */
export interface ConfigTaskOptions extends FollowerSettings {
    /** Identifier of this instance. */
    readonly instance: InstanceId;
    readonly log: LogService;
    readonly peers: PeerNetwork;
    readonly clock: Clock;
    /** Live instances of all regions. */
    readonly listPeers: () => readonly InstanceId[];
    /** Live instances of this instance's region; the result of `listPeers` when unset. */
    readonly listRegionPeers?: () => readonly InstanceId[];
}

/** State of the configuration task, as shown on the status page. */
export interface ConfigStatus extends FollowerStatus {
    /** Number of nodes in the settings tree; 0 before the first complete tree. */
    readonly nodes: number;
}

/** A task that follows the configuration stream. */
export interface ConfigTask extends Task {
    /** The current settings, for the other tasks of this instance. */
    readonly view: SettingsView;
    readonly readStatus: (now: Milliseconds) => ConfigStatus;
    /**
     * Calls the listener with each change read from the log and its decision, until the returned function is called.
     */
    readonly subscribeToDecisions: (listener: (change: DecidedChange) => void) => () => void;
}

interface ConfigEvents {
    readonly settings: ResolvedSettings;
    readonly decided: DecidedChange;
}

/**
 * Time for which a peer may delay its response while it has no new records (long polling). It is longer than the default
 * of the stream follower, which saves requests to peers; no decision depends on how recently the tree was confirmed to
 * be current.
 */
const defaultRelayWaitMilliseconds = 2_000;

/**
 * Creates the configuration task.
 *
 * @param options - the log, the peers and the settings of the stream follower
 * @returns a task for the caller to supervise; its `view` reads as `undefined` until the first complete tree was read
 */
export function createConfigTask(options: ConfigTaskOptions): ConfigTask {
    const events = new Emittery<ConfigEvents>();
    let currentSettings: ResolvedSettings | undefined;

    const updateSettings = (state: SettingsState): void => {
        const previous = currentSettings;
        const next = readResolvedSettings(state);
        currentSettings = next;
        if (!previous || isChanged(previous, next)) {
            startTask("listeners of settings", () => events.emit("settings", next));
        }
    };
    const follower = createStreamFollower({
        relayWaitFor: defaultRelayWaitMilliseconds,
        ...options,
        model: configurationModel,
        listRegionPeers: options.listRegionPeers ?? options.listPeers,
        requestFromPeer: async (peer, message, timeout) => {
            const answer = await options.peers.request(peer, "config", message, timeout);
            return answer.ok ? answer.value : undefined;
        },
        handleEvent: change => startTask("listeners of decided changes", () => events.emit("decided", change)),
        handleState: updateSettings,
        handleConfirmation: () => undefined,
    });
    options.peers.handle("config", (from, message) => follower.serve(message));
    return {
        name: "config",
        run: follower.run,
        view: { read: () => currentSettings, subscribe: listener => events.on("settings", listener) },
        subscribeToDecisions: listener => events.on("decided", listener),
        readStatus: now => ({ ...follower.readStatus(now), nodes: follower.readState()?.tree.size() ?? 0 }),
    };
}

function isChanged(previous: ResolvedSettings, next: ResolvedSettings): boolean {
    return previous.accounts !== next.accounts
        || previous.keys !== next.keys
        || previous.routes !== next.routes
        || previous.adapters !== next.adapters
        || previous.weightStore !== next.weightStore;
}
