import { expect } from "chai";
import { type DeliveredMachine, sendClientRequest } from "./delivered/deliveredProgram.js";
import { pause, runDeployment } from "./delivered/deployment.js";
import { createStopConfiguration, stopRoutes } from "./delivered/wireConfiguration.js";
import type { WireRun } from "./delivered/wireServers.js";

const service = "drafts";
/** Grace of 8 s without the part in which connections are closed. */
const graceMilliseconds = 7_300;
const eventIntervalMilliseconds = 100;
/** Event after which a server is silent. */
const lastEvent = 5;

/** A request line of the log. */
interface RequestLine {
    readonly event: string;
    readonly id: string;
    readonly outcome: string;
    readonly by: string;
    readonly reason: string;
    readonly sinceStop?: number;
    readonly silence?: number;
}

/** What the server of a request does: it sends events for good, falls silent, ends its connection or never answers. */
type Work = "endless" | "silent" | "broken" | "none";

function respondAs({ request, response, ownHeaders, attemptId }: WireRun): boolean {
    const work = request.headers["x-work"] as Work;
    if (work === "none") {
        return true;
    }
    response.writeHead(200, {
        ...ownHeaders,
        "Content-Type": "text/event-stream",
        "X-Oriolehatch-Response-Signature": `sig.${attemptId}`,
    });
    let id = 0;
    const timer = setInterval(() => {
        id++;
        if (id <= lastEvent || work === "endless") {
            response.write(`id: ${id}\ndata: ${id}\n\n`);
        }
        else if (work === "broken") {
            response.destroy();
        }
    }, eventIntervalMilliseconds);
    response.once("close", () => clearInterval(timer));
    return true;
}

async function sendWork(
    { host, clientPort }: DeliveredMachine,
    id: string,
    route: keyof typeof stopRoutes,
    work: Work,
    patience = 20_000,
): Promise<void> {
    const headers = {
        Host: stopRoutes[route].host,
        "X-Oriolehatch-Attempt-Id": id,
        "X-Oriolehatch-Deadline-Ms": "25000",
        "X-Work": work,
    };
    await sendClientRequest({ host, port: clientPort, path: `${stopRoutes[route].path}1`, headers, patience });
}

describe("log of the delivered program", function() {
    this.timeout(60_000);

    // guards against a record in which it can't be told who ended an answer around a stop, when, and after which silence (LOST)
    it("says by whose hand each answer ended, how long after the SIGTERM and after which silence", async () => {
        const output = await runDeployment({
            configuration: createStopConfiguration(service),
            servers: ["i-1", "i-2"].map(id => ({ service, id, respond: respondAs })),
            machines: 1,
        }, async ({ machines }) => {
            const machine = machines[0]!;
            const early = [
                sendWork(machine, "left", "stream", "endless", 1_000),
                sendWork(machine, "broken", "long", "broken"),
                sendWork(machine, "late", "short", "none"),
            ];
            const stopped = [
                sendWork(machine, "working", "stream", "endless"),
                sendWork(machine, "silent", "stream", "silent"),
            ];
            await Promise.all(early);
            await pause(eventIntervalMilliseconds);
            await machine.stop();
            await Promise.all(stopped);
            return machine.readOutput();
        });
        const lines = output.split("\n")
            .filter(line => line.includes('"event":"request"'))
            .map(line => JSON.parse(line) as RequestLine);
        const ends = Object.fromEntries(
            lines.map(({ id, by, outcome, reason }) => [id, `${outcome} by ${by}: ${reason}`]),
        );
        expect(ends).to.deep.equal({
            left: "clientLeft by client: ",
            broken: "cut by server: broken UND_ERR_SOCKET",
            late: "failed by deadline: timeout",
            working: "cut by stop: this instance stops",
            silent: "cut by stop: this instance stops",
        });
        const [working, silent] = ["working", "silent"].map(name => lines.find(({ id }) => id === name)!);
        expect(working!.sinceStop).to.be.at.least(graceMilliseconds);
        expect(silent!.sinceStop).to.be.at.least(graceMilliseconds);
        expect(silent!.silence).to.be.at.least(graceMilliseconds);
        expect(working!.silence).to.be.below(graceMilliseconds);
        expect(lines.filter(({ id, sinceStop }) => ["left", "broken", "late"].includes(id) && sinceStop !== undefined))
            .to.deep.equal([]);
    });
});
