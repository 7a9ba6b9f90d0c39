/**
 * Shares the event loop between the connections to servers: how much is read of one connection in one turn of the loop,
 * and for how long answers are read in a turn at all. What is over waits for the next turn, in the order in which it came,
 * so that a server that sends without end takes neither the other servers' time nor that of the clients.
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
    /** Records that what was read has been handled, and returns how long that has taken. */
    readonly end: (bytes: number) => Milliseconds;
    /** Stops waiting. */
    readonly remove: () => void;
}

/** Bytes of one connection after which its next read waits for another turn. */
const turnBytes = 262_144;
/**
 * Time after which all further reads wait for another turn. The runtime accepts one connection in a turn, so that a client
 * waits for as many turns as others have come before it.
 */
const turnMilliseconds: Milliseconds = 1;

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
    const waiting = new Set<() => void>();
    let turn = 0;
    let usedMilliseconds = 0;
    let isTurnComing = false;
    // only asked for when a limit is reached: what was read in several quiet turns counts as one until then
    const expectTurn = (): void => {
        if (!isTurnComing) {
            isTurnComing = true;
            startTurn(beginTurn);
        }
    };
    const beginTurn = (): void => {
        isTurnComing = false;
        turn++;
        usedMilliseconds = 0;
        // those that aren't let in wait again, after the others
        for (const read of [...waiting]) {
            if (usedMilliseconds >= turnMilliseconds) {
                break;
            }
            waiting.delete(read);
            read();
        }
        if (waiting.size > 0) {
            expectTurn();
        }
    };
    return {
        addReader: read => {
            let begunAt: Milliseconds = 0;
            let readTurn = -1;
            let readBytes = 0;
            return {
                begin: () => {
                    const isSpent = readTurn === turn && readBytes >= turnBytes;
                    if (isSpent || usedMilliseconds >= turnMilliseconds) {
                        waiting.add(read);
                        expectTurn();
                        return false;
                    }
                    begunAt = now();
                    return true;
                },
                end: bytes => {
                    const took = now() - begunAt;
                    usedMilliseconds += took;
                    readBytes = bytes + (readTurn === turn ? readBytes : 0);
                    readTurn = turn;
                    return took;
                },
                remove: () => waiting.delete(read),
            };
        },
    };
}
