/**
 * Snapshot assertions for mocha, built on jest-snapshot.
 *
 * @packageDocumentation
 */
import { expect } from "chai";
import { SnapshotState } from "jest-snapshot";
import { basename, dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const repositoryRoot = fileURLToPath(new URL("../..", import.meta.url));
const snapshotStates = new Map<string, SnapshotState>();

/**
 * Compares a value with the stored snapshot of the running test. With `UPDATE_SNAPSHOTS` set, the snapshot is written
 * instead. When `CI` is set, no snapshot is ever written, and a missing or changed snapshot fails the test.
 *
 * @param test - the running test, which is `this.test` in a mocha callback
 * @param received - the value to compare; objects are printed with sorted keys
 * @param name - distinguishes several snapshots of one test
 */
export function expectSnapshot(test: Mocha.Runnable | undefined, received: unknown, name = ""): void {
    if (!test?.file) {
        throw new Error("expectSnapshot needs the running test; pass this.test from a function () {} callback");
    }
    const state = readSnapshotState(test.file);
    const testName = [test.fullTitle(), name].filter(Boolean).join(": ");
    const result = state.match({ testName, received, isInline: false });
    if (!result.pass) {
        expect(result.actual, `snapshot of "${testName}"; npm run test:update writes it`).to.equal(
            result.expected ?? "a stored snapshot",
        );
    }
}

/** Writes the changed snapshot files if updates are enabled. The mocha hooks call it once after all tests. */
export function saveSnapshots(): void {
    for (const state of snapshotStates.values()) {
        if (process.env["UPDATE_SNAPSHOTS"]) {
            state.removeUncheckedKeys();
        }
        state.save();
    }
}

function readSnapshotState(testFile: string): SnapshotState {
    const known = snapshotStates.get(testFile);
    if (known) {
        return known;
    }
    const updating = process.env["UPDATE_SNAPSHOTS"] !== undefined && process.env["CI"] === undefined;
    const state = new SnapshotState(resolveSnapshotPath(testFile), {
        rootDir: repositoryRoot,
        updateSnapshot: updating ? "all" : "none",
        snapshotFormat: { escapeString: false, printBasicPrototype: false },
        prettierPath: undefined,
    });
    snapshotStates.set(testFile, state);
    return state;
}

// tests run from dist, but snapshots are stored beside the sources
function resolveSnapshotPath(testFile: string): string {
    const sourceFolder = dirname(testFile).replace(`${repositoryRoot}dist`, `${repositoryRoot}src`);
    return join(sourceFolder, "__snapshots__", `${basename(testFile, ".test.js")}.snap`);
}
