import { expect } from "chai";
import { readFile } from "node:fs/promises";
import { createSystemClock } from "../../shared/index.js";
import { createLogStandin } from "../../standins/index.js";
import { runCli } from "../runCli.js";

const route = {
    name: "chat",
    host: "a.test",
    path_prefix: "/v1/",
    kind: "stream",
    service: "engines",
    timeout_ms: 5_000,
    target_latency_ms: 500,
};
const account = { name: "acme", api_keys: ["secret-1"], unit: "tokens", rate_per_s: 100, burst: 100, plain_tokens: 10 };
const record = { version: 1, routes: [route], services: [{ name: "engines" }], tenants: [account], limits: {} };

async function check(files: Readonly<Record<string, unknown>>, ...args: readonly string[]) {
    const seen = { output: "", error: "" };
    const code = await runCli(["config", "check", ...args], {
        variables: { USER: "operator" },
        clock: createSystemClock(),
        readFile: async path => {
            const file = files[path];
            if (file === undefined) {
                throw Object.assign(new Error(`no file ${path}`), { syscall: "open" });
            }
            return typeof file === "string" ? file : JSON.stringify(file, undefined, 2);
        },
        writeFile: () => Promise.resolve(),
        writeOutput: text => seen.output += text,
        writeError: text => seen.error += text,
        signal: new AbortController().signal,
        openInstance: () => Promise.reject(new Error("not used")),
    });
    return { code, text: seen.output + seen.error };
}

describe("check of a configuration", () => {
    it("has no findings in sound files of both forms", async () => {
        const example = await readFile("examples/settings.yaml", "utf8");
        expect(await check({ "f.yaml": example }, "f.yaml")).to.deep.equal({ code: 0, text: "f.yaml: no findings\n" });
        expect((await check({ "f.json": record }, "f.json")).code).to.equal(0);
    });

    // each guards against an entry or limit that instances accept and that has another effect than was meant
    const records: readonly (readonly [string, string, object])[] = [
        ["a route that a later one hides", "routes.0:", { routes: [route, { ...route, name: "other" }] }],
        ["a prefix that no path reaches", "routes.0.path_prefix:", { routes: [{ ...route, path_prefix: "/v1" }] }],
        ["a target without a service", "routes.0.service:", { services: [] }],
        ["a route without a target", "routes.0:", {
            routes: [{ ...route, split: [{ service: "engines", weight: 0 }] }],
        }],
        ["a time-out below the objective", "routes.0.timeout_ms:", { routes: [{ ...route, timeout_ms: 400 }] }],
        ["an account without a key", "tenants.0:", { tenants: [{ ...account, api_keys: [] }] }],
        ["an account that is left out", "tenants.0.name:", { tenants: [{ ...account, name: "a\n" }] }],
        ["a key of two accounts", "tenants.0.api_keys.0:", { tenants: [account, { ...account, name: "b" }] }],
        ["a burst below one request", "tenants.0.burst:", { tenants: [{ ...account, burst: 9 }] }],
    ];
    for (const [name, path, change] of records) {
        it(`reports ${name}, with line and path`, async () => {
            const { code, text } = await check({ "f.json": { ...record, ...change } }, "f.json");
            expect(code).to.equal(1);
            expect(text).to.match(new RegExp(`^f\\.json:\\d+:\\d+: ${path.replaceAll(".", "\\.")} `));
            expect(text).not.to.contain("secret");
            expect(text.trimEnd().split("\n").length, text).to.equal(2);
        });
    }

    it("reports limits and entries of a settings tree that contradict each other or have no effect", async () => {
        const tree = `format: 1
nodes:
  empty: { kind: group }
  family: { kind: group, limits: { rate: 10, burst: 2000 } }
  child: { kind: clientAccount, parent: family, limits: { rate: 20, burst: 1000 } }
  closed: { kind: route, serves: service, pool: p, accounts: [] }
  large: { kind: route, serves: service, pool: p, costTokens: 1500 }
`;
        const { code, text } = await check({ "f.yaml": tree }, "f.yaml");
        expect(code).to.equal(1);
        const places = text.split("\n").filter(line => line.startsWith("f.yaml")).map(line =>
            line.split(": ")[0]! + line.split(": ")[1]!
        );
        expect(places).to.deep.equal([
            "f.yaml:3:3nodes.empty",
            "f.yaml:5:59nodes.child.limits.rate",
            "f.yaml:5:69nodes.child.limits.burst",
            "f.yaml:6:52nodes.closed.accounts",
        ]);
    });

    it("reports an error of the schema with its line", async () => {
        const { code, text } = await check({ "f.json": { ...record, version: "one" } }, "f.json");
        expect(code).to.equal(1);
        expect(text).to.match(/^f\.json:2:3: version: /);
        expect((await check({ "f.json": '{"version": 1,}' }, "f.json")).code).to.equal(1);
    });

    // guards against keys in the output of a command that runs in CI
    it("lists differences by path, without keys", async () => {
        const other = {
            ...record,
            services: [...record.services, { name: "s" }],
            tenants: [{ ...account, api_keys: ["secret-2"], burst: 50 }],
        };
        const { code, text } = await check(
            { "new.json": other, "old.json": record },
            "new.json",
            "--against",
            "old.json",
        );
        expect({ code, text }).to.deep.equal({
            code: 0,
            text:
                'services[s].name: unset -> "s"\ntenants[acme].api_keys[0]: "(key)" -> "(key)"\ntenants[acme].burst: 100 -> 50\n',
        });
        const json = await check(
            { "new.json": other, "old.json": record },
            "new.json",
            "--against",
            "old.json",
            "--json",
        );
        expect(JSON.parse(json.text)).to.deep.include({ findings: [] });
        expect(json.text).not.to.contain("secret");
    });

    it("compares a settings tree with the published one", async () => {
        const log = createLogStandin({ clock: createSystemClock(), readWallClock: () => 0 });
        const address = await log.start();
        const example = await readFile("examples/settings.yaml", "utf8");
        const { code, text } = await check({ "f.yaml": example }, "f.yaml", "--log", address);
        await log.stop();
        expect(code).to.equal(0);
        expect(text).to.match(/nodes\.\S+: unset -> /);
    });

    it("ends with 2 for a file that can't be read, or one of the other form", async () => {
        expect((await check({}, "f.json")).code).to.equal(2);
        expect((await check({ "f.json": record }, "f.json", "--against", "g.json")).code).to.equal(2);
        const tree = "format: 1\nnodes: {}\n";
        expect((await check({ "f.json": record, "g.yaml": tree }, "f.json", "--against", "g.yaml")).code).to.equal(2);
    });
});
