/**
 * Shares the event loop between the connections to servers: how much is read of one connection in one turn of the loop,
 * and for how long answers are read in a turn at all. What is over waits for the next turn, in the order in which it came,
 * so that a server that sends without end takes neither the other servers' time nor that of the clients. Connections whose
 * bytes take long share less time than the others, which don't wait for them.
 *
 * @packageDocumentation
 */
import type { Milliseconds } from "../shared/index.js";

/** Turns of the loop, which all connections share. */
export interface ReadTurns {
    /** Adds a connection; `read` is called when it may go on, and calls `begin` again. */
    readonly addReader: (read: () => void) => TurnReader;
}

/** One connection. */
export interface TurnReader {
    /** Whether a read may begin now; when not, the reader is called in a later turn. */
    readonly begin: () => boolean;
    /** Records that what was read has been handled, and returns whether that has taken long. */
    readonly end: (bytes: number) => boolean;
    /** Stops waiting. */
    readonly remove: () => void;
}

/** Connections that share time. */
interface Lane {
    /** Time after which further reads wait for another turn. */
    readonly limit: Milliseconds;
    readonly waiting: Set<() => void>;
    /** Time that was used since the last turn that was asked for. */
    used: Milliseconds;
}

/** Bytes of one connection after which its next read waits for another turn. */
const turnBytes = 262_144;
/** Time for a read from which on its connection shares less time. */
const slowMilliseconds: Milliseconds = 0.5;
/** Time for connections whose last read took long, and for the others, until those that wait are read. */
const laneMilliseconds = { slow: 1, quick: 5 } as const;
/**
 * Turns until those that wait are read. The runtime accepts one connection in a turn, so that a client waits for as many
 * turns as others have come before it.
 */
export const turnsPerRead = 8;

/**
 * Creates the turns without connections.
 *
 * @param now - returns the time of a monotonic clock
 * @param startTurn - calls back in the next turn of the loop
 * @returns the turns
 */
export function createReadTurns(
    now: () => Milliseconds,
    startTurn: (begin: () => void) => void = setImmediate,
): ReadTurns {
    const slow = createLane(laneMilliseconds.slow);
    const quick = createLane(laneMilliseconds.quick);
    let turn = 0;
    let isTurnComing = false;
    let passedTurns = 0;
    // only asked for when a limit is reached: what was read in several quiet turns counts as one until then
    const expectTurn = (): void => {
        if (!isTurnComing) {
            isTurnComing = true;
            startTurn(beginTurn);
        }
    };
    const beginTurn = (): void => {
        passedTurns++;
        if (passedTurns < turnsPerRead) {
            startTurn(beginTurn);
            return;
        }
        passedTurns = 0;
        isTurnComing = false;
        turn++;
        [quick, slow].forEach(serveLane);
        if (quick.waiting.size + slow.waiting.size > 0) {
            expectTurn();
        }
    };
    return {
        addReader: read => {
            let lane = quick;
            let begunAt: Milliseconds = 0;
            let readTurn = -1;
            let readBytes = 0;
            return {
                begin: () => {
                    const isSpent = readTurn === turn && readBytes >= turnBytes;
                    if (isSpent || lane.used >= lane.limit) {
                        lane.waiting.add(read);
                        expectTurn();
                        return false;
                    }
                    begunAt = now();
                    return true;
                },
                end: bytes => {
                    const took = now() - begunAt;
                    lane.used += took;
                    readBytes = bytes + (readTurn === turn ? readBytes : 0);
                    readTurn = turn;
                    lane = took > slowMilliseconds ? slow : quick;
                    return lane === slow;
                },
                remove: () => {
                    quick.waiting.delete(read);
                    slow.waiting.delete(read);
                },
            };
        },
    };
}

function createLane(limit: Milliseconds): Lane {
    return { limit, waiting: new Set(), used: 0 };
}

// those that aren't let in keep their place
function serveLane(lane: Lane): void {
    lane.used = 0;
    for (const read of [...lane.waiting]) {
        if (lane.used >= lane.limit) {
            return;
        }
        lane.waiting.delete(read);
        read();
    }
}
