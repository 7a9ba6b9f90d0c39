import { expect } from "chai";
import { formatStatusLines, interimHead } from "../../testing/index.js";
import { type DeliveredAnswer, type DeliveredMachine, sendClientRequest } from "./delivered/deliveredProgram.js";
import { type Deployment, runDeployment } from "./delivered/deployment.js";
import { createStopConfiguration, stopRoutes } from "./delivered/wireConfiguration.js";
import type { WireRun } from "./delivered/wireServers.js";

const service = "order-app";
const serverIds = ["i-1", "i-2", "i-3", "i-4", "i-5"];
const patienceMilliseconds = 3_000;
const afterwards = "afterwards";
/** A stream that can't be taken up again. */
const onceRoute = { host: stopRoutes.stream.host, path: "/once/" } as const;
const routes = { unsafe: stopRoutes.short, once: onceRoute, safe: stopRoutes.safe, stream: stopRoutes.stream } as const;
type RouteName = keyof typeof routes;

function createConfiguration(): string {
    const plain = JSON.parse(createStopConfiguration(service)) as { readonly routes: readonly { name: string; }[]; };
    const stream = plain.routes.find(({ name }) => name === "stream");
    const once = { ...stream, name: "once", path_prefix: onceRoute.path, can_resume: false };
    return JSON.stringify({ ...plain, routes: [...plain.routes, once] });
}

// what the server of the first attempt writes, by the name of the request
function createWrongAnswers(attemptId: string): Readonly<Record<string, string>> {
    const own = `X-Oriolehatch-Attempt-Id: ${attemptId}\r\nX-Oriolehatch-Response-Signature: s\r\n`;
    const lines = formatStatusLines(own);
    const refusal = formatStatusLines(`${own}X-Oriolehatch-Not-Executed: 1\r\n`)["600 with a body"]!;
    return {
        ...Object.fromEntries(Object.entries(lines).filter(([name]) => !name.includes("without"))),
        "000 after an interim answer": interimHead + lines["000 with a body"],
        "600 after an interim answer": interimHead + lines["600 with a body"],
        "600 that says not executed": refusal,
    };
}

/** What servers saw: runs by attempt id, and requests on connections that had brought a wrong status line. */
interface ServerRecords {
    readonly runs: Map<string, number>;
    readonly faulty: WeakSet<object>;
    onFaulty: number;
}

function respond(records: ServerRecords, { attemptId, request, response, ownHeaders }: WireRun): boolean {
    const run = (records.runs.get(attemptId) ?? 0) + 1;
    records.runs.set(attemptId, run);
    records.onFaulty += records.faulty.has(request.socket) ? 1 : 0;
    const wrong = createWrongAnswers(attemptId)[request.headers["x-kind"] as string];
    if (run === 1 && wrong !== undefined) {
        records.faulty.add(request.socket);
        request.socket.on("error", () => undefined);
        request.socket.write(Buffer.from(wrong, "latin1"));
        return true;
    }
    if (request.url!.startsWith(routes.stream.path) || request.url!.startsWith(routes.once.path)) {
        response.writeHead(200, {
            ...ownHeaders,
            "X-Oriolehatch-Response-Signature": "s",
            "Content-Type": "text/event-stream",
        });
        response.end("id: 1\ndata: a\n\n");
        return true;
    }
    return false;
}

async function sendAll(machine: DeliveredMachine, records: ServerRecords): Promise<readonly string[]> {
    const seen: string[] = [];
    for (const kind of [...Object.keys(createWrongAnswers("")), afterwards]) {
        for (const route of Object.keys(routes) as RouteName[]) {
            const attemptId = `${kind}-${route}`.replaceAll(" ", "-");
            const answer = await sendTo(machine, route, attemptId, kind);
            const shown = `${answer.status} ${answer.isComplete ? "whole" : "cut"}`;
            seen.push(`${kind}, ${route}: ${shown}, ${records.runs.get(attemptId)} runs`);
        }
    }
    return seen;
}

async function sendTo(
    machine: DeliveredMachine,
    route: RouteName,
    attemptId: string,
    kind: string,
): Promise<DeliveredAnswer> {
    const { host, path } = routes[route];
    return sendClientRequest({
        host: machine.host,
        port: machine.clientPort,
        path,
        headers: {
            Host: host,
            "X-Oriolehatch-Attempt-Id": attemptId,
            "X-Oriolehatch-Deadline-Ms": String(patienceMilliseconds),
            "X-Kind": kind,
        },
        body: attemptId,
        patience: patienceMilliseconds,
    });
}

function listExpected(): readonly string[] {
    return [...Object.keys(createWrongAnswers("")), afterwards].flatMap(kind =>
        (Object.keys(routes) as RouteName[]).map(route => {
            const isRepeated = kind !== afterwards && (route === "safe" || route === "stream");
            const isAnswered = isRepeated || kind === afterwards;
            return `${kind}, ${route}: ${isAnswered ? 200 : 502} whole, ${isRepeated ? 2 : 1} runs`;
        })
    );
}

describe("delivered program beside servers whose answers have no status", function() {
    this.timeout(120_000);

    // guards against a number of a status line that reaches a client as its answer (MIXED), sends an unsafe request to a
    // second server (TWICE), or ends a process (FAULT)
    it("answers 502 what may run once, repeats the rest, uses no such connection again and goes on", async () => {
        const records: ServerRecords = { runs: new Map(), faulty: new WeakSet(), onFaulty: 0 };
        const sendToFirst = async ({ machines }: Deployment) => {
            const seen = await sendAll(machines[0]!, records);
            return { seen, ends: machines[0]!.countEnds(), output: machines[0]!.readOutput() };
        };
        const { seen, ends, output } = await runDeployment({
            configuration: createConfiguration(),
            servers: serverIds.map(id => ({ service, id, respond: run => respond(records, run) })),
            machines: 1,
        }, sendToFirst);
        const expected = listExpected();
        expect(seen.filter(line => !expected.includes(line)), output.slice(-2_000)).to.deep.equal([]);
        expect(seen.length).to.equal(expected.length);
        expect([records.onFaulty, ends]).to.deep.equal([0, 0]);
    });
});
