/**
 * The task that keeps the tree in force.
 *
 * @packageDocumentation
 */
import Emittery from "emittery";
import type { LogService } from "../backends/index.js";
import type { PeerNetwork } from "../peers/index.js";
import type { Clock, InstanceId, Milliseconds } from "../shared/index.js";
import { createStreamFollower, type FollowerSettings, type FollowerStatus } from "../streams/index.js";
import type { Task } from "../supervision/index.js";
import { readResolvedSettings, type SettingsState } from "./acceptRule.js";
import { configurationModel, type DecidedChange } from "./model.js";
import type { ResolvedSettings, SettingsView } from "./resolvedSettings.js";

/** What a configuration task needs. */
export interface ConfigTaskOptions extends FollowerSettings {
    readonly instance: InstanceId;
    readonly log: LogService;
    readonly peers: PeerNetwork;
    readonly clock: Clock;
    /** Live instances of all regions. */
    readonly listPeers: () => readonly InstanceId[];
    /** Live instances of this instance's region; those of `listPeers` when unset. */
    readonly listRegionPeers?: () => readonly InstanceId[];
}

/** How the configuration of an instance is. */
export interface ConfigStatus extends FollowerStatus {
    readonly nodes: number;
}

/** The configuration task. */
export interface ConfigTask extends Task {
    readonly view: SettingsView;
    readonly readStatus: (now: Milliseconds) => ConfigStatus;
    /** Tells of each change that the log held, with what was decided of it. */
    readonly subscribeToDecisions: (listener: (change: DecidedChange) => void) => () => void;
}

interface ConfigEvents {
    readonly settings: ResolvedSettings;
    readonly decided: DecidedChange;
}

/** Nothing depends on how long ago the tree was confirmed, so fewer questions do. */
const defaultRelayWaitMilliseconds = 2_000;

/**
 * Creates the configuration task.
 *
 * @param options - what it needs
 * @returns a task to supervise, and the view that the other parts read
 */
export function createConfigTask(options: ConfigTaskOptions): ConfigTask {
    const events = new Emittery<ConfigEvents>();
    let currentSettings: ResolvedSettings | undefined;

    const updateSettings = (state: SettingsState): void => {
        const previous = currentSettings;
        currentSettings = readResolvedSettings(state);
        if (!previous || isChanged(previous, currentSettings)) {
            void events.emit("settings", currentSettings);
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
        handleEvent: change => void events.emit("decided", change),
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
