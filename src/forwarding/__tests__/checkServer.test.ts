import { expect } from "chai";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { checkServer } from "../checkServer.js";

describe("check of a server", () => {
    it("tells a port that accepts connections from one that doesn't", async () => {
        const server = createServer(socket => socket.destroy());
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        expect(await checkServer({ address })).to.equal(true);
        await new Promise(resolve => server.close(resolve));
        expect(await checkServer({ address })).to.equal(false);
    });

    // guards against a rejection that nobody handles, which ends the process
    it("finds no server at an address that is none for the network", async () => {
        for (const address of ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:x", "999.0.0.1:80", "", "a b:80"]) {
            expect(await checkServer({ address }), address).to.equal(false);
        }
    });
});
