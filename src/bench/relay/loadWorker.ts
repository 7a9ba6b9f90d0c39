/**
 * Worker of the relay bench: callers that stream answers, through the relay and straight from the stand-ins.
 *
 * @packageDocumentation
 */
import { build, type Histogram } from "hdr-histogram-js";
import { parentPort } from "node:worker_threads";
import { Agent, request } from "undici";
import { startDetached } from "../../testing/index.js";
import type { EngineAddress, LoadResult, WayTimes, WorkerOrder, WorkerReport } from "./messages.js";
import { readThreadTime } from "./threadTime.js";

const relayedPerSecond = 40;
const directPerSecond = 8;
const millisecondsPerSecond = 1_000;
const microsecondsPerMillisecond = 1_000;
const middle = 50;
const high = 95;
const maximumOutputTokens = 200;
const tokenPattern = /"content":"([\d.]+) "/;

interface WaySamples {
    readonly firstTokens: Histogram;
    readonly transits: Histogram;
    requests: number;
    tokens: number;
    incomplete: number;
}

const dispatcher = new Agent({ pipelining: 1 });
const ways = { relayed: createSamples(), direct: createSamples() };
let turn = 0;

parentPort!.on("message", (order: WorkerOrder) => {
    switch (order.kind) {
        case "begin":
            return startCallers(order.relay, order.engines);
        case "readCpu":
            return send({ kind: "cpu", milliseconds: readThreadTime() });
        case "reset":
            resetSamples(ways.relayed);
            resetSamples(ways.direct);
            return;
        case "end":
            return send({ kind: "load", result: readResult() });
    }
});

function send(report: WorkerReport): void {
    parentPort!.postMessage(report);
}

function startCallers(relay: string, engines: readonly EngineAddress[]): void {
    const message = { role: "user", content: "Draft a quote for 500 compression springs of 2 mm wire." };
    const body = { messages: [message], max_tokens: maximumOutputTokens, stream: true };
    setInterval(() => {
        const headers = { authorization: "Bearer relay-bench-key" };
        startDetached(streamOnce(ways.relayed, relay, { ...body, model: "draft" }, headers));
    }, millisecondsPerSecond / relayedPerSecond);
    setInterval(() => {
        const engine = engines[turn++ % engines.length]!;
        const headers = { "x-request-id": `direct-${turn}`, "x-engine-incarnation": `${engine.id}-0` };
        startDetached(streamOnce(ways.direct, engine.address, { ...body, model: "base" }, headers));
    }, millisecondsPerSecond / directPerSecond);
}

async function streamOnce(
    samples: WaySamples,
    address: string,
    body: object,
    headers: Record<string, string>,
): Promise<void> {
    const startedAt = readTime();
    let isFirst = true;
    let last = "";
    let rest = "";
    const response = await request(`http://${address}/v1/chat/completions`, {
        method: "POST",
        body: JSON.stringify(body),
        headers: { "content-type": "application/json", ...headers },
        dispatcher,
    });
    response.body.setEncoding("utf8");
    for await (const part of response.body) {
        const lines = (rest + String(part)).split("\n\n");
        rest = lines.pop()!;
        for (const line of lines) {
            last = line;
            const sentAt = tokenPattern.exec(line)?.[1];
            if (sentAt !== undefined) {
                const now = readTime();
                recordSample(samples.transits, now - Number(sentAt));
                samples.tokens++;
                if (isFirst) {
                    recordSample(samples.firstTokens, now - startedAt);
                    isFirst = false;
                }
            }
        }
    }
    samples.requests++;
    samples.incomplete += last === "data: [DONE]" ? 0 : 1;
}

function readTime(): number {
    return performance.timeOrigin + performance.now();
}

function createSamples(): WaySamples {
    return { firstTokens: build(), transits: build(), requests: 0, tokens: 0, incomplete: 0 };
}

function recordSample(histogram: Histogram, milliseconds: number): void {
    histogram.recordValue(Math.max(0, Math.round(milliseconds * microsecondsPerMillisecond)));
}

function resetSamples(samples: WaySamples): void {
    samples.firstTokens.reset();
    samples.transits.reset();
    samples.requests = 0;
    samples.tokens = 0;
    samples.incomplete = 0;
}

function readResult(): LoadResult {
    return { relayed: readTimes(ways.relayed), direct: readTimes(ways.direct) };
}

function readTimes(samples: WaySamples): WayTimes {
    const read = (histogram: Histogram, percentile: number): number =>
        histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
    return {
        requests: samples.requests,
        tokens: samples.tokens,
        incomplete: samples.incomplete,
        firstTokenMedian: read(samples.firstTokens, middle),
        firstTokenHigh: read(samples.firstTokens, high),
        transitMedian: read(samples.transits, middle),
        transitHigh: read(samples.transits, high),
    };
}
