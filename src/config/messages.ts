/**
 * Messages between the configuration tasks of two instances.
 *
 * @packageDocumentation
 */
import type { StreamMessage } from "../streams/index.js";
import type { SettingsPart } from "./records.js";

/** Message of a configuration task: requests for records and snapshots, and the responses to them. */
export type ConfigMessage = StreamMessage<SettingsPart>;
