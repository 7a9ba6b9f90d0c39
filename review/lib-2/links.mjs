// A link to a server that can be cut: nothing passes, and no connection ends, as when packets are dropped.
import { connect, createServer } from "node:net";

const host = "127.0.0.1";

/** Starts a link to `port`; what is held up by a cut is passed on when it heals, as TCP sends it again. */
export async function startLink(port) {
    const pairs = new Set();
    let isCut = false;
    const server = createServer(near => {
        const far = connect({ host, port });
        const pair = { near, far };
        pairs.add(pair);
        for (const [socket, other] of [[near, far], [far, near]]) {
            socket.on("error", () => undefined);
            socket.on("data", chunk => other.write(chunk));
            socket.once("close", () => {
                pairs.delete(pair);
                other.destroy();
            });
            if (isCut) {
                socket.pause();
            }
        }
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        cut: () => {
            isCut = true;
            pairs.forEach(({ near, far }) => [near, far].forEach(socket => socket.pause()));
        },
        heal: () => {
            isCut = false;
            pairs.forEach(({ near, far }) => [near, far].forEach(socket => socket.resume()));
        },
        close: () => {
            server.close();
            pairs.forEach(({ near, far }) => [near, far].forEach(socket => socket.destroy()));
        },
    };
}
