import { expect } from "chai";
import { createSeededRandom, createSystemClock, type Milliseconds, wrapValue } from "../../shared/index.js";
import { createInstanceDirectory, type InstanceDirectory } from "../instanceDirectory.js";
import { createRegistration } from "../registration.js";
import { createStoreEras, type StoreEras } from "../storeEras.js";
import type { KeyedRecord } from "../types.js";

interface TestRegistration {
    readonly directory: InstanceDirectory;
    readonly eras: StoreEras;
    readonly written: KeyedRecord[];
    readonly state: { isStopping: boolean; };
    readonly stop: () => Promise<void>;
}

const self = { id: "front-1", address: "10.0.0.1:7600", failureDomain: "a", cores: 1 };
/** Longer than the time over which the instances spread the repeat of their entries. */
const repeatedMilliseconds: Milliseconds = 700;

function startRegistration(): TestRegistration {
    const directory = createInstanceDirectory(self);
    const eras = createStoreEras();
    const written: KeyedRecord[] = [];
    const state = { isStopping: false };
    const { task } = createRegistration({
        clock: createSystemClock(),
        random: createSeededRandom(1),
        log: {
            append: async (topic, key, value) => {
                const record = { key, value, offset: written.length };
                written.push(record);
                directory.applyRecord(record);
                return wrapValue(undefined);
            },
        },
        eras,
        directory,
        self,
        isStopping: () => state.isStopping,
    });
    const stopping = new AbortController();
    const running = task.run(stopping.signal);
    return {
        directory,
        eras,
        written,
        state,
        stop: () => {
            stopping.abort();
            return running;
        },
    };
}

const pause = (duration: Milliseconds): Promise<void> => new Promise(resolve => setTimeout(resolve, duration));

function decodeWritten({ written }: TestRegistration): readonly { readonly storeEra?: number; }[] {
    return written.map(({ value }) => JSON.parse(String(value)) as { readonly storeEra?: number; });
}

describe("entry of an instance in the store", () => {
    it("is written once, and not again after a restart, as long as the store doesn't come back older", async () => {
        const first = startRegistration();
        first.directory.replaceAll([]);
        await pause(250);
        await first.stop();
        expect(decodeWritten(first)).to.deep.equal([{ address: "10.0.0.1:7600", failureDomain: "a", cores: 1 }]);
        const second = startRegistration();
        second.directory.replaceAll(first.written);
        await pause(250);
        await second.stop();
        expect(second.written).to.deep.equal([]);
    });

    // guards against an instance that nobody finds any more, as the store has lost its entry
    it("is written again when the store comes back older, and names since when the era is known", async () => {
        const registration = startRegistration();
        const startedAt = Date.now();
        registration.directory.replaceAll([]);
        registration.eras.observe(4);
        await pause(repeatedMilliseconds);
        registration.eras.observe(5);
        await pause(repeatedMilliseconds);
        await registration.stop();
        expect(decodeWritten(registration).map(({ storeEra }) => storeEra)).to.deep.equal([4, 5]);
        expect(registration.directory.findEraSeenAt(5)).to.be.within(startedAt, Date.now());
        expect(registration.directory.findEraSeenAt(4)).to.equal(undefined);
        const restarted = startRegistration();
        restarted.eras.observe(5);
        restarted.directory.replaceAll(registration.written.slice(1));
        await pause(repeatedMilliseconds);
        await restarted.stop();
        expect(restarted.written).to.deep.equal([]);
    });

    // guards against an instance that has left and is listed for good, as it wrote its entry again on its way out
    it("isn't written again by an instance that stops", async () => {
        const registration = startRegistration();
        registration.directory.replaceAll([]);
        await pause(250);
        registration.state.isStopping = true;
        registration.eras.observe(4);
        await pause(repeatedMilliseconds);
        await registration.stop();
        expect(registration.written.filter(({ value }) => value).length).to.equal(1);
    });

    // guards against an entry that comes back with the store after the instance has removed it, and stays for good
    it("is removed once more when the store comes back while the instance stops", async () => {
        const { directory, eras, state, stop, written } = startRegistration();
        directory.replaceAll([]);
        eras.observe(4);
        await pause(repeatedMilliseconds);
        const before = written.length;
        state.isStopping = true;
        eras.observe(5);
        directory.replaceAll(written);
        await pause(repeatedMilliseconds);
        await stop();
        expect(written.slice(before).map(({ value }) => value)).to.deep.equal([undefined]);
    });

    // guards against instances that others find late after a start, though nothing was restored
    it("isn't held back at a start by the first answer that names an era", async () => {
        const { directory, eras, stop, written } = startRegistration();
        eras.observe(4);
        directory.replaceAll([]);
        await pause(200);
        const atOnce = written.length;
        await stop();
        expect(atOnce).to.equal(1);
    });
});
