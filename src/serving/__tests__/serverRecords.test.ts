import { expect } from "chai";
import { createServerRecords, type ServerRecords } from "../serverRecords.js";

const run = "i-1/1";

// failures of attempts that wait for a connection at the same time, 20 ms apart
function failTogether(records: ServerRecords, count: number, now: number): number {
    for (let index = 0; index < count; index++) {
        records.markFailure(run, true, now + index * 20);
    }
    return now + (count - 1) * 20;
}

describe("records of servers", () => {
    // guards against a silence of a second that counts once a waiting request, so that its server is avoided for seconds
    it("avoid a server for half a second after failures of one silence, however many requests met it", () => {
        const records = createServerRecords();
        const lastFailure = failTogether(records, 10, 1_400);
        expect(records.getRecord(run).avoidedUntil).to.equal(lastFailure + 500);
    });

    it("avoid a server twice as long each time that it fails again, up to four seconds", () => {
        const records = createServerRecords();
        const avoidances: number[] = [];
        for (let round = 0, now = 0; round < 5; round++) {
            const lastFailure = failTogether(records, 3, now);
            now = records.getRecord(run).avoidedUntil;
            avoidances.push(now - lastFailure);
        }
        expect(avoidances).to.deep.equal([500, 1_000, 2_000, 4_000, 4_000]);
    });

    it("forget the avoidances with a success", () => {
        const records = createServerRecords();
        failTogether(records, 1, 0);
        failTogether(records, 1, 600);
        records.markSuccess(run, 700);
        expect(records.getRecord(run).avoidedUntil).to.equal(0);
        failTogether(records, 1, 800);
        expect(records.getRecord(run).avoidedUntil).to.equal(1_300);
    });
});
