import { expect } from "chai";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { leftOpenExitStatus } from "../processEnd.js";

const moduleUrl = new URL("../processEnd.js", import.meta.url).href;

async function runProgram(lines: readonly string[]): Promise<{ readonly status: number; readonly written: string; }> {
    const source = [`import { watchEnd } from ${JSON.stringify(moduleUrl)};`, ...lines].join("\n");
    const child = spawn(process.execPath, ["--input-type=module", "--eval", source], {
        stdio: ["ignore", "ignore", "pipe"],
    });
    let written = "";
    child.stderr.setEncoding("utf8").on("data", (text: string) => written += text);
    const [status] = await once(child, "close") as [number];
    return { status, written };
}

describe("end of the process of the tests", () => {
    // guards against a run of CI that goes on until its time limit because a test left something open
    it("is forced, with a status of its own, and names what was left open", async () => {
        const { status, written } = await runProgram([
            `import { createServer } from "node:net";`,
            `createServer().listen(0, "127.0.0.1", () => watchEnd(50));`,
        ]);
        expect(status).to.equal(leftOpenExitStatus);
        expect(written).to.match(
            /goes on 50 ms after its last test; open: server at \{.*127\.0\.0\.1.*1 TCPServerWrap/,
        );
    });

    // guards against a process that goes on at full speed after its last event, which no timer can end
    it("is forced where a connection was left that can't be closed any more", async () => {
        const { status, written } = await runProgram([
            `import { connect, createServer } from "node:net";`,
            `watchEnd(60_000);`,
            `const server = createServer({ allowHalfOpen: true }, socket => {`,
            `    socket.on("error", () => undefined);`,
            `    socket.end();`,
            `    process.nextTick(() => socket.resetAndDestroy());`,
            `    server.close();`,
            `}).listen(0, "127.0.0.1", () => connect(server.address().port, "127.0.0.1").resume());`,
        ]);
        expect(status).to.equal(leftOpenExitStatus);
        expect(written).to.include("a connection can't be closed any more; open: connection");
    });

    it("isn't held up where nothing was left open", async () => {
        expect(await runProgram(["watchEnd(60_000);"])).to.deep.equal({ status: 0, written: "" });
    });
});
