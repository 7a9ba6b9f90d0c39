import { expect } from "chai";
import { testHost } from "./testHost.js";
import { putTestConfiguration, startTestInstance } from "./testInstance.js";
import { findFreePorts } from "./testServers.js";
import { createMemoryStore, pause } from "./testStore.js";

const listDelayMilliseconds = 600;

async function isReady(port: number): Promise<boolean> {
    try {
        return (await fetch(`http://${testHost}:${port}/readiness`)).ok;
    }
    catch {
        // the port isn't open yet
        return false;
    }
}

describe("readiness of an instance that starts", () => {
    // guards against clients that are sent to an instance which refuses them with "no server", as it hasn't read the list yet
    it("is said only once the list of servers has been read", async () => {
        const store = createMemoryStore(4);
        putTestConfiguration(store);
        const ports = await findFreePorts(4);
        let isListRead = false;
        const instance = startTestInstance({
            name: "i-1",
            ports,
            store: {
                ...store,
                readNewest: async topic => {
                    if (topic === "servers") {
                        await pause(listDelayMilliseconds);
                        isListRead = true;
                    }
                    return store.readNewest(topic);
                },
            },
            translateAddress: address => address,
        });
        while (!await isReady(ports[1]!)) {
            await pause(10);
        }
        const wasListRead = isListRead;
        instance.stop();
        await instance.ended;
        expect(wasListRead).to.equal(true);
    });
});
