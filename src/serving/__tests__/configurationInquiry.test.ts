import { expect } from "chai";
import { createSeededRandom, createSystemClock } from "../../shared/index.js";
import { type ConfigurationInquiry, createConfigurationInquiry } from "../configurationInquiry.js";
import type { RelayMessage } from "../relayMessages.js";
import { createStoreEras, type StoreEras } from "../storeEras.js";

interface TestInquiry {
    readonly inquiry: ConfigurationInquiry;
    readonly eras: StoreEras;
    readonly asked: string[];
    readonly received: string[];
    readonly stop: () => Promise<void>;
}

function startInquiry(isFirstStart: boolean, answers: Readonly<Record<string, RelayMessage | undefined>>): TestInquiry {
    const eras = createStoreEras();
    const asked: string[] = [];
    const received: string[] = [];
    const inquiry = createConfigurationInquiry({
        clock: createSystemClock(),
        random: createSeededRandom(1),
        eras,
        isFirstStart,
        listOthers: () => Object.keys(answers),
        ask: async other => (asked.push(other), answers[other]),
        onRecord: ({ value }) => received.push(String(value)),
    });
    const stopping = new AbortController();
    const running = inquiry.task.run(stopping.signal);
    return {
        inquiry,
        eras,
        asked,
        received,
        stop: () => {
            stopping.abort();
            return running;
        },
    };
}

const createAnswer = (version: string): RelayMessage => ({
    kind: "configuration",
    record: ["config", Buffer.from(version), 3],
});
const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 30));

describe("inquiry about the configuration in force", () => {
    // guards against an instance that starts from an older configuration although others know better (CONFIG)
    it("is made at a start, and until it is answered the store counts as incomplete", async () => {
        const answers = { "front-2": createAnswer("v9"), "front-3": undefined, "front-4": createAnswer("v8") };
        const { asked, eras, inquiry, received, stop } = startInquiry(false, answers);
        expect(inquiry.isAsking()).to.equal(true);
        eras.observe(3);
        await pause();
        expect(inquiry.isAsking()).to.equal(false);
        expect([...asked].sort()).to.deep.equal(["front-2", "front-3", "front-4"]);
        expect([...received].sort()).to.deep.equal(["v8", "v9"]);
        await stop();
    });

    // guards against a process that was frozen while a version was written, which the store has lost since
    it("is made again after each return of the store, but not in the first era of the whole system", async () => {
        const { asked, eras, inquiry, stop } = startInquiry(true, { "front-2": createAnswer("v9") });
        expect(inquiry.isAsking()).to.equal(false);
        eras.observe(3);
        await pause();
        expect(asked).to.deep.equal([]);
        eras.observe(4);
        await pause();
        eras.observe(5);
        await pause();
        expect(asked).to.deep.equal(["front-2", "front-2"]);
        await stop();
    });

    it("is answered with the record that is in force where it is newer, and with the age of the era", () => {
        const { eras, inquiry } = startInquiry(true, {});
        expect(inquiry.answer(undefined)).to.deep.equal({ kind: "configuration" });
        const value = Buffer.from("v7");
        inquiry.remember(7, { key: "config", value, offset: 12 });
        expect(inquiry.answer(6)).to.deep.equal({ kind: "configuration", record: ["config", value, 12] });
        expect(inquiry.answer(undefined)).to.have.property("record");
        eras.observe(3);
        const answer = inquiry.answer(7);
        expect(answer).to.have.keys("kind", "era", "eraAge");
        expect(answer).to.include({ kind: "configuration", era: 3 });
    });

    // guards against 2 s without service after a mass kill, as all that start tell each other that the era is new
    it("tells no age of the era while this instance uses no configuration", () => {
        const { eras, inquiry } = startInquiry(false, {});
        eras.observe(3);
        expect(inquiry.answer(undefined)).to.deep.equal({ kind: "configuration" });
    });

    // guards against a start that waits although the others know the era for long
    it("tells since when others know the era, where they answer for the same one", async () => {
        const answers: Record<string, RelayMessage> = {
            "front-2": { kind: "configuration", era: 3, eraAge: 5_000 },
            "front-3": { kind: "configuration", era: 2, eraAge: 60_000 },
        };
        const { eras, inquiry, stop } = startInquiry(false, answers);
        eras.observe(3);
        await pause();
        expect(performance.now() - inquiry.findSeenAt(3)!).to.be.within(5_000, 6_000);
        expect(inquiry.findSeenAt(2)).to.equal(undefined);
        await stop();
    });
});
