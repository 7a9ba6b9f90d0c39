/**
 * The product's placement as a policy of the bench: all instances with their decisions, over messages.
 *
 * @packageDocumentation
 */
import type { ListedEngine } from "../../backends/index.js";
import type { ResolvedSettings } from "../../config/index.js";
import { createFrameCodec } from "../../peers/index.js";
import { defaultPlacementTimes, type PlacementMessage } from "../../placement/index.js";
import { createFleetBudget } from "./fleetBudget.js";
import { createFleetPlatform } from "./fleetPlatform.js";
import { createPlacementFleet } from "./placementFleet.js";
import type { FoundPlace, PlacementPolicy, PolicyContext } from "./scenario.js";
import { type Arrival, drawLearned, engineSize } from "./workload.js";

const platformTimes = { leaseDuration: 5_000, renewInterval: 1_000 };
const advanceIntervalMilliseconds = 100;
const tickIntervalMilliseconds = 50;
const answerTimeoutMilliseconds = 15_000;
const deadlineMilliseconds = 600_000;
/** One message of so many is encoded to measure it. */
const messagesOfSample = 37;
const pool = "drafting";
const baseModel = "base";

/**
 * Creates the policy.
 *
 * @param context - what it runs on
 * @returns the policy
 */
export function createOurPolicy(context: PolicyContext): PlacementPolicy {
    const { history, engines, site } = context;
    const ids = engines.list().map(model => model.readReport(0).engine);
    const listed = ids.map((id): ListedEngine => ({
        kind: "engine",
        id,
        address: id,
        failureDomain: "d1",
        region: "r1",
        state: "live",
        baseModel,
        pool,
        adapterSlots: engineSize.adapterSlots,
        batchLimit: engineSize.batchLimit,
        fencing: "ignored",
    }));
    const adapters = Array.from({ length: site.adapters }, (unused, index) => `a${index}`);
    const settings: ResolvedSettings = {
        appliedOffset: 0,
        accounts: new Map(),
        keys: new Map(),
        routes: new Map(),
        adapters: new Map(adapters.map(id => [id, { id, version: "1", baseModel }])),
        weightStore: site.store,
    };
    const instances = Array.from({ length: site.instances }, (unused, index) => `i${index + 1}`);
    const platform = createFleetPlatform(history, ids, platformTimes);
    const fleet = createPlacementFleet({
        history,
        platform,
        budget: createFleetBudget(history, site.store),
        engines,
        listed,
        readSettings: () => settings,
        times: defaultPlacementTimes,
        faults: { lateRate: 0, longestDelay: 1, lossRate: 0, answerTimeout: answerTimeoutMilliseconds },
        tickInterval: tickIntervalMilliseconds,
        renewInterval: platformTimes.renewInterval,
        isConnected: () => true,
        recordMessage: message => recordMessage(message),
    });
    const codec = createFrameCodec();
    let messages = 0;
    let sampledBytes = 0;
    const recordMessage = (message: PlacementMessage): void => {
        if (messages++ % messagesOfSample === 0) {
            sampledBytes += codec.encode({ kind: "message", topic: "placement", body: message }).length;
        }
    };
    const advancePlatform = (): void => {
        platform.advance();
        history.schedule(advanceIntervalMilliseconds, advancePlatform);
    };
    instances.forEach(fleet.start);
    advancePlatform();
    drawLearned(site, context.seed).forEach(({ adapter, ago }, index) => {
        const arrivals = [{ adapter, interactive: 1, overnight: 0 }];
        const message = { kind: "demand", pool, sequence: index, waiting: [], arrivals } as const;
        instances.forEach(instance => fleet.find(instance)!.handleMessage("before", message, -ago));
    });
    let turn = 0;

    const findPlace = (arrival: Arrival, found: (place: FoundPlace) => void): void => {
        const instance = instances[turn++ % instances.length]!;
        fleet.acquire(instance, {
            requestId: arrival.requestId,
            account: "a",
            requestClass: arrival.requestClass,
            pool,
            baseModel,
            adapter: { adapter: arrival.adapter, version: "1" },
            tokens: arrival.outputTokens,
            prefixHash: arrival.adapter,
            excludedEngines: [],
            deadline: arrival.at + deadlineMilliseconds,
        }, answer => {
            if (!answer.ok) {
                throw new Error(`no place for ${arrival.requestId}: ${answer.error.kind}`);
            }
            const pin = answer.value;
            found({
                engine: pin.engine,
                adapter: pin.adapter!,
                incarnation: pin.incarnation,
                stall: pin.loadStall,
                release: pin.release,
            });
        });
    };
    const readControlBytes = (): number => sampledBytes * messagesOfSample / instances.length;
    return { place: findPlace, handleRestart: () => undefined, readControlBytes };
}
