/**
 * Follows the settings file of a running process: bounds that have changed are taken up, what can't change while the
 * process runs is named in the log once, and a file that can't be used leaves all as it was.
 *
 * @packageDocumentation
 */
import { isDeepStrictEqual } from "node:util";
import type { Logger } from "../shared/index.js";
import { decodeSettings, type PlatformBounds, type PlatformSettings } from "./settings.js";

/** What a new file means for the running process. */
export interface SettingsChange {
    /** Bounds from now on. */
    readonly bounds: PlatformBounds;
    /** Paths of the fields in the file whose new values are used only after a restart. */
    readonly needingRestart: readonly string[];
}

/** Settings of the follower. */
export interface SettingsFollowerOptions {
    /** Settings with which the process has started. */
    readonly started: PlatformSettings;
    /** Content of the file from which they were decoded. */
    readonly text: string;
    /** Reads the file; rejects when it can't be read. */
    readonly readText: () => Promise<string>;
    /** Called with bounds that differ from those before. */
    readonly onBounds: (bounds: PlatformBounds) => void;
    readonly log: Pick<Logger, "info" | "warn">;
}

/** Follower of the file. */
export interface SettingsFollower {
    /** Looks at the file now; call it regularly, as the file may change without a signal. */
    readonly check: () => Promise<void>;
}

/** Paths in the file of what is fixed at the start. Whether the whole system starts concerns the start alone. */
const fixedFieldPaths: Readonly<Record<Exclude<keyof PlatformSettings, "bounds" | "isFirstStart">, string>> = {
    instanceName: "node_name",
    host: "ip_address",
    failureDomain: "zone",
    region: "region",
    regionsByDomain: "zones",
    clientAddress: "listen_addresses.front",
    readinessAddress: "listen_addresses.ready",
    peerPort: "internal_ports",
    storeAddress: "platform.address",
    cores: "limits",
    engineShardCount: "platform.parts",
    minimumMembershipTtl: "platform.min_ttl_ms",
    serverHeartbeatInterval: "heartbeat_ms",
};
/** The window in which retries are counted is fixed too: counts of one length say nothing of another. */
const retryWindowPath = "bounds.budget_window_s";

/**
 * Decides what a new file changes.
 *
 * @param started - settings with which the process has started
 * @param next - settings of the new file
 * @returns the bounds from now on, and what needs a restart
 */
export function decideSettingsChange(started: PlatformSettings, next: PlatformSettings): SettingsChange {
    const { retryWindow } = started.bounds;
    const fields = Object.keys(fixedFieldPaths) as (keyof typeof fixedFieldPaths)[];
    const changed = fields.filter(field => !isDeepStrictEqual(started[field], next[field]))
        .map(field => fixedFieldPaths[field]);
    return {
        bounds: { ...next.bounds, retryWindow },
        needingRestart: next.bounds.retryWindow === retryWindow ? changed : [...changed, retryWindowPath],
    };
}

/**
 * Creates the follower.
 *
 * @param options - the file and the settings at the start
 * @returns the follower, which does nothing before `check`
 */
export function createSettingsFollower(options: SettingsFollowerOptions): SettingsFollower {
    const { log, started } = options;
    const namedPaths = new Set<string>();
    let { bounds } = started;
    // `undefined` when it couldn't be read
    let text: string | undefined = options.text;
    let checking: Promise<void> | undefined;
    let isAskedAgain = false;
    const applyBounds = (next: PlatformBounds): void => {
        const names = Object.keys(next) as (keyof PlatformBounds)[];
        const changed = names.filter(name => next[name] !== bounds[name]);
        if (changed.length > 0) {
            bounds = next;
            options.onBounds(next);
            log.info("settings changed", Object.fromEntries(changed.map(name => [name, next[name]])));
        }
    };
    const recordPaths = (paths: readonly string[]): void => {
        const unnamed = paths.filter(path => !namedPaths.has(path));
        if (unnamed.length > 0) {
            unnamed.forEach(path => namedPaths.add(path));
            log.warn("settings need a restart", { fields: unnamed });
        }
    };
    const applyText = (next: string): void => {
        const decoded = decodeSettings(next);
        if (!decoded.ok) {
            log.warn("settings refused", { detail: decoded.error.detail });
            return;
        }
        const change = decideSettingsChange(started, decoded.value);
        applyBounds(change.bounds);
        recordPaths(change.needingRestart);
    };
    const readAndApply = async (): Promise<void> => {
        const previous = text;
        try {
            text = await options.readText();
        }
        catch (error) {
            text = undefined;
            if (previous !== undefined) {
                log.warn("settings refused", { detail: (error as NodeJS.ErrnoException).code ?? String(error) });
            }
        }
        if (text !== undefined && text !== previous) {
            applyText(text);
        }
    };
    // what is being read may be older than the change that a further check was asked for
    const checkUntilNewest = async (): Promise<void> => {
        do {
            isAskedAgain = false;
            await readAndApply();
        }
        while (isAskedAgain);
    };
    return {
        check: () => {
            isAskedAgain = checking !== undefined;
            checking ??= checkUntilNewest().finally(() => checking = undefined);
            return checking;
        },
    };
}
