// What the scripts share: the folder of a run, its record, its clients, and the end of all that it started.
import { createWriteStream, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { request as sendHttp } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { readCommand, sleep } from "./machines.mjs";

const root = fileURLToPath(new URL("../../", import.meta.url));
const limitMilliseconds = 118_000;

/** Whether the run has its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. `play` gets the
 * folder, `note` for the record, which is written to `recordFile`, and `atEnd` for what must be ended; it returns whether the rule was broken.
 */
export async function runCase(recordFile, play) {
    const folder = mkdtempSync(join(tmpdir(), "review-2-"));
    const record = createWriteStream(recordFile);
    const startedAt = performance.now();
    const note = text => record.write(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}\n`);
    const ends = [];
    const finish = async code => {
        await Promise.all(ends.map(end => Promise.resolve().then(end).catch(() => undefined)));
        rmSync(folder, { recursive: true, force: true });
        await new Promise(resolve => record.end(resolve));
        process.exit(code);
    };
    const stop = text => {
        note(`not run: ${text}`);
        console.log(`not run: ${text}`);
        return finish(2);
    };
    setTimeout(() => void stop("over its time"), limitMilliseconds).unref();
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.once(signal, () => void stop(signal));
    }
    try {
        readFileSync(join(root, readCommand().find(word => word.startsWith("target/"))));
        const isBroken = await play({ folder, note, atEnd: end => ends.push(end) });
        const verdict = isBroken ? "the rule was broken" : "the rule held";
        note(verdict);
        console.log(verdict);
        await finish(isBroken ? 1 : 0);
    }
    catch (error) {
        await stop(String(error?.stack ?? error));
    }
}

/** The platform's balancer: it asks each machine of the list once a second, and takes it out after two misses. */
export function createBalancer(machines) {
    const misses = new Map();
    const countMisses = machine => misses.get(machine) ?? 0;
    let isOver = false;
    let next = 0;
    const ask = async () => {
        while (!isOver) {
            await Promise.all(machines.map(async machine =>
                misses.set(machine, await machine.isReady() ? 0 : countMisses(machine) + 1)
            ));
            await sleep(1_000);
        }
    };
    void ask();
    return {
        pick: except => {
            const ready = machines.filter(machine => countMisses(machine) < 2);
            const rotation = ready.length * 2 < machines.length ? machines : ready;
            const others = rotation.filter(machine => machine !== except);
            const among = others.length > 0 ? others : rotation;
            return among[next++ % among.length];
        },
        close: () => isOver = true,
    };
}

/**
 * Sends one attempt of a client on a connection of its own and resolves with what the client saw. `rate` is the speed of
 * its link in bytes a second; the client leaves after `gap` without a byte of the answer.
 */
export function sendAttempt({ machine, id, method, path, host, body, deadline, rate, headers = {}, gap }) {
    return new Promise(resolve => {
        const seen = { id, status: undefined, bytes: 0, isWhole: false, hasSentAll: false, error: undefined };
        let silence;
        const expectBytes = () => {
            clearTimeout(silence);
            silence = gap && setTimeout(() => leave("a gap in the answer"), gap);
        };
        const leave = reason => {
            seen.error = reason;
            sent.destroy();
        };
        const sentAt = performance.now();
        const sent = sendHttp({
            host: machine.host,
            port: machine.clientPort,
            method,
            path,
            agent: false,
            headers: {
                host,
                "x-oriolehatch-attempt-id": id,
                "x-oriolehatch-deadline-ms": String(Math.round(deadline)),
                ...body && { "content-length": String(body.length) },
                ...headers,
            },
        }, response => {
            seen.status = response.statusCode;
            seen.retryAfter = response.headers["retry-after"];
            seen.signature = response.headers["x-oriolehatch-response-signature"];
            expectBytes();
            response.on("data", chunk => {
                seen.bytes += chunk.length;
                expectBytes();
            });
            response.once("end", () => seen.isWhole = response.complete);
            response.on("error", () => undefined);
        });
        const timer = setTimeout(() => leave("no answer in time"), deadline);
        expectBytes();
        sent.on("error", error => seen.error ??= error.code ?? String(error));
        sent.once("finish", () => seen.hasSentAll = true);
        sent.once("close", () => {
            clearTimeout(timer);
            clearTimeout(silence);
            resolve({ ...seen, took: performance.now() - sentAt });
        });
        if (!body || !rate) {
            sent.end(body);
            return;
        }
        const step = 50;
        let position = 0;
        const write = () => {
            if (sent.destroyed) {
                return;
            }
            const end = Math.min(body.length, position + Math.round(rate * step / 1_000));
            sent.write(body.subarray(position, end));
            position = end;
            if (position < body.length) {
                setTimeout(write, step);
            }
            else {
                sent.end();
            }
        };
        write();
    });
}
