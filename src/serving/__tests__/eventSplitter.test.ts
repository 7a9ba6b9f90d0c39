import { expect } from "chai";
import { createSeededRandom, type SeededRandom } from "../../shared/index.js";
import { createEventSplitter } from "../eventSplitter.js";

const histories = 10_000;

/** A piece of what a server writes, and what it is to a client that has seen the event `last`. */
interface Piece {
    readonly text: string;
    readonly kind: "event" | "foreign" | "incomplete";
    readonly id?: number;
}

const foreignTexts = [
    "internal error\n\n",
    "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops",
    "http/1.1 200 ok\r\ncontent-type: text/event-stream\r\n\r\n",
    "data: no id\n\n",
    "<html>\n<body>\n\n",
];

function pick<Item>(random: SeededRandom, items: readonly Item[]): Item {
    return items[Math.floor(random.next() * items.length)]!;
}

function createEvent(random: SeededRandom, id: number): Piece {
    const line = pick(random, ["\n", "\r\n"]);
    const before = pick(random, ["", "", `x-weights: 4${line}`, `: note${line}`]);
    return { kind: "event", id, text: `${before}id: ${id}${line}data: {"t": ${id}}${line}${line}` };
}

// events of rising ids, with at most one thing that a faulty server may do: old events, foreign bytes or a cut
function createPieces(random: SeededRandom, after: number): readonly Piece[] {
    const pieces: Piece[] = [];
    let id = after;
    const count = Math.floor(random.next() * 6);
    for (let index = 0; index < count; index++) {
        id += 1 + (random.next() < 0.1 ? 1 : 0);
        pieces.push(createEvent(random, id));
    }
    const fault = random.next();
    if (fault < 0.25) {
        pieces.push({ kind: "foreign", text: pick(random, foreignTexts) });
    }
    else if (fault < 0.5) {
        pieces.push({ ...createEvent(random, Math.max(0, id - Math.floor(random.next() * 3))), kind: "foreign" });
    }
    else if (fault < 0.75) {
        const { text } = createEvent(random, id + 1);
        pieces.push({ kind: "incomplete", text: text.slice(0, Math.floor(random.next() * (text.length - 4))) });
    }
    pieces.push(
        ...Array.from({ length: 2 }, (unused, index) => createEvent(random, id + 2 + index)).slice(fault < 0.5 ? 0 : 2),
    );
    return pieces;
}

function findExpected(pieces: readonly Piece[]): string {
    const end = pieces.findIndex(({ kind }) => kind !== "event");
    return (end < 0 ? pieces : pieces.slice(0, end)).map(({ text }) => text).join("");
}

describe("event splitter on answers of faulty servers", () => {
    // guards against an error's text, a second answer's head or events twice in the middle of a client's stream
    it(`passes on the events that go on with the stream and nothing else, in ${histories} seeded answers`, () => {
        for (let seed = 1; seed <= histories; seed++) {
            const random = createSeededRandom(seed);
            const after = Math.floor(random.next() * 5);
            const pieces = createPieces(random, after);
            const bytes = Buffer.from(pieces.map(({ text }) => text).join(""));
            const splitter = createEventSplitter({ after: after === 0 ? undefined : String(after), isNumbered: true });
            const passed: Buffer[] = [];
            let foreign: string | undefined;
            for (let start = 0; start < bytes.length && !foreign;) {
                const size = 1 + Math.floor(random.next() * 40);
                const events = splitter.push(bytes.subarray(start, start + size));
                passed.push(events.bytes);
                foreign = events.foreign;
                start += size;
            }
            const text = Buffer.concat(passed).toString();
            expect(text, `seed ${seed}: ${foreign}`).to.equal(findExpected(pieces));
        }
    });

    it("names what doesn't belong to the stream", () => {
        const push = (text: string, after?: string) =>
            createEventSplitter({ after, isNumbered: true }).push(Buffer.from(text)).foreign;
        expect(push("id: 3\ndata: x\n\n", "3")).to.equal("event 3 after event 3");
        expect(push("data: x\n\n", "3")).to.equal("an event without an id");
        expect(push("id: 4\ndata: xHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", "3"))
            .to.equal("lines that are no event");
        expect(push("id: 4\ndata: x\n\n", "3")).to.equal(undefined);
    });

    // guards against a sound stream that is cut, or an event passed on twice, as ids beyond 2^53 were rounded (LOST, ORDER)
    it("tells ids apart that a number with a point doesn't, and compares them by value", () => {
        const push = (...ids: readonly string[]) => {
            const splitter = createEventSplitter({ after: undefined, isNumbered: true });
            const { foreign, lastId } = splitter.push(Buffer.from(ids.map(id => `id: ${id}\ndata: x\n\n`).join("")));
            return [foreign, lastId];
        };
        expect(push("9007199254740992", "9007199254740993")).to.deep.equal([undefined, "9007199254740993"]);
        expect(push("1796472600508000000", "1796472600508000001")).to.deep.equal([undefined, "1796472600508000001"]);
        expect(push("9007199254740993", "9007199254740993"))
            .to.deep.equal(["event 9007199254740993 after event 9007199254740993", "9007199254740993"]);
        expect(push("9", "10", "99999999999999999999", "100000000000000000000"))
            .to.deep.equal([undefined, "100000000000000000000"]);
        expect(push("100000000000000000000", "99999999999999999999")[0]).to.be.a("string");
        expect(push("007", "8", "0008")).to.deep.equal(["event 8 after event 8", "8"]);
    });

    // guards against a server that has its ids kept, and sent on, at any length
    it("takes an id of more than 128 digits for none", () => {
        const push = (digits: number, isNumbered: boolean) =>
            createEventSplitter({ after: undefined, isNumbered })
                .push(Buffer.from(`id: ${"9".repeat(digits)}\ndata: x\n\n`));
        expect([push(128, true).foreign, push(128, true).lastId]).to.deep.equal([undefined, "9".repeat(128)]);
        expect([push(129, true).foreign, push(129, true).lastId]).to.deep.equal(["an event without an id", undefined]);
        expect([push(500_000, false).foreign, push(500_000, false).lastId]).to.deep.equal([undefined, undefined]);
    });

    // guards against slow but sound streams that are cut because their server keeps the connection open by comments
    it("passes comments on between events, which don't count as progress", () => {
        const splitter = createEventSplitter({ after: "3", isNumbered: true });
        const events = splitter.push(Buffer.from("id: 4\ndata: a\n\n: ping\n\n"));
        expect([events.bytes.toString(), events.foreign]).to.deep.equal(["id: 4\ndata: a\n\n: ping\n\n", undefined]);
        splitter.push(Buffer.from(": ping\n\n"));
        expect(splitter.countUselessBytes()).to.equal(": ping\n\n".length);
    });

    it("passes events without ids on where the stream has none", () => {
        const splitter = createEventSplitter({ after: undefined, isNumbered: false });
        const events = splitter.push(Buffer.from("data: a\n\ndata: b\n\n"));
        expect([events.bytes.toString(), events.foreign]).to.deep.equal(["data: a\n\ndata: b\n\n", undefined]);
        expect(splitter.push(Buffer.from("id: 1\ndata: c\n\ndata: d\n\n")).foreign).to.equal("an event without an id");
    });
});

describe("event that comes in many chunks", () => {
    // guards against work that grows with the square of an event's length, which keeps the process from all else
    it("is looked at once, and is whole", () => {
        const splitter = createEventSplitter({ after: undefined, isNumbered: false });
        const chunk = Buffer.from("a\n".repeat(8));
        const count = 32_768;
        for (let index = 0; index < count; index++) {
            expect(splitter.push(chunk).bytes.length).to.equal(0);
        }
        const { bytes, foreign } = splitter.push(Buffer.from("\n"));
        expect([bytes.length, foreign]).to.deep.equal([count * chunk.length + 1, undefined]);
        expect(splitter.readIncomplete().length).to.equal(0);
    }).timeout(20_000);
});
