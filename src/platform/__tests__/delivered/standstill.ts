/**
 * Reads from outside how long a process answers nothing.
 */
import { readFileSync } from "node:fs";
import type { DeliveredMachine } from "./deliveredProgram.js";
import { sendClientRequest } from "./deliveredProgram.js";

/** Questions to a machine whether it is ready, one after the other. */
export interface StandstillWatch {
    /** Ends the questions; resolves to the longest standstill after the last one is answered. */
    readonly stop: () => Promise<Standstill>;
}

/** The longest time without an answer. */
export interface Standstill {
    /** Number of questions that were answered. */
    readonly answers: number;
    /** Longest time from a question to its answer, in milliseconds of the wall clock. */
    readonly longest: number;
    /** Longest such time that the process's main thread has worked itself; the time of other processes isn't in it. */
    readonly longestWork: number;
    /** What `describe` returned at the end of the longest work. */
    readonly during: string;
}

const pauseMilliseconds = 10;
const patienceMilliseconds = 30_000;
const nanosecondsPerMillisecond = 1_000_000;

/**
 * Starts to ask a machine, with a pause of 10 ms between an answer and the next question.
 *
 * @param machine - machine whose process runs
 * @param describe - tells what the process was given last
 * @returns the watch
 */
export function watchStandstill(machine: DeliveredMachine, describe: () => string): StandstillWatch {
    let isStopped = false;
    const poll = async (): Promise<Standstill> => {
        let [answers, longest, longestWork, during] = [0, 0, 0, ""];
        while (!isStopped) {
            const workBefore = readWork(machine);
            const { status, took } = await sendClientRequest({
                host: machine.host,
                port: machine.readyPort,
                method: "GET",
                path: "/readiness",
                patience: patienceMilliseconds,
            });
            answers += status === undefined ? 0 : 1;
            longest = Math.max(longest, took);
            const work = Math.min(took, readWork(machine) - workBefore);
            if (work > longestWork) {
                [longestWork, during] = [work, describe()];
            }
            await new Promise(resolve => setTimeout(resolve, pauseMilliseconds));
        }
        return { answers, longest, longestWork, during };
    };
    const polled = poll();
    return {
        stop: () => {
            isStopped = true;
            return polled;
        },
    };
}

// time that the main thread has run, in milliseconds; the kernel counts it for each thread
function readWork(machine: DeliveredMachine): number {
    const pid = machine.readPid();
    return pid === undefined
        ? 0
        : Number(readFileSync(`/proc/${pid}/schedstat`, "utf8").split(" ")[0]) / nanosecondsPerMillisecond;
}
