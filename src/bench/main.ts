/**
 * Runs the benches: `npm run bench -- [NAME…] [--seed N] [--json] [--deterministic]`.
 *
 * @packageDocumentation
 */
import { parseArgs } from "node:util";
import { setLogLevel } from "../shared/index.js";
import { readKnownRed } from "../testing/knownRed.js";
import { configBench } from "./config.js";
import { engineLoadBench } from "./engineLoad.js";
import { fleetBench } from "./fleet.js";
import { type Bench, type BenchLine, checkBenchLine, formatBenchLines } from "./harness.js";
import { limitsBench } from "./limits.js";
import { peersBench } from "./peers.js";
import { placementBench } from "./placement.js";
import { relayBench } from "./relay.js";
import { requestsBench } from "./requests.js";

const defaultSeed = 1;
const knownRed = readKnownRed("bench");
const benches: readonly Bench[] = [
    configBench,
    engineLoadBench,
    fleetBench,
    limitsBench,
    peersBench,
    placementBench,
    relayBench,
    requestsBench,
];

const usage = `usage: npm run bench -- [NAME...] [--seed N] [--json] [--deterministic]
  NAME             ${benches.map(bench => bench.name).join(", ")}; all when none is named
  --seed N         draws other histories (default ${defaultSeed})
  --json           prints one JSON object a figure
  --deterministic  leaves out wall-clock figures, as CI does
`;

process.exitCode = await runMain();

async function runMain(): Promise<number> {
    const { values, positionals } = parseArgs({
        allowPositionals: true,
        options: {
            seed: { type: "string", default: String(defaultSeed) },
            json: { type: "boolean", default: false },
            deterministic: { type: "boolean", default: false },
            help: { type: "boolean", short: "h", default: false },
        },
    });
    const seed = Number(values.seed);
    const unknown = positionals.filter(name => !benches.some(bench => bench.name === name));
    if (values.help || unknown.length > 0 || !Number.isInteger(seed)) {
        process.stdout.write(unknown.length > 0 ? `no bench ${unknown.join(", ")}\n${usage}` : usage);
        return values.help ? 0 : 2;
    }
    setLogLevel("silent");
    const chosen = benches.filter(bench => positionals.length === 0 || positionals.includes(bench.name));
    let breaches = 0;
    for (const bench of chosen) {
        breaches += await runBench(bench, seed, values.json, !values.deterministic);
    }
    return breaches > 0 ? 1 : 0;
}

async function runBench(bench: Bench, seed: number, json: boolean, wallClock: boolean): Promise<number> {
    const measured = await bench.run({ seed, wallClock });
    const lines = measured.filter(line => wallClock || line.measure !== "wallClock");
    const output = json
        ? lines.map(line => JSON.stringify({ bench: bench.name, ...line, verdict: checkBenchLine(line) })).join("\n")
        : `${formatBenchLines(bench.name, lines)}\n`;
    process.stdout.write(`${output}\n`);
    return lines.filter(line => isFault(bench.name, line, seed)).length;
}

// an entry stands for the default seed; a wall-clock figure may keep its bound on another day
function isFault(bench: string, line: BenchLine, seed: number): boolean {
    const verdict = checkBenchLine(line);
    if (seed !== defaultSeed || !knownRed.has(`${bench} ${line.what}`)) {
        return verdict === "breach";
    }
    const isStale = verdict !== "breach" && line.measure !== "wallClock";
    const finding = isStale ? "keeps its bound now; take its entry out of KNOWN-RED.txt" : "known red";
    process.stderr.write(`${finding}: ${bench} ${line.what}\n`);
    return isStale;
}
