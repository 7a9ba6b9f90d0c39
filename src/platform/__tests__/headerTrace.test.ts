import { expect } from "chai";
import { createPlatformHeaderCodec } from "../headers.js";
import { createHeaderTrace } from "../headerTrace.js";

describe("headers that nobody decodes", () => {
    // guards against a state that a server announces in its responses while nothing here reads it
    it("are counted by name, those that are decoded and those of HTTP are not", () => {
        const trace = createHeaderTrace(["server-leaving"]);
        trace.check("server", ["Content-Type", "Server-Leaving", "Server-Mood"]);
        trace.check("server", ["server-mood"]);
        trace.check("store", ["Server-Mood"]);
        expect(trace.list()).to.deep.equal([
            { source: "server", name: "server-mood", count: 2 },
            { source: "store", name: "server-mood", count: 1 },
        ]);
    });

    // guards against memory that grows with the names that a faulty server makes up
    it("are kept up to a number of names", () => {
        const trace = createHeaderTrace([]);
        trace.check("server", Array.from({ length: 1_000 }, (unused, index) => `x-${index}`));
        expect(trace.list()).to.have.length(100);
    });

    it("are found in the responses of servers", () => {
        const found: string[] = [];
        const codec = createPlatformHeaderCodec(names => found.push(...names));
        codec.decodeResponseHead(200, ["Server-Mood", "1"]);
        expect(found).to.deep.equal(["server-mood"]);
    });
});
