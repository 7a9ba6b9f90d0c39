// Rule VERSION: a new version of an adapter is announced while one tenant sends many times its usual.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { bounds, createAttemptId, planMachine, runCase, sendRequest, sleep, startMachines } from "../lib/deployment.mjs";
import { startEngine } from "../lib/engine.mjs";
import { startStore } from "../lib/store.mjs";

const host = "127.0.0.1";
const service = "llm";
const slots = 8;
const adapterSlots = 4;
const events = 40;
const eventGapMs = 100;
// two engines run 4 streams a second; 0.8 of it is asked for
const usualPerSecond = 3.2;
// `hot_tenant` in the site file: 7.5 times its usual for 6.5 s
const hotFactor = 7.5;
const hotMilliseconds = 6_500;
const hotLeadMilliseconds = 5_000;
const tenants = ["t1", "t2", "t3"];
const rounds = 3;
const roundMilliseconds = 24_000;
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
        public: false,
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
            slots,
            kv_cache_tokens: 105300,
            models: [{ name: "m0", size_mb: 72700, load_time_s: 0.6, adapters: 3000, adapter_mb: 66 }],
            size_mb: 75400,
            adapter_slots: adapterSlots,
            loads_per_s: 4.7,
        },
    }],
    // no rate_per_s: no limit
    tenants: tenants.map(name => ({ name, api_keys: [`key-${name}`], priority: 1 })),
    limits: { header_bytes: 16384, body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
};

await runCase(dirname(fileURLToPath(import.meta.url)), async opened => {
    const store = await startStore({ host });
    opened.onEnd(() => store.close());
    const versions = new Map([["a1", 1], ["a2", 1]]);
    let announcedAt;
    const broken = [];
    const onEvent = event => {
        if (event.kind !== "begin") {
            opened.write(JSON.stringify(event));
            return;
        }
        const { id, attempt, adapter, version, expected, waited } = event;
        const since = announcedAt === undefined ? undefined : performance.now() - announcedAt;
        const text = `${id} began ${attempt} on ${adapter}@${version} after ${Math.round(waited)} ms in its queue, ` +
            `expected version ${expected ?? "any"}, ${Math.round(since ?? 0)} ms after version ` +
            `${versions.get("a1")} of a1 was acknowledged`;
        opened.write(text);
        if (adapter === "a1" && version < versions.get("a1") && since > bounds.version_ms) {
            broken.push(text);
        }
    };
    for (const id of ["i-1", "i-2"]) {
        const engine = await startEngine({
            host,
            store,
            service,
            id,
            model: "m0",
            adapterSlots,
            slots,
            queueLimit: 24,
            events,
            eventGapMs,
            onEvent,
            newestVersion: adapter => versions.get(adapter) ?? 1,
        });
        opened.onEnd(() => engine.stop());
    }
    store.put("keyed.op", "config", config);
    const machines = [];
    for (const name of ["front-1", "front-2"]) {
        machines.push(await planMachine({ name, store: store.address }));
    }
    await startMachines(opened, machines);
    await sleep(4_000);
    const counts = new Map();
    const open = new Set();
    let sent = 0;
    const send = async tenant => {
        const attempt = createAttemptId();
        // one adapter gets most of the requests
        const adapter = sent % 5 === 4 ? "a2" : "a1";
        const machine = machines[sent % machines.length];
        sent++;
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
                "X-Oriolehatch-Key": `key-${tenant}`,
            },
            body: "draft",
        });
        opened.write(`answer to ${attempt} of ${tenant}: ${answer.status}, ${answer.isWhole ? "whole" : "cut"}`);
        counts.set(answer.status, (counts.get(answer.status) ?? 0) + 1);
    };
    let factor = 1;
    let isSending = true;
    const sendAll = async tenant => {
        while (isSending) {
            const one = send(tenant);
            open.add(one);
            void one.finally(() => open.delete(one));
            await sleep(1_000 * tenants.length / usualPerSecond / (tenant === tenants[0] ? factor : 1));
        }
    };
    const traffic = Promise.all(tenants.map(sendAll));
    await sleep(5_000);
    for (let round = 0; round < rounds; round++) {
        const startedAt = performance.now();
        if (opened.isTroubled) {
            opened.write(`${tenants[0]} sends ${hotFactor} times its usual for ${hotMilliseconds} ms`);
            factor = hotFactor;
            setTimeout(() => factor = 1, hotMilliseconds);
        }
        await sleep(hotLeadMilliseconds);
        const version = versions.get("a1") + 1;
        versions.set("a1", version);
        store.put("keyed.op", "version/m0.a1", { model: "m0", adapter: "a1", version });
        announcedAt = performance.now();
        opened.write(`the store has acknowledged version ${version} of a1`);
        await sleep(roundMilliseconds - (performance.now() - startedAt));
    }
    isSending = false;
    await traffic;
    await Promise.all(open);
    opened.write(`answers by status: ${JSON.stringify([...counts])}`);
    return broken;
});
