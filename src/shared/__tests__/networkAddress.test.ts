import { expect } from "chai";
import fc from "fast-check";
import { parseNetworkAddress } from "../networkAddress.js";

const seed = 1;
const runs = Number(process.env["INPUTS"] ?? 300);

describe("network address", () => {
    it("reads an IP address and a port", () => {
        expect(parseNetworkAddress("10.0.0.9:8080")).to.deep.equal({ host: "10.0.0.9", port: 8_080 });
        expect(parseNetworkAddress("255.255.255.255:65535")).to.deep.equal({ host: "255.255.255.255", port: 65_535 });
        expect(parseNetworkAddress("0.0.0.0:1")).to.deep.equal({ host: "0.0.0.0", port: 1 });
    });

    // guards against text that looks like an address and fails when a connection is first needed
    it("refuses text that is no address for the network", () => {
        const refused = [
            "",
            ":80",
            "127.0.0.1",
            "127.0.0.1:",
            "127.0.0.1:0",
            "127.0.0.1:65536",
            "127.0.0.1:99999",
            "127.0.0.1:080",
            "127.0.0.1:+80",
            "127.0.0.1:8e1",
            "127.0.0.1:80 ",
            " 127.0.0.1:80",
            "127.0.0.1:80\n",
            "127.0.0.1:80/path",
            "256.0.0.1:80",
            "999.999.999.999:80",
            "127.0.0.01:80",
            "127.0.1:80",
            "127.0.0.1:80:80",
            "server.example:80",
            "[::1]:80",
            "user@127.0.0.1:80",
            "\u0661\u0662\u0667.0.0.1:80",
        ];
        expect(refused.filter(text => parseNetworkAddress(text) !== undefined)).to.deep.equal([]);
    });

    it("takes the port 0 only where one listens", () => {
        expect(parseNetworkAddress("127.0.0.1:0", 0)).to.deep.equal({ host: "127.0.0.1", port: 0 });
        expect(["127.0.0.1:00", "127.0.0.1:", "127.0.0.1:-0"].map(text => parseNetworkAddress(text, 0))).to.deep.equal(
            [undefined, undefined, undefined],
        );
    });

    it(`keeps to addresses that make a URL, in ${runs} generated texts`, () => {
        const number = fc.oneof(fc.nat(300), fc.nat(70_000), fc.constantFrom("01", "", "-1", "1e3", "0x1"));
        const text = fc.oneof(
            fc.string(),
            fc.string({ unit: "binary" }),
            fc.tuple(number, number, number, number, number).map(([a, b, c, d, port]) => `${a}.${b}.${c}.${d}:${port}`),
            fc.tuple(fc.ipV4(), fc.nat(70_000)).map(([host, port]) => `${host}:${port}`),
        );
        fc.assert(
            fc.property(text, candidate => {
                const address = parseNetworkAddress(candidate);
                if (!address) {
                    return;
                }
                const url = new URL(`ws://${candidate}`);
                expect(url.hostname).to.equal(address.host);
                expect(Number(url.port || 80)).to.equal(address.port);
                expect(address.port).to.be.within(1, 65_535);
                expect(`${address.host}:${address.port}`).to.equal(candidate);
            }),
            { seed, numRuns: runs },
        );
    });
});
