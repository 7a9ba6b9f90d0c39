import { expect } from "chai";
import { pause, runDeployment } from "./delivered/deployment.js";
import { createPlainConfiguration } from "./delivered/wireConfiguration.js";
import type { WireStore, WireWrite } from "./delivered/wireStore.js";

const service = "order-app";
const topic = "keyed.oriolehatch-instances";
/** Time after which a write without an answer is done; a call without a response is done seconds later. */
const lateMilliseconds = 3_000;
/** Time in which machines that are ready have written their entries. */
const listedMilliseconds = 10_000;
/** Time in which an instance sees that its entry has gone, and writes it again. */
const repairMilliseconds = 2_500;

// a record without a value deletes its key
function isRemoval(write: WireWrite): boolean {
    return write.kind === "append" && write.topic === topic &&
        write.contents.every(content => content.length === 1 + content[0]!);
}

async function listEntries(store: WireStore): Promise<readonly string[]> {
    const response = await fetch(`http://${store.address}/log-newest?topic=${topic}`);
    const { items } = await response.json() as { readonly items: readonly { readonly key: string; }[]; };
    return items.map(({ key }) => key).sort();
}

// a machine may be ready before it has written its entry
async function waitForEntries(store: WireStore, count: number): Promise<readonly string[]> {
    const until = performance.now() + listedMilliseconds;
    let listed = await listEntries(store);
    while (listed.length < count && performance.now() < until) {
        await pause(50);
        listed = await listEntries(store);
    }
    return listed;
}

describe("delivered program that starts again beside a late write of the process before it", function() {
    this.timeout(60_000);

    // guards against an instance that isn't in the list of instances for good, as the late removal of the process before it
    // took its entry away: the others don't find it, and each decides on quotas for itself (QUOTA)
    it("is in the list of instances after the removal is done", async () => {
        const { before, after, removals } = await runDeployment({
            configuration: createPlainConfiguration(service),
            servers: [{ service, id: "i-1" }],
            machines: 2,
        }, async ({ store, machines }) => {
            let count = 0;
            let lastAt = 0;
            store.delayWrite = write => {
                if (!isRemoval(write)) {
                    return undefined;
                }
                count++;
                lastAt = performance.now();
                return lateMilliseconds;
            };
            const listed = await waitForEntries(store, machines.length);
            for (const machine of machines) {
                await machine.stop();
                machine.start(false);
                await machine.waitReady();
            }
            await pause(lastAt + lateMilliseconds + repairMilliseconds - performance.now());
            return { before: listed, after: await listEntries(store), removals: count };
        });
        expect(before.length).to.equal(2);
        expect(removals).to.be.at.least(2);
        expect(after).to.deep.equal(before);
    });
});
