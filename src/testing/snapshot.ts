/**
 * Snapshot assertions for mocha, on jest-snapshot.
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
 * Compares text with the stored snapshot of the running test. `UPDATE_SNAPSHOTS=1` writes; under `CI` a missing or
 * changed snapshot fails and none is written.
 *
 * @param test - the running test: `this.test` of a mocha callback, or its file and title
 * @param received - what the test produced; objects are printed in a stable form
 * @param name - tells several snapshots of one test apart
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

/** Writes changed snapshot files when updating; called once after all tests. */
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

// tests run from dist; the snapshots belong to the sources
function resolveSnapshotPath(testFile: string): string {
    const sourceFolder = dirname(testFile).replace(`${repositoryRoot}dist`, `${repositoryRoot}src`);
    return join(sourceFolder, "__snapshots__", `${basename(testFile, ".test.js")}.snap`);
}
