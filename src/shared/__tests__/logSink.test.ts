import { expect } from "chai";
import { createLogSink, type LogSink } from "../logSink.js";

function createTestSink(options: { readonly linesPerSecond?: number; readonly limitBytes?: number; } = {}) {
    const written: string[] = [];
    const waiting: (() => void)[] = [];
    let now = 0;
    const sink: LogSink = createLogSink({
        ...options,
        now: () => now,
        write: (bytes, done) => {
            written.push(...bytes.toString().trimEnd().split("\n"));
            waiting.push(() => done(undefined));
        },
    });
    return {
        sink,
        written,
        read: () => waiting.splice(0).forEach(done => done()),
        advance: (time: number) => now += time,
    };
}

describe("log sink", () => {
    it("writes lines in order", () => {
        const { sink, written } = createTestSink();
        sink.put("a", "1", "ordinary");
        sink.put("b", "2", "important");
        sink.flush();
        expect(written).to.deep.equal(["1", "2"]);
    });

    it("drops the lines over a kind's rate limit, logs their number, and resumes later", () => {
        const { sink, written, read, advance } = createTestSink({ linesPerSecond: 2 });
        for (let line = 0; line < 5; line++) {
            sink.put("a", `a${line}`, "ordinary");
        }
        sink.put("b", "b0", "ordinary");
        sink.flush();
        read();
        advance(500);
        sink.put("a", "a5", "ordinary");
        sink.flush();
        const omissionLine = JSON.stringify({
            level: "warn",
            scope: "log",
            event: "lines left out",
            kind: "a",
            count: 3,
        });
        expect(written).to.deep.equal(["a0", "a1", "b0", omissionLine, "a5"]);
    });

    it("limits its memory when the output is not read, and keeps room for important lines", () => {
        const { sink, written } = createTestSink({ linesPerSecond: 1e9, limitBytes: 10_000 });
        sink.put("a", "first", "ordinary");
        sink.flush();
        for (let line = 0; line < 10_000; line++) {
            sink.put("a", "x".repeat(99), "ordinary");
        }
        sink.put("failed", "failure", "important");
        sink.flush();
        expect(sink.readWaitingBytes()).to.be.at.most(10_000);
        expect(written).to.deep.equal(["first"]);
    });
});
