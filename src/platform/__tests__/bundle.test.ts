import { expect } from "chai";
import { execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const startLimitMilliseconds = 20_000;
/** Some literals of packages can't be split. */
const longestLineLength = 4_000;

describe("daemon bundle", () => {
    let folder: string;
    let file: string;

    before(() => {
        folder = mkdtempSync(join(tmpdir(), "oriolehatch-"));
        file = join(folder, "main.mjs");
        execFileSync(process.execPath, ["deploy/bundle.js", file]);
    });
    after(() => rmSync(folder, { recursive: true }));

    it("starts without node_modules", () => {
        const help = execFileSync(process.execPath, [file, "--help"], { cwd: folder, encoding: "utf8" });
        expect(help).to.contain("ORIOLEHATCH_NODE_FILE");
    });

    // guards against a failed check of the HTTP client for whose message the runtime parses the bundle, which takes seconds
    it("calls no assertion of the runtime", () => {
        expect(readFileSync(file, "utf8")).not.to.match(/["'](node:)?assert(\/strict)?["']/);
    });

    // guards against an error that ends the process and before whose stack the runtime prints a line of 300,000 characters
    it("has short lines", () => {
        const lengths = readFileSync(file, "utf8").split("\n").map(line => line.length);
        expect(Math.max(...lengths)).to.be.below(longestLineLength);
    });

    // the bundle holds only some parts of the HTTP client; without one of them no call is sent
    it("calls the platform's store", async () => {
        const paths: string[] = [];
        const store = createServer((request, response) => {
            paths.push(request.url ?? "");
            response.writeHead(503).end();
        });
        store.listen(0, "127.0.0.1");
        await once(store, "listening");
        const { port } = store.address() as AddressInfo;
        const settings = join(folder, "settings.json");
        // runs beside each other must not share an address, as the port of the metrics is fixed
        const host = `127.${process.pid % 200 + 1}.${Math.floor(process.pid / 200) % 250}.254`;
        const listenAddresses = { front: `${host}:0`, ready: `${host}:0` };
        writeFileSync(
            settings,
            JSON.stringify({
                node_name: "front-1",
                ip_address: host,
                zone: "a",
                listen_addresses: listenAddresses,
                internal_ports: [0, 0],
                heartbeat_ms: 1_000,
                bounds: {},
                platform: { address: `127.0.0.1:${port}`, form: "log", parts: 4 },
            }),
        );
        const daemon = spawn(process.execPath, [file, "--metrics-port", "39464"], {
            env: { PATH: process.env["PATH"], ORIOLEHATCH_NODE_FILE: settings },
            stdio: "ignore",
        });
        try {
            const signal = AbortSignal.timeout(startLimitMilliseconds);
            // other calls may come between: what began streams is read at a start, too
            const countNewest = (): number => paths.filter(path => path.startsWith("/log-newest")).length;
            while (countNewest() < 3) {
                await once(store, "request", { signal });
            }
            expect(countNewest()).to.be.at.least(3);
            expect(paths.some(path => path.startsWith("/log-read"))).to.equal(true);
        }
        finally {
            daemon.kill("SIGKILL");
            store.closeAllConnections();
            store.close();
        }
    });
});
