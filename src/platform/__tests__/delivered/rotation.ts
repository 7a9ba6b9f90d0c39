/**
 * Stand-in of the platform's balancer: asks each machine once a second whether it is ready, and sends new connections to
 * those that haven't missed two questions.
 */
import { type DeliveredMachine, sendClientRequest } from "./deliveredProgram.js";

/** Machines that get new connections. */
export interface Rotation {
    /** Returns the machines in rotation; all where none is. */
    readonly list: () => readonly DeliveredMachine[];
    readonly close: () => void;
}

const askIntervalMilliseconds = 1_000;
const missesUntilOut = 2;

/**
 * Starts the questions.
 *
 * @param machines - machines, all of them ready
 * @returns the rotation; the caller closes it
 */
export function startRotation(machines: readonly DeliveredMachine[]): Rotation {
    const misses = new Map<DeliveredMachine, number>();
    const pollMachine = async (machine: DeliveredMachine): Promise<void> => {
        const answer = await sendClientRequest({
            host: machine.host,
            port: machine.readyPort,
            method: "GET",
            path: "/readiness",
            patience: askIntervalMilliseconds,
        });
        misses.set(machine, answer.status === 200 ? 0 : (misses.get(machine) ?? 0) + 1);
    };
    const startPoll = (machine: DeliveredMachine): void => {
        pollMachine(machine).catch((error: unknown) => console.error(error));
    };
    const timer = setInterval(() => machines.forEach(startPoll), askIntervalMilliseconds);
    return {
        list: () => {
            const listed = machines.filter(machine => (misses.get(machine) ?? 0) < missesUntilOut);
            return listed.length > 0 ? listed : machines;
        },
        close: () => clearInterval(timer),
    };
}
