/**
 * Asks other instances which configuration they use. An instance that runs knows more than a store that has come back from
 * an older copy; one that has just started, or that was frozen or cut off, knows less than the others.
 *
 * @packageDocumentation
 */
import { type Clock, createLogger, type InstanceId, type Milliseconds, type SeededRandom } from "../shared/index.js";
import { runTask, type Task } from "../supervision/index.js";
import { rewriteMilliseconds } from "./eraSettling.js";
import type { RelayMessage } from "./relayMessages.js";
import { type StoreEra, type StoreEras, waitForRise } from "./storeEras.js";
import type { KeyedRecord } from "./types.js";

/** Dependencies of the inquiry. */
export interface ConfigurationInquiryOptions {
    readonly clock: Clock;
    readonly random: SeededRandom;
    readonly eras: StoreEras;
    /** Whether the whole system starts for the first time, so that nobody knows anything yet. */
    readonly isFirstStart: boolean;
    /** The other instances; `undefined` before they are known. */
    readonly listOthers: () => readonly InstanceId[] | undefined;
    /** Asks another instance; `undefined` when it doesn't respond in time. */
    readonly ask: (
        other: InstanceId,
        message: RelayMessage,
        timeout: Milliseconds,
    ) => Promise<RelayMessage | undefined>;
    /** Called with the record of a configuration that another instance uses. */
    readonly onRecord: (record: KeyedRecord) => void;
}

/** Inquiry of one instance. */
export interface ConfigurationInquiry {
    /** Asks the others after each rise of the store's era, and at a start. */
    readonly task: Task;
    /** Whether this instance has just started, and the others haven't answered yet. */
    readonly isAsking: () => boolean;
    /** Remembers the record of the configuration in force here, for those that ask. */
    readonly remember: (version: number, record: KeyedRecord) => void;
    /** Answers another instance, which uses the given version. */
    readonly answer: (version: number | undefined) => RelayMessage;
    /** Time, on the monotonic clock, at which others first saw an era, as far as they have answered. */
    readonly findSeenAt: (era: StoreEra) => Milliseconds | undefined;
}

/** Instances that are asked at a time. */
const askedInstances = 8;
const askTimeoutMilliseconds = 350;
/** Time for which a start waits for the list of the other instances. */
const directoryWaitMilliseconds = 1_000;
const directoryPollMilliseconds = 10;
const log = createLogger("serving");

/**
 * Creates the inquiry.
 *
 * @param options - eras of the store and the other instances
 * @returns the inquiry, whose task the caller runs
 */
export function createConfigurationInquiry(options: ConfigurationInquiryOptions): ConfigurationInquiry {
    const { clock, eras, random } = options;
    let remembered: { readonly version: number; readonly record: KeyedRecord; } | undefined;
    let seen: { readonly era: StoreEra; readonly at: Milliseconds; } | undefined;
    let isStarting = !options.isFirstStart;
    const requestFrom = async (other: InstanceId): Promise<boolean> => {
        const message = { kind: "askConfiguration", version: remembered?.version } as const;
        const answer = await options.ask(other, message, askTimeoutMilliseconds);
        if (answer?.kind !== "configuration") {
            return false;
        }
        recordEra(answer.era, answer.eraAge);
        if (answer.record) {
            const [key, value, offset] = answer.record;
            options.onRecord({ key, value, offset });
        }
        return true;
    };
    const recordEra = (era: StoreEra | undefined, age: Milliseconds | undefined): void => {
        if (era !== undefined && age !== undefined && era === eras.read()) {
            const at = clock.now() - age;
            seen = { era, at: seen?.era === era ? Math.min(seen.at, at) : at };
            // the others, of which some may be silent, need not be waited for
            isStarting &&= age < rewriteMilliseconds;
        }
    };
    const requestFromOthers = async (): Promise<void> => {
        const others = [...await waitForOthers()];
        const asked = others.map(other => ({ other, order: random.next() }))
            .sort((left, right) => left.order - right.order)
            .slice(0, askedInstances)
            .map(({ other }) => other);
        const answered = await Promise.all(asked.map(requestFrom));
        log.info("configuration asked of others", {
            era: eras.read(),
            asked: asked.length,
            answered: answered.filter(Boolean).length,
        });
    };
    const waitForOthers = async (): Promise<readonly InstanceId[]> => {
        const until = clock.now() + directoryWaitMilliseconds;
        while (!options.listOthers() && clock.now() < until) {
            await clock.sleep(directoryPollMilliseconds);
        }
        return options.listOthers() ?? [];
    };
    const run = async (signal: AbortSignal): Promise<void> => {
        // a system that starts for the first time has nothing to lose in its first era
        let isSkipped = options.isFirstStart;
        for (let asked = 0; !signal.aborted;) {
            await waitForRise(eras, asked, signal);
            asked = eras.countRises();
            if (!signal.aborted && !isSkipped) {
                await runTask("inquiry", requestFromOthers);
            }
            isSkipped = false;
            isStarting = false;
        }
    };
    return {
        task: { name: "inquiry", run },
        isAsking: () => isStarting,
        remember: (version, record) => {
            remembered = { version, record };
        },
        answer: version => ({
            kind: "configuration",
            ...remembered && (version === undefined || remembered.version > version) &&
                { record: [remembered.record.key, remembered.record.value, remembered.record.offset] },
            // one that has just started knows no more of the era than the one that asks
            ...remembered && eras.read() > 0 &&
                { era: eras.read(), eraAge: Math.max(0, clock.now() - eras.readSeenAt()) },
        }),
        findSeenAt: era => seen?.era === era ? seen.at : undefined,
    };
}
