/**
 * Cost of placement's decisions by number of adapters and engines, on the wall clock.
 *
 * @packageDocumentation
 */
import { pack } from "msgpackr";
import type { ListedEngine } from "../../backends/index.js";
import { createEngineTables } from "../../placement/engineTables.js";
import { defaultPlacementTimes } from "../../placement/index.js";
import { createPoolPlanner } from "../../placement/poolPlanner.js";
import { chooseEngine } from "../../routing/index.js";
import { createSeededRandom } from "../../shared/index.js";
import type { BenchLine } from "../harness.js";

interface Size {
    readonly adapters: number;
    readonly engines: number;
}

const sizes: readonly Size[] = [
    { adapters: 3_000, engines: 13 },
    { adapters: 15_000, engines: 13 },
    { adapters: 3_000, engines: 240 },
    { adapters: 15_000, engines: 240 },
];
const slots = 32;
const rounds = 200;
const routings = 100_000;
const waitingAdapters = 20;
const microsecondsPerMillisecond = 1_000;
const bytesPerKilobyte = 1_024;

/**
 * Measures the cost of a planning round with loads to place, of a routing decision, and of the planner's memory.
 *
 * @param seed - draws what is resident and what waits
 * @returns the figures
 */
export function measureDecisionCosts(seed: number): readonly BenchLine[] {
    return [...sizes.flatMap(size => [...measurePlanning(size, seed), measureRouting(size)]), ...measureMessages()];
}

function measureMessages(): readonly BenchLine[] {
    const names = Array.from({ length: slots }, (unused, slot) => `adapter-${slot}@1#1000-${slot}`);
    const running = names.slice(0, slots / 2).map(name => ({ name, count: 1 }));
    const counts = { incarnation: "e1-1", fencingNumber: 1_000, sequence: 1, inFlight: slots };
    const table = { engine: "e1", resident: names, retiring: [], loading: [], failed: [], running, ...counts };
    const held = names.slice(0, slots / 4);
    const renewal = {
        kind: "useRenew",
        engine: "e1",
        sentAt: 1.5,
        names: held,
        running: running.slice(0, 4),
        inFlight: 4,
    };
    const describeBytes = (what: string, message: unknown): BenchLine => ({
        what,
        unit: "bytes",
        measure: "count",
        ours: pack(message).length,
    });
    return [
        describeBytes(`table of an engine with ${slots} adapters, half of them in use`, { kind: "table", table }),
        describeBytes(`renewal of ${held.length} use leases`, renewal),
    ];
}

function makeEngine(index: number): ListedEngine {
    return {
        kind: "engine",
        id: `e${index}`,
        address: `e${index}`,
        failureDomain: "d1",
        region: "r1",
        state: "live",
        baseModel: "base",
        pool: "p",
        adapterSlots: slots,
        batchLimit: slots,
        fencing: "checked",
    };
}

function measurePlanning(size: Size, seed: number): readonly BenchLine[] {
    const random = createSeededRandom(seed);
    const engines = Array.from({ length: size.engines }, (unused, index) => makeEngine(index));
    const before = readHeap();
    const tables = createEngineTables();
    for (const engine of engines) {
        const resident = Array.from(
            { length: slots },
            (unused, slot) => `a${random.between(0, size.adapters - 1)}@1#1-${slot}`,
        );
        const rest = { retiring: [], loading: [], failed: [], running: [], inFlight: 8, sequence: 1, fencingNumber: 1 };
        tables.add({ engine: engine.id, incarnation: "1", resident, ...rest }, 0);
    }
    const planner = createPoolPlanner({
        times: defaultPlacementTimes,
        tables,
        listEngines: () => engines,
        findVersion: () => "1",
        readLoadsPerSecond: () => 5,
    });
    const arrivals = Array.from({ length: size.adapters }, (unused, index) => ({
        adapter: `a${index}`,
        interactive: 1,
        overnight: 0,
    }));
    planner.handleDemand("i1", { kind: "demand", pool: "p", sequence: 0, waiting: [], arrivals }, 0);
    const heap = readHeap() - before;
    const started = performance.now();
    for (let round = 1; round <= rounds; round++) {
        const waiting = Array.from({ length: waitingAdapters }, (unused, index) => ({
            key: `b${round}-${index}@1`,
            interactive: 1,
            overnight: 0,
            queued: 0,
            oldestWait: 0,
        }));
        // rounds are far enough apart that each places loads again
        const now = round * defaultPlacementTimes.demandTimeout;
        planner.handleDemand("i1", { kind: "demand", pool: "p", sequence: round, waiting, arrivals: [] }, now);
        planner.plan(now);
    }
    const perRound = (performance.now() - started) / rounds * microsecondsPerMillisecond;
    const name = formatSize(size);
    return [
        { what: `planning round, ${name}`, unit: "us", measure: "wallClock", ours: perRound },
        { what: `planner's memory, ${name}`, unit: "KB", measure: "wallClock", ours: heap / bytesPerKilobyte },
    ];
}

function measureRouting(size: Size): BenchLine {
    const candidates = Array.from({ length: size.engines }, (unused, index) => ({
        engine: `e${index}`,
        batchLimit: slots,
        ownInFlight: index % slots,
        othersInFlight: index % (slots / 2),
        hasRecentPrefix: index % 2 === 0,
        hasRecentFailure: false,
    }));
    let chosen = 0;
    const started = performance.now();
    for (let round = 0; round < routings; round++) {
        chosen += chooseEngine(candidates, "interactive") ? 1 : 0;
    }
    const each = (performance.now() - started) / Math.max(1, chosen) * microsecondsPerMillisecond;
    return { what: `routing among all engines, ${formatSize(size)}`, unit: "us", measure: "wallClock", ours: each };
}

function formatSize(size: Size): string {
    return `${size.adapters} adapters, ${size.engines} engines`;
}

function readHeap(): number {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
}
