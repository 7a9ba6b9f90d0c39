import { expect } from "chai";
import { once } from "node:events";
import { type DeliveredMachine, sendClientRequest } from "./delivered/deliveredProgram.js";
import { pause, runDeployment } from "./delivered/deployment.js";
import { createLargeConfiguration, largeRoute } from "./delivered/wireConfiguration.js";
import type { WireStore } from "./delivered/wireStore.js";

const service = "order-app";
const keys = { kept: "kept-key", taken: "taken-key" };
/** `revoke_ms`. */
const revokeMilliseconds = 5_000;
/** Versions that wait for a reader; a read returns four of them. */
const versionCount = 12;
/** Time for which reads fail again after one of them was answered. */
const failingMilliseconds = 1_500;
const requestIntervalMilliseconds = 25;

/** An answer, and when its request was sent, counted from the change that took a key away. */
interface Answered {
    readonly at: number;
    readonly status: number | undefined;
}

function sendSteadily(machine: DeliveredMachine, key: string, since: number) {
    const sent: Promise<Answered>[] = [];
    const timer = setInterval(() => {
        const at = performance.now() - since;
        const answer = sendClientRequest({
            host: machine.host,
            port: machine.clientPort,
            path: largeRoute.path,
            headers: {
                Host: largeRoute.host,
                "X-Oriolehatch-Attempt-Id": `${key}-${sent.length}`,
                "X-Oriolehatch-Deadline-Ms": "1000",
                "X-Oriolehatch-Key": key,
            },
        });
        sent.push(answer.then(({ status }) => ({ at, status })));
    }, requestIntervalMilliseconds);
    return () => {
        clearInterval(timer);
        return Promise.all(sent);
    };
}

// answers reads of the configuration as a store that is too busy for them, but for one while they are to be let through
function failReads(store: WireStore) {
    let isFailing = true;
    const letThrough = new EventTarget();
    let isOneAllowed = false;
    store.intercept = (request, response) => {
        const isRead = request.method === "GET" && request.url!.includes("topic=keyed.op&");
        if (!isFailing || !isRead) {
            return false;
        }
        if (isOneAllowed) {
            isOneAllowed = false;
            letThrough.dispatchEvent(new Event("read"));
            return false;
        }
        response.writeHead(503, { "content-length": "0" }).end();
        return true;
    };
    return {
        letOneThrough: async () => {
            isOneAllowed = true;
            await once(letThrough, "read");
        },
        end: () => {
            isFailing = false;
        },
    };
}

describe("delivered program that comes back to more versions than one read returns", function() {
    this.timeout(60_000);

    // guards against a part of the versions that counts as all of them, so that requests with a key run that was taken
    // away longer ago than `revoke_ms` (CONFIG)
    it("serves no key by an older version, and serves again once it has read the newest one", async () => {
        const publish = (version: number, held: readonly string[]): string =>
            createLargeConfiguration(service, version, held);
        const { answers, kept } = await runDeployment({
            configuration: publish(1, [keys.kept, keys.taken]),
            servers: [{ service, id: "i-1", fields: { slots: 64 } }],
            machines: 1,
        }, async ({ store, machines: [machine] }) => {
            const reads = failReads(store);
            // a read that waits at the store is answered with the first version
            store.put("keyed.op", "config", publish(2, [keys.kept, keys.taken]));
            await pause(200);
            for (let version = 3; version < 2 + versionCount; version++) {
                store.put("keyed.op", "config", publish(version, [keys.kept, keys.taken]));
            }
            store.put("keyed.op", "config", publish(2 + versionCount, [keys.kept]));
            const takenAt = performance.now();
            const stopTaken = sendSteadily(machine!, keys.taken, takenAt);
            const stopKept = sendSteadily(machine!, keys.kept, takenAt);
            await pause(revokeMilliseconds + 200);
            await reads.letOneThrough();
            await pause(failingMilliseconds);
            reads.end();
            await pause(failingMilliseconds);
            return { answers: await stopTaken(), kept: await stopKept() };
        });
        const late = answers.filter(({ at, status }) => at > revokeMilliseconds && status === 200);
        expect(late.map(({ at }) => Math.round(at)), "sent with the key that was taken away").to.deep.equal([]);
        expect(answers.some(({ status }) => status === 200), "served before").to.equal(true);
        expect(kept.at(-1)?.status).to.equal(200);
    });
});
