import { expect } from "chai";
import { readFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createSystemClock } from "../../shared/index.js";
import { createLogStandin, type LogStandin } from "../../standins/index.js";
import { expectSnapshot } from "../../testing/index.js";
import { helpTexts } from "../help.js";
import { runCli } from "../runCli.js";
import type { CliEnvironment, Daemon } from "../types.js";

interface CliRun {
    readonly code: number;
    readonly output: string;
    readonly error: string;
}

const exampleFile = "examples/settings.yaml";

describe("command line", () => {
    let log: LogStandin;
    let logAddress: string;
    let files: Map<string, string>;

    beforeEach(async () => {
        log = createLogStandin({ clock: createSystemClock(), readWallClock: () => 0 });
        logAddress = await log.start();
        files = new Map([[exampleFile, await readFile(exampleFile, "utf8")]]);
    });
    afterEach(() => log.stop());

    const createEnvironment = (run: { output: string; error: string; }, daemon?: Daemon): CliEnvironment => ({
        variables: { ORIOLEHATCH_LOG: logAddress, USER: "operator" },
        clock: createSystemClock(),
        readFile: path => {
            const text = files.get(path);
            return text === undefined
                ? Promise.reject(Object.assign(new Error(`no file ${path}`), { syscall: "open" }))
                : Promise.resolve(text);
        },
        writeFile: (path, text) => {
            files.set(path, text);
            return Promise.resolve();
        },
        writeOutput: text => run.output += text,
        writeError: text => run.error += text,
        signal: new AbortController().signal,
        openInstance: () => Promise.resolve(daemon!),
    });
    const run = async (...args: string[]): Promise<CliRun> => {
        const seen = { output: "", error: "" };
        const code = await runCli(args, createEnvironment(seen));
        return { code, ...seen };
    };
    const redactText = (text: string): string =>
        text
            .replace(/ohk_[\w-]+/g, "KEY")
            .replace(/springs-key-[\w-]+/g, "springs-key-ID")
            .replace(/  operator  \S{16}  /g, "  operator  CHANGE  ")
            .replace(/"changeId":"\S{16}"/g, '"changeId":"CHANGE"')
            .replace(/settle \S{16}/g, "settle CHANGE");
    const redactRun = (seen: CliRun): string => redactText(`exit ${seen.code}\n${seen.output}${seen.error}`);

    it("supports an operator session from validation to key withdrawal", async function() {
        const session: string[] = [];
        const runAndRecord = async (...args: string[]): Promise<CliRun> => {
            const seen = await run(...args);
            session.push(`$ oriolehatch ${redactText(args.join(" "))}\n${redactRun(seen)}`);
            return seen;
        };
        await runAndRecord("config", "validate", exampleFile);
        await runAndRecord("config", "diff", exampleFile);
        await runAndRecord("config", "publish", exampleFile);
        await runAndRecord("config", "publish", exampleFile);
        const granted = await runAndRecord("key", "grant", "--account", "springs");
        await runAndRecord("key", "grant", "--account", "nobody");
        files.set("edited.yaml", files.get(exampleFile)!.replace("version: v3", "version: v4"));
        await runAndRecord("config", "diff", "edited.yaml");
        await runAndRecord("config", "publish", "edited.yaml", "--json");
        await runAndRecord("config", "history");
        const name = /name: (\S+)/.exec(granted.output)![1]!;
        await runAndRecord("key", "withdraw", name);
        await runAndRecord("key", "withdraw", name);
        expect(granted.output).to.match(/key: ohk_/);
        expectSnapshot(this.test, session.join("\n"));
    });

    it("keeps granted keys when a file without them is published", async () => {
        await run("config", "publish", exampleFile);
        await run("key", "grant", "--account", "springs", "--name", "k1");
        files.set("edited.yaml", files.get(exampleFile)!.replace("version: v3", "version: v4"));
        await run("config", "publish", "edited.yaml");
        expect((await run("config", "get")).output).to.include("k1:");
        await run("config", "publish", "edited.yaml", "--remove-keys");
        expect((await run("config", "get")).output).to.not.include("k1:");
    });

    it("refuses a file that would overwrite a change published after the file was read", async () => {
        await run("config", "publish", exampleFile);
        await run("config", "get", "--output", "mine.yaml");
        files.set("theirs.yaml", files.get("mine.yaml")!.replace("version: v3", "version: v4"));
        expect((await run("config", "publish", "theirs.yaml")).code).to.equal(0);
        files.set("mine.yaml", files.get("mine.yaml")!.replace("version: v3", "version: v5"));
        const refused = await run("config", "publish", "mine.yaml");
        expect([refused.code, refused.error]).to.deep.equal([
            1,
            "not published: compression-springs changed since offset 0, which the file is based on\n"
            + "    get the tree again and repeat the edit, or remove the file's first line to overwrite\n",
        ]);
    });

    it("reports errors of a settings file and publishes nothing", async function() {
        files.set(
            "bad.yaml",
            files.get(exampleFile)!.replace("rate: 20", "rate: -20").replace("v1", "v1\n    versoin: v2"),
        );
        const seen = await run("config", "publish", "bad.yaml");
        expect(seen.code).to.equal(1);
        expect(log.received.filter(request => request.method === "POST").length).to.equal(0);
        expectSnapshot(this.test, redactRun(seen));
        const json = await run("config", "validate", "bad.yaml", "--json");
        expect((JSON.parse(json.output) as { mistakes: object[]; }).mistakes.length).to.equal(2);
    });

    it("finds the outcome of a change whose response was lost, and reports when nothing was published", async () => {
        log.faults.loseAnswers(1);
        expect((await run("config", "publish", exampleFile)).output).to.equal("accepted at offset 0\n");
        expect((await run("config", "settle", "nothing")).code).to.equal(4);
        log.faults.startOutage(60_000);
        const down = await run("key", "grant", "--account", "springs");
        expect([down.code, down.output]).to.deep.equal([3, ""]);
    });

    it("waits until a change is applied", async () => {
        let offset = -1;
        const buildAnswer = (): string =>
            JSON.stringify({ instance: "i1", ready: true, reasons: [], appliedOffset: offset++, parts: {} });
        const server = createServer((request, response) => response.end(buildAnswer()));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const seen = await run("config", "publish", exampleFile, "--wait", "--instance", address);
        expect([seen.code, seen.output]).to.deep.equal([0, "accepted at offset 0, in force on 1 instances\n"]);
        const status = await run("status", "--instance", address, "--instance", logAddress);
        server.close();
        expect(status.code).to.equal(3);
        expect(status.error).to.include("i1 ready").and.to.include("unreachable");
    });

    it("explains usage errors", async function() {
        const uses = [
            [],
            ["config"],
            ["config", "validate"],
            ["config", "publish", "a", "b"],
            ["config", "publish", exampleFile, "--wait"],
            ["key", "grant"],
            ["key", "grant", "--acount", "springs"],
            ["config", "history", "--limit", "few"],
            ["config", "validate", "missing.yaml"],
            ["status"],
        ];
        const seen: string[] = [];
        for (const args of uses) {
            seen.push(`$ oriolehatch ${args.join(" ")}\n${redactRun(await run(...args))}`);
        }
        expectSnapshot(this.test, seen.join("\n"));
    });

    it("answers --help for every command", async function() {
        const seen: string[] = [];
        for (const name of helpTexts.keys()) {
            const help = await run(...name.split(" ").filter(Boolean), "--help");
            expect(help.code).to.equal(0);
            seen.push(help.output);
        }
        expectSnapshot(this.test, seen.join("\n"));
    });

    it("runs an instance from its settings file and reports errors of the file", async () => {
        const started: string[] = [];
        const seen = { output: "", error: "" };
        const environment = {
            ...createEnvironment(seen),
            openInstance: (options: { readonly failureDomain: string; }): Promise<Daemon> => {
                started.push(options.failureDomain);
                return Promise.resolve({ run: () => Promise.resolve() });
            },
        };
        const example = await readFile("examples/instances/instance-a.yaml", "utf8");
        files.set("i.yaml", `${example}logLevel: silent\n`);
        expect(await runCli(["instance", "--config", "i.yaml"], environment)).to.equal(0);
        files.set("i.yaml", "address: nowhere\n");
        expect(await runCli(["instance", "--config", "i.yaml"], environment)).to.equal(1);
        expect(started).to.deep.equal(["a"]);
        expect(seen.error).to.include("i.yaml:1:1: address: not an IP number and port, such as 10.0.0.5:8080");
    });
});
