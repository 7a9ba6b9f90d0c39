import { expect } from "chai";
import { createServerRecords } from "../../serving/serverRecords.js";
import { formatServerRunId } from "../../serving/types.js";
import { createEngineLoads } from "../engineLoads.js";
import { createEnginePlaces } from "../enginePlaces.js";
import { createEngineRoom, type EngineRoom } from "../engineRoom.js";
import type { RoomTurn, RoomWait, WeighedRequest } from "../roomPool.js";
import { createTestServer } from "./testEngine.js";

const server = createTestServer("i-1");
const meanDuration = 800;

function createRoom(): {
    readonly room: EngineRoom;
    readonly setTime: (time: number) => void;
    readonly take: (id: string) => void;
    readonly wait: (change: Partial<WeighedRequest>) => Promise<RoomTurn>;
} {
    let now = 0;
    const clock = { now: () => now, sleep: () => new Promise<void>(() => undefined) };
    const records = createServerRecords();
    const room = createEngineRoom({ clock, records, listEngines: () => [server] });
    const places = createEnginePlaces(records, createEngineLoads(clock, records), {
        onTaken: room.markTaken,
        onFreed: room.markFreed,
    });
    for (let count = 0; count < 10; count++) {
        room.recordDuration("llm", meanDuration);
    }
    const wait: Omit<RoomWait, "request"> = {
        until: 1_000,
        selected: undefined,
        isUsable: () => true,
        isResident: () => true,
        isLoadable: () => false,
        signal: new AbortController().signal,
    };
    return {
        room,
        setTime: time => {
            now = time;
        },
        take: id =>
            places.take(id, {
                run: formatServerRunId(server),
                choice: { model: "base", adapter: undefined },
                expiresAt: 20_000,
                takenAt: now,
                isPaced: false,
            }),
        wait: change => room.wait({ ...wait, request: createRequest(change) }),
    };
}

function createRequest(change: Partial<WeighedRequest> = {}): WeighedRequest {
    return {
        id: "r",
        service: "llm",
        model: "base",
        excluded: [],
        priority: 0,
        usefulFor: 1_500,
        patience: 2_000,
        deadline: 9_000,
        isLoadIgnored: true,
        route: "chat",
        ...change,
    };
}

describe("room on the engines of a holder", () => {
    // guards against requests that are refused for the places of an instance that was killed, until their deadlines
    it("doesn't count places that were taken several times as long ago as a request usually takes", () => {
        const { room, setTime, take } = createRoom();
        ["a", "b", "c", "d"].forEach(take);
        setTime(meanDuration);
        expect(room.tryReserve(createRequest(), server)).to.equal(false);
        setTime(meanDuration * 5);
        expect(room.tryReserve(createRequest(), server)).to.equal(true);
    });

    // guards against a queue that delays requests on the word of a pace that nobody has measured
    it("is unknown before some requests have ended, and a long time after the last one", () => {
        const { room, setTime, take } = createRoom();
        ["a", "b", "c", "d"].forEach(take);
        expect(room.isFull(createRequest(), server)).to.equal(true);
        expect(room.isFull(createRequest({ service: "other" }), server)).to.equal(false);
        setTime(31_000);
        expect(room.tryReserve(createRequest(), server)).to.equal(true);
    });

    it("is refused at once to a request that can't be served while its client waits, not to one that can", async () => {
        const { take, wait } = createRoom();
        ["a", "b", "c", "d"].forEach(take);
        // a place becomes free each 200 ms
        const turns: RoomTurn[] = [];
        for (let count = 0; count < 6; count++) {
            void wait({ id: `r${count}`, objective: 600, usefulFor: 500, patience: 500, deadline: 3_000 })
                .then(turn => turns.push(turn), () => undefined);
            await Promise.resolve();
        }
        await new Promise(resolve => setImmediate(resolve));
        expect(turns).to.deep.equal([600, 800, 1_000, 1_200].map(time => ({ kind: "refused", wait: time })));
    });
});
