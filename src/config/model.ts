/**
 * Defines the settings tree as a state that is replicated through the configuration stream.
 *
 * @packageDocumentation
 */
import type { RecordPosition, StreamModel } from "../streams/index.js";
import {
    advanceOffset,
    applyChange,
    createSettingsState,
    createSnapshot,
    type Decision,
    restoreState,
    type SettingsState,
} from "./acceptRule.js";
import {
    type ConfigurationChange,
    configurationChangeSchema,
    configurationFormat,
    type SettingsPart,
    settingsPartSchema,
} from "./records.js";

/** A change read from the log, with its decision. */
export interface DecidedChange extends RecordPosition {
    readonly change: ConfigurationChange;
    readonly decision: Decision;
}

const entriesPerPart = 250;

/** Encoding, state transitions and snapshots of the configuration stream. */
export const configurationModel: StreamModel<SettingsState, ConfigurationChange, SettingsPart, DecidedChange> = {
    stream: "configuration",
    format: configurationFormat,
    changeSchema: configurationChangeSchema,
    partSchema: settingsPartSchema,
    createState: createSettingsState,
    applyChange: (state, position, change) => ({
        ...position,
        change,
        decision: applyChange(state, position.offset, change),
    }),
    advanceOffset,
    listParts: state => splitSnapshot(createSnapshot(state)),
    restoreState,
};

function splitSnapshot(snapshot: SettingsPart): readonly SettingsPart[] {
    const parts: SettingsPart[] = [];
    const count = Math.max(snapshot.entries.length, snapshot.settled.length, 1);
    for (let start = 0; start < count; start += entriesPerPart) {
        const end = start + entriesPerPart;
        parts.push({ entries: snapshot.entries.slice(start, end), settled: snapshot.settled.slice(start, end) });
    }
    return parts;
}
