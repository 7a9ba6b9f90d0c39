import { expect } from "chai";
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import type { BackendServer } from "../types.js";
import type { LeavingClientsOptions, LeavingClientsReport } from "./leavingClientsWorker.js";
import { testService } from "./testCodec.js";
import { putTestConfiguration, startTestInstance } from "./testInstance.js";
import { findFreePorts } from "./testServers.js";
import { createMemoryStore, pause } from "./testStore.js";

const heldUpMilliseconds = 900;
const freeMilliseconds = 300;
const lateRequestLimit = 3;

function createEntry(port: number): Buffer {
    const entry: BackendServer = {
        id: "s-0",
        startedAt: 0,
        service: testService,
        address: `127.0.0.1:${port}`,
        failureDomain: "a",
        isDraining: false,
        softwareVersion: "v1",
        slots: 32,
        models: [],
    };
    return Buffer.from(JSON.stringify(entry));
}

// holds the event loop of this thread up, again and again, as a busy or a slow processor does
function waitInLoop(): () => void {
    let isStopped = false;
    const waitBusy = (): void => {
        const until = performance.now() + heldUpMilliseconds;
        while (performance.now() < until) {
            // nothing else runs meanwhile
        }
        if (!isStopped) {
            setTimeout(waitBusy, freeMilliseconds);
        }
    };
    setTimeout(waitBusy, freeMilliseconds);
    return () => isStopped = true;
}

async function runLeavingClients(options: Omit<LeavingClientsOptions, "clientPort">): Promise<LeavingClientsReport> {
    const store = createMemoryStore(4);
    const ports = await findFreePorts(4);
    const worker = new Worker(new URL("./leavingClientsWorker.js", import.meta.url), {
        workerData: { ...options, clientPort: ports[0]! } satisfies LeavingClientsOptions,
    });
    const [{ port }] = await once(worker, "message") as [{ readonly port: number; }];
    store.put("servers", "s-0", createEntry(port));
    putTestConfiguration(store);
    const instance = startTestInstance({ name: "front-0", ports, store, translateAddress: address => address });
    await pause(1_200);
    const release = waitInLoop();
    worker.postMessage("start");
    const [report] = await once(worker, "message") as [LeavingClientsReport];
    release();
    instance.stop();
    await instance.ended;
    await worker.terminate();
    return report;
}

describe("instance whose event loop is held up", function() {
    this.timeout(60_000);

    // guards against requests that reach a server long after their client has closed its connection (GONE)
    it("sends no request to a server whose client left while the request waited to be read", async () => {
        const report = await runLeavingClients({ clients: 400, interval: 25, leaveAfter: [100, 300] });
        expect(report.late, JSON.stringify(report)).to.be.at.most(lateRequestLimit);
    });
});
