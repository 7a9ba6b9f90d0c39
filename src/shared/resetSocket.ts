/**
 * Resets connections, so that what was sent on them can't be taken for whole.
 *
 * @packageDocumentation
 */
import type { Socket } from "node:net";

/**
 * Resets a connection at once; bytes that weren't sent are dropped. One whose end is on its way to the network, with all its
 * bytes, is closed instead: Node.js refuses to reset it, keeps its descriptor for good and doesn't end the process any more.
 *
 * @param socket - the connection
 */
export function resetSocket(socket: Socket): void {
    const isEndUnderWay = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
    if (!isEndUnderWay) {
        // by itself it sends the end first, and is in the state above until that is sent
        // eslint-disable-next-line no-restricted-syntax -- the one place that may
        socket.resetAndDestroy();
    }
    socket.destroy();
}
