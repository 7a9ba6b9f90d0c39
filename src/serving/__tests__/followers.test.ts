import { expect } from "chai";
import { wrapError, wrapValue } from "../../shared/index.js";
import type { Result } from "../../shared/index.js";
import { createConfigurationState } from "../configurationState.js";
import { createFollowers } from "../followers.js";
import { createInstanceDirectory } from "../instanceDirectory.js";
import { createRefusedRecords } from "../refusedRecords.js";
import { createServerList } from "../serverList.js";
import type { KeyedRecord, KeyedSnapshot, ServingConfig, StoreError } from "../types.js";

const config: ServingConfig = {
    version: 3,
    routes: [],
    services: new Map(),
    accounts: undefined,
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
};

interface ObservedCalls {
    readonly configs: number[];
    readonly versions: (readonly [version: number, earliestPublishedAt: number])[];
}

// runs the follower of the configuration topic until it has received all the given read results
async function runConfigurationFollower(reads: readonly Result<KeyedSnapshot, StoreError>[]): Promise<ObservedCalls> {
    const observed: ObservedCalls = { configs: [], versions: [] };
    const stopping = new AbortController();
    const remainingReads = [...reads];
    const takeRead = (): Promise<Result<KeyedSnapshot, StoreError>> => {
        const next = remainingReads.shift();
        if (!next) {
            stopping.abort();
        }
        return Promise.resolve(next ?? wrapError({ kind: "busy", status: 503 }));
    };
    const [follower] = createFollowers({
        log: { readNewest: takeRead, readFrom: takeRead, append: () => Promise.resolve(wrapValue(undefined)) },
        codec: {
            decodeOperatorRecord: (key, value) => {
                const version = value[0]!;
                return wrapValue(
                    key === "config"
                        ? { kind: "configuration", config: { ...config, version } }
                        : { kind: "adapterVersion", model: "base", adapter: key, version },
                );
            },
            decodeServerEntry: () => wrapError({ kind: "unreadable", field: "", detail: "" }),
        },
        clock: { now: () => 5_000, sleep: () => Promise.resolve() },
        configuration: createConfigurationState(),
        servers: createServerList(),
        directory: createInstanceDirectory({ id: "i", address: "a", failureDomain: "a", cores: 1 }),
        guard: { replaceAll: () => undefined, applyRecord: () => undefined },
        refused: createRefusedRecords(),
        onStoreFailure: () => undefined,
        onServers: () => undefined,
        onServersConfirmed: () => undefined,
        onConfiguration: taken => observed.configs.push(taken.version),
        onAdapterVersion: (model, adapter, version, earliestPublishedAt) =>
            observed.versions.push([version, earliestPublishedAt]),
    });
    await follower!.run(stopping.signal);
    return observed;
}

const record = (key: string, version: number): KeyedRecord => ({ key, value: Buffer.from([version]), offset: 0 });
const read = (...records: KeyedRecord[]): Result<KeyedSnapshot, StoreError> => wrapValue({ records, endOffset: 1 });

describe("configuration follower", () => {
    it("ignores an older configuration", async () => {
        const observed = await runConfigurationFollower([
            read(record("config", 5)),
            read(record("config", 4)),
            wrapError({ kind: "expired" }),
            read(record("config", 3)),
            read(record("config", 6)),
        ]);
        expect(observed.configs).to.deep.equal([5, 6]);
    });

    it("treats a version found by the first read as published any time before", async () => {
        const observed = await runConfigurationFollower([read(record("a3", 2)), read(record("a4", 2))]);
        expect(observed.versions[0]).to.deep.equal([2, Number.NEGATIVE_INFINITY]);
        expect(observed.versions[1]![1]).to.be.closeTo(5_000, 500);
    });
});
