/**
 * Watches that the process of the tests ends after the last one: something that a test left open would keep it, and with
 * it CI, until the time limit, and nobody would see which.
 *
 * @packageDocumentation
 */
import { ChildProcess } from "node:child_process";
import { Server, Socket } from "node:net";
import type { Milliseconds } from "../shared/index.js";

/** What Node.js knows of the handles that keep its event loop, which its types leave out. */
interface ProcessHandles {
    readonly _getActiveHandles: () => readonly unknown[];
}

/** Time that the process may go on after its last test. */
const endLimitMilliseconds: Milliseconds = 30_000;

/** Exit status of a process that was ended because it didn't end by itself. */
export const leftOpenExitStatus = 70;

/**
 * Ends this process with a status of its own, and names what keeps it, when it goes on for too long, or would go on for good
 * behind its last event.
 *
 * @param limit - time that it may go on, in milliseconds
 */
export function watchEnd(limit: Milliseconds = endLimitMilliseconds): void {
    setTimeout(() => failEnd(`the process goes on ${limit} ms after its last test`), limit).unref();
    // Node.js waits without end for a handle that it can't close any more, after the last event of the process
    process.once("exit", () => {
        if (listHandles().some(handle => handle instanceof Socket && handle.destroyed)) {
            failEnd("a connection can't be closed any more");
        }
    });
}

function failEnd(reason: string): void {
    process.stderr.write(`${reason}; open: ${describeOpenResources().join(", ")}\n`);
    process.exit(leftOpenExitStatus);
}

/**
 * Describes what keeps this process from ending.
 *
 * @returns a line for each handle, then the count of each kind of resource
 */
export function describeOpenResources(): readonly string[] {
    const counts = new Map<string, number>();
    for (const kind of process.getActiveResourcesInfo()) {
        counts.set(kind, (counts.get(kind) ?? 0) + 1);
    }
    return [...listHandles().map(describeHandle), ...[...counts].map(([kind, count]) => `${count} ${kind}`)];
}

function listHandles(): readonly unknown[] {
    return (process as unknown as ProcessHandles)._getActiveHandles();
}

function describeHandle(handle: unknown): string {
    if (handle instanceof Server) {
        return `server at ${JSON.stringify(handle.address())}`;
    }
    if (handle instanceof Socket) {
        return `connection ${handle.localPort ?? "none"} to ${handle.remotePort ?? "none"}${
            handle.destroyed ? ", closed" : ""
        }`;
    }
    if (handle instanceof ChildProcess) {
        return `process ${handle.pid ?? "none"}: ${handle.spawnargs.join(" ")}`;
    }
    return (handle as object).constructor.name;
}
