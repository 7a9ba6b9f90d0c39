import { expect } from "chai";
import { createSystemClock } from "../../shared/index.js";
import { createInstanceOptions } from "../instanceOptions.js";
import { decodeSettings } from "../settings.js";
import { createSettingsFollower } from "../settingsFollower.js";
import { sendClientRequest } from "./delivered/deliveredProgram.js";
import { pause, runDeployment } from "./delivered/deployment.js";
import { createStopConfiguration, stopRoutes } from "./delivered/wireConfiguration.js";

const service = "order-app";
const file = {
    node_name: "front-1",
    ip_address: "10.0.0.1",
    zone: "a",
    // compared by content, as each reading of the file makes another table
    zones: { a: "eu" },
    listen_addresses: { front: "10.0.0.1:1", ready: "10.0.0.1:2" },
    internal_ports: [7_600, 7_615],
    heartbeat_ms: 1_200,
    bootstrap: true,
    bounds: { grace_s: 8, revoke_ms: 5_000, quota_slack: 100 },
    platform: { address: "10.0.0.2:3", form: "log", parts: 12 },
};

// follows texts of the file, one a check; an error stands for a file that can't be read
async function checkTexts(texts: readonly (string | Error)[]) {
    const text = JSON.stringify(file);
    const decoded = decodeSettings(text);
    if (!decoded.ok) {
        throw new Error(decoded.error.detail);
    }
    const rest = [...texts];
    const lines: unknown[] = [];
    const write = (event: string, fields?: unknown): void => void lines.push([event, fields]);
    let { bounds } = decoded.value;
    const options = createInstanceOptions(decoded.value, () => bounds, 1, createSystemClock());
    const follower = createSettingsFollower({
        started: decoded.value,
        text,
        readText: () => {
            const next = rest.shift()!;
            return next instanceof Error ? Promise.reject(next) : Promise.resolve(next);
        },
        onBounds: changed => bounds = changed,
        log: { info: write, warn: write },
    });
    while (rest.length > 0) {
        await follower.check();
    }
    return { options, lines };
}

function encodeFile(change: object): string {
    return JSON.stringify({ ...file, ...change });
}

describe("settings file of a running process", function() {
    this.timeout(60_000);

    it("changes the bounds that hold from then on, with one line of the log", async () => {
        const changed = encodeFile({ bootstrap: false, bounds: { grace_s: 3, revoke_ms: 9_000, quota_slack: 7 } });
        const { options, lines } = await checkTexts([changed, changed]);
        expect([options.grace, options.revocationBound, options.quota.excessUnits]).to.deep.equal([3_000, 9_000, 7]);
        const fields = { gracePeriod: 3_000, keyRevocationDelay: 9_000, quotaExcessAllowance: 7 };
        expect(lines).to.deep.equal([["settings changed", fields]]);
    });

    // guards against a file that is read while it is written, or can't be read, and changes anything or fills the log
    it("changes nothing when it can't be used, with one line each time that it has changed", async () => {
        const gone = Object.assign(new Error("gone"), { code: "ENOENT" });
        const invalid = encodeFile({ bounds: { grace_s: "long" } });
        const { options, lines } = await checkTexts(["{", "{", gone, gone, invalid, invalid, encodeFile({})]);
        expect([options.grace, options.revocationBound]).to.deep.equal([8_000, 5_000]);
        expect(lines).to.deep.equal([
            ["settings refused", { detail: "the settings file is not valid JSON" }],
            ["settings refused", { detail: "ENOENT" }],
            ["settings refused", { detail: "bounds.grace_s: Invalid input: expected number, received string" }],
        ]);
    });

    it("names once what needs a restart, and takes up the rest", async () => {
        const moved = { zone: "b", platform: { ...file.platform, address: "10.0.0.9:3" } };
        const { options, lines } = await checkTexts([
            encodeFile(moved),
            encodeFile({ ...moved, bounds: { ...file.bounds, grace_s: 4, budget_window_s: 30 } }),
        ]);
        expect([options.grace, options.retry.window, options.failureDomain]).to.deep.equal([4_000, 10_000, "a"]);
        expect(options.region).to.equal("eu");
        expect(lines).to.deep.equal([
            ["settings need a restart", { fields: ["zone", "platform.address"] }],
            ["settings changed", { gracePeriod: 4_000 }],
            ["settings need a restart", { fields: ["bounds.budget_window_s"] }],
        ]);
    });

    // guards against a signal that comes while the file before its change is being read, and is forgotten
    it("is read again when a check is asked for while one is running", async () => {
        const started = decodeSettings(JSON.stringify(file));
        const reads: ((text: string) => void)[] = [];
        const graces: number[] = [];
        const follower = createSettingsFollower({
            started: started.ok ? started.value : expect.fail(started.error.detail),
            text: JSON.stringify(file),
            readText: () => new Promise(resolve => reads.push(resolve)),
            onBounds: ({ gracePeriod }) => graces.push(gracePeriod),
            log: { info: () => undefined, warn: () => undefined },
        });
        const checked = Promise.all([follower.check(), follower.check()]);
        reads[0]!(JSON.stringify(file));
        await pause(1);
        expect(reads).to.have.length(2);
        reads[1]!(encodeFile({ bounds: { ...file.bounds, grace_s: 3 } }));
        await checked;
        expect([graces, reads.length]).to.deep.equal([[3_000], 2]);
    });

    // guards against a process that goes by the grace of its start, so that it is killed with answers in progress (LOST)
    it("gives the grace of a stop, whether a signal tells of the change or not", async () => {
        await runDeployment({
            configuration: createStopConfiguration(service),
            servers: [{ service, id: "i-1", respond: () => true }],
            machines: 2,
        }, async ({ machines }) => {
            // an instance may be ready before it knows the servers
            await pause(1_000);
            const endings = machines.map(async (machine, index) => {
                const answer = sendClientRequest({
                    host: machine.host,
                    port: machine.clientPort,
                    path: `${stopRoutes.long.path}1`,
                    headers: { Host: stopRoutes.long.host, "X-Oriolehatch-Attempt-Id": `a-${index}` },
                    patience: 20_000,
                });
                await pause(500);
                machine.changeBounds(undefined);
                machine.sendSignal("SIGHUP");
                await pause(200);
                machine.changeBounds({ grace_s: 3 });
                if (index === 0) {
                    machine.sendSignal("SIGHUP");
                }
                await pause(index === 0 ? 100 : 1_500);
                const kill = setTimeout(() => machine.sendSignal("SIGKILL"), 3_000);
                await machine.stop();
                clearTimeout(kill);
                return (await answer).status;
            });
            expect(await Promise.all(endings)).to.deep.equal([502, 502]);
            machines.forEach(machine => expect(machine.readOutput()).to.contain('"gracePeriod":3000'));
        });
    });
});
