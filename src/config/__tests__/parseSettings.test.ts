import { expect } from "chai";
import { expectSnapshot } from "../../testing/index.js";
import { formatSettingsMistake, parseSettings } from "../index.js";

const goodFile = `format: 1
nodes:
  accounts:
    kind: group
    limits: { rate: 1000, burst: 4000 }
  springs:
    kind: clientAccount
    parent: accounts
    limits: { rate: 50 }
  springs-key:
    kind: key
    account: springs
    hash: ${"a".repeat(64)}
  quoting:
    kind: group
    baseModel: base-7b
    pool: quoting
  wire-forms:
    kind: adapter
    parent: quoting
    version: v3
  drafts:
    kind: route
    parent: quoting
    serves: model
    adapter: wire-forms
  orders:
    kind: route
    serves: service
    pool: orders
`;

const mistakes: Readonly<Record<string, (text: string) => string>> = {
    "unknown field": text => text.replace("    version: v3", "    version: v3\n    versoin: v4"),
    "wrong type": text => text.replace("rate: 50", "rate: fast"),
    "unknown parent": text => text.replace("parent: accounts", "parent: acounts"),
    cycle: text => text.replace("    baseModel: base-7b", "    baseModel: base-7b\n    parent: quoting"),
    "adapter without version": text => text.replace("    version: v3\n", ""),
    "rate below zero": text => text.replace("rate: 50", "rate: -50"),
    "duplicate node": text => `${text}  drafts:\n    kind: group\n`,
    "bad YAML": text => text.replace("{ rate: 50 }", "{ rate: 50"),
    "route to an unknown adapter": text => text.replace("adapter: wire-forms", "adapter: wire-form"),
    "key of an unknown account": text => text.replace("account: springs", "account: spring"),
    "unknown kind": text => text.replace("kind: adapter", "kind: adaptor"),
    "bad name": text => text.replace("  orders:", "  or ders:"),
    "missing field": text => text.replace("    pool: quoting\n", ""),
    "two weight stores": text =>
        `${text}${
            ["store-a", "store-b"].map(name =>
                `  ${name}: { kind: weightStore, loadsPerSecond: 5, loadBurst: 1, loadsInFlight: 8 }\n`
            ).join("")
        }`,
    "open route without an account": text => text.replace("    pool: orders", "    pool: orders\n    access: open"),
    "no nodes": () => "format: 1\n",
    empty: () => "",
};

describe("settings file", () => {
    it("is parsed with all its fields", function() {
        const parsed = parseSettings(goodFile, "settings.yaml");
        expect(parsed.ok).to.equal(true);
        expectSnapshot(this.test, parsed);
    });

    for (const [name, makeMistake] of Object.entries(mistakes)) {
        it(`is refused with line and remedy: ${name}`, function() {
            const parsed = parseSettings(makeMistake(goodFile), "settings.yaml");
            expect(parsed.ok).to.equal(false);
            expectSnapshot(this.test, parsed.ok ? "" : parsed.error.map(formatSettingsMistake).join("\n"));
        });
    }
});
