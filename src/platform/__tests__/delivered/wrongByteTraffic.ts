/**
 * Sends requests to one machine while its servers hand out wrong bytes.
 */
import {
    createMachine,
    type DeliveredAnswer,
    type DeliveredMachine,
    type DeliveredProgram,
    sendClientRequest,
} from "./deliveredProgram.js";
import { type Standstill, watchStandstill } from "./standstill.js";
import { createPlainConfiguration, plainRoute } from "./wireConfiguration.js";
import { startWireServer, type WireRun } from "./wireServers.js";
import { startWireStore } from "./wireStore.js";
import type { WrongBytes } from "./wrongBytes.js";

/** What was seen in one part of a run. */
export interface TrafficPart extends Standstill {
    readonly answered: readonly DeliveredAnswer[];
}

/** What was seen. */
export interface WrongByteTraffic {
    /** The same traffic without wrong bytes, before. */
    readonly calm: TrafficPart;
    readonly wrong: TrafficPart;
    /** Number of times that each kind was sent. */
    readonly sentKinds: ReadonlyMap<string, number>;
    readonly ends: number;
    readonly output: string;
}

const service = "order-app";
const serverIds = ["i-1", "i-2", "i-3", "i-4", "i-5"];
/** One of so many answers of each server is wrong; a server that alone were faulty would soon be avoided. */
const answersPerWrongOne = 4;
/** Times that each kind is sent, as what an answer meets depends on the state of its connection. */
const roundCount = 3;
const calmMilliseconds = 3_000;
const longestWrongMilliseconds = 60_000;
const sendIntervalMilliseconds = 20;
const tailMilliseconds = 25;
const patienceMilliseconds = 4_000;

/**
 * Starts store, servers and one machine and sends traffic, at first without wrong bytes.
 *
 * @param program - the delivered program
 * @param kinds - wrong bytes by name; each is sent several times in a round of all
 * @returns what was seen
 */
export async function runWrongByteTraffic(
    program: DeliveredProgram,
    kinds: Readonly<Record<string, WrongBytes>>,
): Promise<WrongByteTraffic> {
    const store = await startWireStore();
    const closers: (() => unknown)[] = [store.close];
    const names = Object.keys(kinds);
    const toSend = Array.from({ length: roundCount }, () => names).flat();
    const sentKinds = new Map<string, number>();
    const runs = new Map<string, number>();
    let isFaulty = false;
    let newestKind = "no wrong bytes";
    const sendWrongBytes = (id: string, { response }: WireRun): boolean => {
        const count = (runs.get(id) ?? 0) + 1;
        runs.set(id, count);
        if (!isFaulty || count % answersPerWrongOne !== 0) {
            return false;
        }
        const name = toSend.shift();
        if (name === undefined) {
            return false;
        }
        sentKinds.set(name, (sentKinds.get(name) ?? 0) + 1);
        newestKind = name;
        writeWrongBytes(response, kinds[name]!);
        return true;
    };
    try {
        store.put("keyed.op", "config", createPlainConfiguration(service));
        for (const id of serverIds) {
            const server = await startWireServer({
                store,
                service,
                id,
                respond: run => sendWrongBytes(id, run),
            });
            closers.push(server.close);
        }
        const machine = await createMachine(program, 1, store.address);
        closers.unshift(machine.kill);
        machine.start(true);
        await machine.waitReady();
        const calmUntil = performance.now() + calmMilliseconds;
        const calm = await runPart(machine, () => newestKind, () => performance.now() < calmUntil);
        isFaulty = true;
        const wrongUntil = performance.now() + longestWrongMilliseconds;
        const wrong = await runPart(
            machine,
            () => newestKind,
            () => toSend.length > 0 && performance.now() < wrongUntil,
        );
        return { calm, wrong, sentKinds, ends: machine.countEnds(), output: machine.readOutput() };
    }
    finally {
        for (const close of closers) {
            await close();
        }
    }
}

/**
 * Sends requests to a machine and asks it all the while whether it is ready.
 *
 * @param machine - machine whose process runs
 * @param describe - tells what the process was given last
 * @param goesOn - whether the part goes on
 * @returns what was seen
 */
export async function runPart(
    machine: DeliveredMachine,
    describe: () => string,
    goesOn: () => boolean,
): Promise<TrafficPart> {
    const watch = watchStandstill(machine, describe);
    const sent: Promise<DeliveredAnswer>[] = [];
    while (goesOn()) {
        sent.push(sendClientRequest({
            host: machine.host,
            port: machine.clientPort,
            path: plainRoute.path,
            headers: {
                Host: plainRoute.host,
                "X-Oriolehatch-Attempt-Id": `attempt-${sent.length}`,
                "X-Oriolehatch-Deadline-Ms": String(patienceMilliseconds),
            },
            body: "order",
            patience: patienceMilliseconds,
        }));
        await new Promise(resolve => setTimeout(resolve, sendIntervalMilliseconds));
    }
    const answered = await Promise.all(sent);
    return { answered, ...await watch.stop() };
}

/**
 * Writes wrong bytes to a connection with one request.
 *
 * @param response - response of which nothing is sent
 * @param bytes - the bytes
 */
export function writeWrongBytes(response: WireRun["response"], { head, tail, closes = false }: WrongBytes): void {
    const { socket } = response;
    socket?.on("error", () => undefined);
    socket?.write(Buffer.from(head, "latin1"));
    if (tail !== undefined) {
        setTimeout(() => socket?.write(Buffer.from(tail, "latin1")), tailMilliseconds);
    }
    if (closes) {
        socket?.end();
    }
}
