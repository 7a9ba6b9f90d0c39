// Rule LIMIT: an order without an answer is carried out late, by a server that has started again under its id.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createAttemptId, planMachine, runCase, sendRequest, sleep, startMachines } from "../lib/deployment.mjs";
import { startEngine } from "../lib/engine.mjs";
import { startStore } from "../lib/store.mjs";

const host = "127.0.0.1";
const service = "llm";
const adapterSlots = 3;
const restartMilliseconds = 500;
// `applied_late`: carried out 2 to 12 s later
const lateMilliseconds = 9_000;
const rounds = 3;
const config = {
    version: 1,
    routes: [{
        name: "draft",
        host: "drafts.example",
        path_prefix: "/draft/",
        kind: "stream",
        timeout_ms: 12000,
        target_latency_ms: 600,
        target_gap_ms: 300,
        priority: 1,
        service,
        max_attempts: 2,
        public: true,
        sticky: true,
        can_resume: true,
    }],
    services: [{
        name: service,
        health_path: "/health",
        connection_limit: 240,
        protocol: "h1",
        tls: false,
        engine: {
            slots: 8,
            kv_cache_tokens: 105300,
            models: [{ name: "m0", size_mb: 72700, load_time_s: 0.6, adapters: 3000, adapter_mb: 66 }],
            size_mb: 75400,
            adapter_slots: adapterSlots,
            loads_per_s: 4.7,
        },
    }],
    limits: { header_bytes: 16384, body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
};

await runCase(dirname(fileURLToPath(import.meta.url)), async opened => {
    const store = await startStore({ host });
    opened.onEnd(() => store.close());
    store.put("keyed.op", "config", config);
    const broken = [];
    const onEvent = event => {
        opened.write(JSON.stringify(event));
        if (event.kind === "crash") {
            broken.push(`${event.id} crashed: ${event.reason}`);
        }
    };
    const machines = [];
    for (const name of ["front-1", "front-2"]) {
        machines.push(await planMachine({ name, store: store.address }));
    }
    await startMachines(opened, machines);
    await sleep(2_000);
    let sent = 0;
    const send = async adapter => {
        const attempt = createAttemptId();
        const machine = machines[sent++ % machines.length];
        const answer = await sendRequest({
            host: machine.host,
            port: machine.ports.front,
            path: "/draft/1",
            headers: {
                Host: "drafts.example",
                "X-Oriolehatch-Attempt-Id": attempt,
                "X-Oriolehatch-Deadline-Ms": "12000",
                "X-Oriolehatch-Model": `m0/${adapter}`,
                "X-Oriolehatch-Token-Counts": "826,240",
            },
            body: "draft",
        });
        opened.write(`answer to ${attempt} for ${adapter}: ${answer.status}, ${answer.isWhole ? "whole" : "cut"}`);
        return answer.status;
    };
    // a client that comes back as long as it is told to
    const sendUntilServed = async adapter => {
        for (let tries = 0; tries < 20 && await send(adapter) !== 200; tries++) {
            await sleep(400);
        }
    };
    const sendEach = async () => {
        for (const adapter of ["a1", "a2", "a3"]) {
            await sendUntilServed(adapter);
        }
    };
    for (let round = 1; round <= rounds && broken.length === 0; round++) {
        let current;
        let lateCount = 0;
        // one order is left without an answer: the first one to load a fourth adapter
        const delayOrder = ({ operation, adapter }) => {
            if (!opened.isTroubled || lateCount > 0 || operation !== "load" || adapter !== "a4") {
                return undefined;
            }
            lateCount++;
            return order => void sleep(lateMilliseconds).then(() => current.carryOut(order));
        };
        const engine = {
            host,
            store,
            service,
            id: `i-${round}`,
            model: "m0",
            adapterSlots,
            slots: 8,
            queueLimit: 24,
            events: 10,
            eventGapMs: 20,
            onEvent,
        };
        // it holds its model from the beginning, as the servers do at the start of the system
        current = await startEngine({ ...engine, delayOrder });
        opened.onEnd(() => current.stop());
        const { port } = current;
        await sleep(1_000);
        await sendEach();
        await sleep(1_200);
        await sendUntilServed("a4");
        await sleep(300);
        if (opened.isTroubled) {
            opened.write(`${engine.id} is killed, and starts again under its id, empty`);
            current.stop();
            await sleep(restartMilliseconds);
            current = await startEngine({ ...engine, port, hasModel: false });
        }
        await sleep(1_500);
        await sendEach();
        opened.write(`state: ${JSON.stringify(current.readState())}`);
        await sleep(lateMilliseconds + 1_000);
        // the next round has a new server
        current.stop();
        store.put("keyed.servers", engine.id, undefined);
        await sleep(2_000);
    }
    return broken;
});
