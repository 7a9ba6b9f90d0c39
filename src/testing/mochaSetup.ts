/**
 * Root hooks of mocha for all tests: they silence the logs, save snapshots, handle known failures and print the totals.
 *
 * @packageDocumentation
 */
import { setLogLevel } from "../shared/index.js";
import { readKnownRed } from "./knownRed.js";
import { watchEnd } from "./processEnd.js";
import { saveSnapshots } from "./snapshot.js";

const knownRedTitles = readKnownRed("test");
let passed = 0;
let failed = 0;

/** Hooks that mocha loads through `--require`. */
export const mochaHooks: Mocha.RootHookObject = {
    beforeAll: () => setLogLevel("silent"),
    beforeEach(this: Mocha.Context): void {
        const test = this.currentTest;
        if (test && knownRedTitles.has(test.fullTitle())) {
            expectFailure(test);
        }
    },
    afterEach(this: Mocha.Context): void {
        passed += this.currentTest?.state === "passed" ? 1 : 0;
        failed += this.currentTest?.state === "failed" ? 1 : 0;
    },
    afterAll: () => {
        saveSnapshots();
        process.stdout.write(`\n${passed} passed, ${failed} failed\n`);
        watchEnd();
    },
};

// a known failure is printed and reported as skipped; a pass fails the test so that its outdated entry gets removed
function expectFailure(test: Mocha.Test): void {
    const runOriginal = test.fn as unknown as ((this: Mocha.Context) => unknown) | undefined;
    test.fn = async function(this: Mocha.Context): Promise<void> {
        try {
            await runOriginal?.call(this);
        }
        catch (error) {
            process.stdout.write(`\nknown red: ${test.fullTitle()}: ${String(error).split("\n")[0]}\n`);
            this.skip();
        }
        throw new Error(`${test.fullTitle()} passes now; remove its entry from KNOWN-RED.txt`);
    };
}
