import { expect } from "chai";
import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

describe("daemon bundle", () => {
    it("is built by deploy/bundle.js and starts without node_modules", () => {
        const folder = mkdtempSync(join(tmpdir(), "oriolehatch-"));
        try {
            const file = join(folder, "main.mjs");
            execFileSync(process.execPath, ["deploy/bundle.js", file]);
            const help = execFileSync(process.execPath, [file, "--help"], { cwd: folder, encoding: "utf8" });
            expect(help).to.contain("ORIOLEHATCH_NODE_FILE");
        }
        finally {
            rmSync(folder, { recursive: true });
        }
    });
});
