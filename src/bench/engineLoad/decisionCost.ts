/**
 * Time that the choice of an engine takes on a holder of all engines of a large site.
 *
 * @packageDocumentation
 */
import { createEngineLoads } from "../../adapters/engineLoads.js";
import { selectEngine, sumEngineLoad } from "../../adapters/engineSelection.js";
import { createResidencyIndex } from "../../adapters/residencyIndex.js";
import { createServerRecords } from "../../serving/serverRecords.js";
import { type BackendServer, formatServerRunId } from "../../serving/types.js";
import { createSeededRandom } from "../../shared/index.js";
import type { BenchLine } from "../harness.js";

const engineCount = 98;
const adapterCount = 400;
const replicas = 6;
const decisions = 20_000;
const warmUps = 5_000;
const boundMicroseconds = 100;

/**
 * Measures the time of one choice and of counting its place, by loads and by requests alone.
 *
 * @param seed - seed of the requests
 * @returns the figure
 */
export function measureDecision(seed: number): BenchLine {
    return {
        what: `choice and place among ${engineCount} engines`,
        unit: "µs",
        measure: "wallClock",
        baseline: measureChoices(seed, false),
        ours: measureChoices(seed, true),
        bound: { kind: "atMost", value: boundMicroseconds, source: "design/overload.md: a few tens of microseconds" },
    };
}

function measureChoices(seed: number, isByLoad: boolean): number {
    const random = createSeededRandom(seed);
    const servers = Array.from({ length: engineCount }, (unused, index): BackendServer => ({
        id: `e-${index}`,
        startedAt: 1,
        service: "llm",
        address: `10.0.0.${index}:1`,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 16,
        models: [],
    }));
    const records = createServerRecords();
    const residency = createResidencyIndex();
    let now = 0;
    const loads = createEngineLoads({ now: () => now, sleep: () => Promise.resolve() }, records);
    servers.forEach((server, index) => {
        isByLoad && loads.open(server, 60_000, true);
        const adapters = Array.from({ length: adapterCount }, (unused, adapter) => adapter)
            .filter(adapter => (adapter + index) % Math.floor(engineCount / replicas) === 0)
            .map(adapter => [`a${adapter}`, 1] as const);
        residency.replace({ run: formatServerRunId(server), models: [{ name: "base", adapters }] });
    });
    const decide = (): void => {
        now += 5;
        const adapter = `a${random.between(0, adapterCount - 1)}`;
        const choice = { model: "base", adapter };
        const prompt = random.between(100, 4_000);
        const demand = { tokens: { prompt, output: 100 }, parts: [["s1", 50], [adapter, prompt - 50]] as const };
        const { requests, slots } = sumEngineLoad(servers, records, now);
        const selection = selectEngine({
            servers,
            records,
            failureDomain: "a",
            excluded: new Set(),
            now,
            choice,
            demand,
            residency,
            oldestVersion: undefined,
            isOrderAllowed: () => true,
            isUnavailableForLoad: () => false,
            meanLoad: requests / slots,
            isLoadIgnored: true,
            isDiverted: false,
        });
        if (selection.kind === "resident" || selection.kind === "load") {
            const run = formatServerRunId(selection.server);
            const place = loads.place(run, choice, demand);
            place && loads.end(run, place, "answered", { firstEventAfter: 50, eventGap: 100 });
        }
    };
    Array.from({ length: warmUps }, () => 0).forEach(decide);
    const startedAt = process.hrtime.bigint();
    Array.from({ length: decisions }, () => 0).forEach(decide);
    return Number(process.hrtime.bigint() - startedAt) / 1_000 / decisions;
}
