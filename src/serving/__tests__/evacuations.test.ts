import { expect } from "chai";
import { decodeOperatorDeletion, decodeOperatorRecord } from "../../platform/operatorRecords.js";
import { type Result, wrapError, wrapValue } from "../../shared/index.js";
import { createConfigurationState } from "../configurationState.js";
import { createEvacuations } from "../evacuations.js";
import { createFollowers } from "../followers.js";
import { createRegions, mergeHomes } from "../homes.js";
import { createInstanceDirectory } from "../instanceDirectory.js";
import { computeOwnAgeLimit, listDirectHops, listRelayedHops } from "../readTiming.js";
import { createRefusedRecords } from "../refusedRecords.js";
import { createServerList, type ServerList } from "../serverList.js";
import {
    type BackendServer,
    formatServerRunId,
    type KeyedRecord,
    type KeyedSnapshot,
    type StoreError,
} from "../types.js";

const createEntry = (id: string, failureDomain: string, change: Partial<BackendServer> = {}): BackendServer => ({
    id,
    startedAt: 1,
    service: "s",
    address: "10.0.0.1:1",
    failureDomain,
    isDraining: false,
    softwareVersion: "v1",
    slots: 4,
    models: [],
    ...change,
});
const entries = [createEntry("i-a", "a"), createEntry("i-b", "b")];
const regions = createRegions(new Map([["a", "eu"], ["b", "us"], ["c", "us"]]), "eu");

function createList(): ServerList {
    const list = createServerList();
    entries.forEach(list.put);
    return list;
}

const listUsable = (list: ServerList): readonly string[] => list.listUsable("s").map(({ id }) => id);
const requestKey = (key: string, value = "{}"): KeyedRecord => ({ key, value: Buffer.from(value), offset: 0 });
const withdrawKey = (key: string): KeyedRecord => ({ key, value: undefined, offset: 0 });
type Read = Result<KeyedSnapshot, StoreError>;
const read = (...records: KeyedRecord[]): Read => wrapValue({ records, endOffset: 1 });

// follows the operators' topic and describes the usable servers after each read; the first read, and one after `expired`, is a snapshot
async function readTopic(reads: readonly Read[]) {
    const list = createList();
    const lines: string[] = [];
    const usable: (readonly string[])[] = [];
    const stopping = new AbortController();
    const rest = [...reads];
    const takeRead = async (): Promise<Read> => {
        usable.push(listUsable(list));
        const next = rest.shift();
        if (!next) {
            stopping.abort();
        }
        return next ?? wrapError({ kind: "busy", status: 503 });
    };
    const evacuations = createEvacuations({
        servers: list,
        onChange: runs => lines.push(`closed ${runs.join()}`),
        writeLine: (event, fields) => lines.push(`${event} ${JSON.stringify(fields)}`),
    });
    const [follower] = createFollowers({
        log: { readNewest: takeRead, readFrom: takeRead, append: () => Promise.resolve(wrapValue(undefined)) },
        codec: {
            decodeOperatorRecord,
            decodeOperatorDeletion,
            decodeServerEntry: () => wrapError({ kind: "unreadable", field: "", detail: "" }),
        },
        clock: { now: () => 5_000, sleep: () => Promise.resolve() },
        configuration: createConfigurationState(),
        servers: list,
        directory: createInstanceDirectory({ id: "i", address: "a", failureDomain: "a", cores: 1 }),
        guard: { replaceAll: () => undefined, applyRecord: () => undefined },
        refused: createRefusedRecords(() => undefined, (event, fields) => lines.push(`${event} ${fields?.reason}`)),
        onStoreFailure: () => undefined,
        onServers: () => undefined,
        onServersConfirmed: () => undefined,
        onConfiguration: () => undefined,
        onAdapterVersion: () => undefined,
        isKnownDomain: regions.isKnownDomain,
        onEvacuation: evacuations.handle,
    });
    await follower!.run(stopping.signal);
    return { usable: usable.slice(1), lines, counts: evacuations.readCounts() };
}

describe("an evacuation of a failure domain", () => {
    // guards against requests to an evacuated domain, and against servers that stay unused after the withdrawal
    it("holds from its record to the deletion, with one line of the log for each", async () => {
        const { usable, lines } = await readTopic([
            read(),
            read(requestKey("evacuate/a")),
            read(requestKey("evacuate/a")),
            read(withdrawKey("evacuate/a")),
        ]);
        expect(usable).to.deep.equal([["i-a", "i-b"], ["i-b"], ["i-b"], ["i-a", "i-b"]]);
        expect(lines).to.deep.equal([
            'evacuation begins {"domain":"a","servers":1}',
            "closed i-a/1",
            'evacuation ends {"domain":"a","servers":1}',
            "closed ",
        ]);
    });

    // guards against evacuations that are lost with a restart of the store or a new reader, or that outlive their withdrawal
    it("is in force when a snapshot has it, and withdrawn when one has it no longer", async () => {
        const { usable } = await readTopic([
            read(requestKey("evacuate/a")),
            wrapError({ kind: "expired" }),
            read(requestKey("evacuate/b")),
        ]);
        expect(usable).to.deep.equal([["i-b"], ["i-b"], ["i-a"]]);
    });

    // guards against an outage of the store that ends an evacuation, or one that is taken for its withdrawal
    it("stays as it is while the store can't be read, and follows its first answer afterwards", async () => {
        const outage: Read[] = [
            wrapError({ kind: "unreachable", detail: "" }),
            wrapError({ kind: "refused", status: 500, detail: "" }),
        ];
        const { usable } = await readTopic([
            read(requestKey("evacuate/a")),
            ...outage,
            read(requestKey("evacuate/a")),
            ...outage,
            read(),
        ]);
        const evacuated = [["i-b"], ["i-b"], ["i-b"]];
        expect(usable).to.deep.equal([...evacuated, ...evacuated, ["i-a", "i-b"]]);
    });

    // guards against bad input that evacuates something else, or withdraws what is in force
    it("changes by no record that can't be read or names no failure domain of the deployment, with one line each", async () => {
        const { usable, lines, counts } = await readTopic([
            read(requestKey("evacuate/a"), requestKey("evacuate/nowhere")),
            read(requestKey("evacuate/a", "[]"), requestKey("evacuate/nowhere"), requestKey("evacuate/")),
            wrapError({ kind: "expired" }),
            read(requestKey("evacuate/a", "[]"), requestKey("evacuate/b", "[]")),
            read(withdrawKey("evacuate/nowhere")),
        ]);
        expect(usable).to.deep.equal([["i-b"], ["i-b"], ["i-b"], ["i-b"], ["i-b"]]);
        expect(lines.filter(line => line.startsWith("record refused"))).to.have.length(4);
        expect(counts).to.deep.equal({ domains: 1, servers: 1 });
    });

    // guards against data that is older than the bound of the platform, through readers and without
    it("is known within 5,000 ms through readers, and without", () => {
        for (const hops of [listRelayedHops(), listDirectHops("configuration")]) {
            expect(hops.reduce((sum, { duration }) => sum + duration, 0)).to.be.at.most(5_000);
        }
        expect(computeOwnAgeLimit("configuration")).to.be.below(5_000);
        const lines: string[] = [];
        for (const bound of [2_000, 1_999]) {
            createEvacuations({
                servers: createList(),
                bound,
                onChange: () => undefined,
                writeLine: event => lines.push(event),
            });
        }
        expect(lines).to.deep.equal(["bound on evacuations can't be kept"]);
    });
});

describe("servers of an evacuated failure domain", () => {
    // guards against orders, attempts and new servers that pass by the list of usable servers
    it("receive nothing, also those that come later, restart or are moved there, and are withheld where no other is left", () => {
        const list = createList();
        list.setEvacuated(new Set(["a"]));
        const restarted = createEntry("i-a", "a", { startedAt: 2 });
        const moved = createEntry("i-b", "a");
        expect([list.isWithheld("s"), list.isWithheld("other")]).to.deep.equal([false, false]);
        list.put(restarted);
        list.put(moved);
        for (const server of [restarted, moved]) {
            expect(list.isServing(formatServerRunId(server))).to.equal(false);
            expect(list.mayReceive(formatServerRunId(server), 0)).to.equal(false);
        }
        expect([listUsable(list), list.isWithheld("s")]).to.deep.equal([[], true]);
        list.setEvacuated(new Set());
        expect([listUsable(list).length, list.isWithheld("s")]).to.deep.equal([2, false]);
    });

    // guards against servers that are forgotten as their entries lapse in an outage, and come back with an empty record
    it("are kept like others when their entries lapse in an outage of the store", () => {
        const list = createList();
        list.setEvacuated(new Set(["a"]));
        list.markStoreFailure(0);
        expect(list.remove("i-a", 100).removed).to.deep.equal([]);
        list.put(createEntry("i-d", "a", { isDraining: true }));
        expect(list.remove("i-d", 100).removed).to.have.length(1);
    });
});

describe("homes", () => {
    // guards against a request that leaves the regions of its route or its account
    it("allow the regions that both route and account name", () => {
        const merge = (route?: readonly string[], account?: readonly string[]) =>
            mergeHomes({
                route: route ? { allowedRegions: route } : {},
                account: account ? { allowedRegions: account } : undefined,
            });
        expect(merge()).to.equal(undefined);
        expect(merge(["eu"])).to.deep.equal(["eu"]);
        expect(merge(undefined, ["us"])).to.deep.equal(["us"]);
        expect(merge(["eu", "us"], ["us", "ap"])).to.deep.equal(["us"]);
        expect(merge(["eu"], ["us"])).to.deep.equal([]);
    });

    // guards against servers without a known region, and against lists that are hashed anew for each request
    it("allow no server without a known region, and give the same list again", () => {
        const servers = [...entries, createEntry("i-x", "x")];
        expect(regions.filterServers(servers, undefined)).to.equal(servers);
        expect(regions.filterServers(servers, ["us"])).to.deep.equal([entries[1]]);
        expect(regions.filterServers(servers, [...["us"]])).to.equal(regions.filterServers(servers, ["us"]));
        expect(regions.filterServers(servers, [])).to.deep.equal([]);
        expect(createRegions().filterServers(servers, ["us"])).to.deep.equal([]);
    });

    // guards against bodies at instances of a third region
    it("let instances of the homes and of the own region carry a request", () => {
        const isAllowed = (domain: string, homes?: readonly string[]): boolean => regions.mayCarry(domain, homes);
        expect([
            isAllowed("a", ["us"]),
            isAllowed("b", ["us"]),
            isAllowed("b", ["eu"]),
            isAllowed("x", ["eu"]),
            isAllowed("x"),
        ]).to.deep.equal(
            [true, true, false, false, true],
        );
    });

    // guards against homes that are misspelt and refuse all requests without a word
    it("that name no region of the deployment are logged when their configuration is applied", () => {
        const lines: unknown[] = [];
        const { writeHomeless } = createRegions(new Map([["a", "eu"]]), "eu", (...line) => lines.push(line));
        const routes = [{ name: "r1", allowedRegions: ["ue"] }, { name: "r2", allowedRegions: ["ue", "eu"] }, {
            name: "r3",
        }];
        writeHomeless({ routes, accounts: [{ name: "acme", allowedRegions: ["su"] }] } as never);
        writeHomeless({ routes: routes.slice(1), accounts: undefined } as never);
        expect(lines).to.deep.equal([
            ["homes without a region", { routes: ["r1"], routeCount: 1, accounts: ["acme"], accountCount: 1 }],
        ]);
    });
});
