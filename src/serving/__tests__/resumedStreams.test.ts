import { expect } from "chai";
import type { OriginDecision, StreamOrigins } from "../../resumption/index.js";
import type { Admission } from "../admission.js";
import { applyStreamOrigin, computeStreamLifetime, filterByOrigin } from "../resumedStreams.js";
import type { BackendServer, ClientRequest, ServingRoute } from "../types.js";

const route = {
    name: "draft",
    kind: "stream",
    canResume: true,
    targets: [{ service: "blue", weight: 1 }, { service: "green", weight: 9 }],
} as unknown as ServingRoute;
const admitted: Extract<Admission, { readonly kind: "admitted"; }> = {
    kind: "admitted",
    route,
    service: "green",
    account: undefined,
};

function applyDecision(
    decision: OriginDecision,
    request: Partial<ClientRequest>,
    changes: Partial<ServingRoute> = {},
): Promise<Admission> {
    const origins = { find: () => Promise.resolve(decision) } as unknown as StreamOrigins;
    const admission = Object.keys(changes).length === 0 ? admitted : { ...admitted, route: { ...route, ...changes } };
    const whole = { host: "h", target: "/draft/1", ...request } as ClientRequest;
    return applyStreamOrigin(origins, admission, whole, new AbortController().signal);
}

describe("admission of a request for the rest of a stream", () => {
    const resumed = { resumed: { firstAttemptId: "a" } };
    const describeKnown = (service: string): OriginDecision => ({ kind: "known", origin: { service, version: "v1" } });

    // guards against the rest of a stream from another service of a split route
    it("goes to the service that began the stream, whatever the weights of the route", async () => {
        expect(await applyDecision(describeKnown("blue"), resumed)).to.include({ kind: "admitted", service: "blue" });
    });

    // guards against a request that runs at a service to which its route no longer leads
    it("is refused when the route has left that service, or when nobody knows it", async () => {
        const moved = await applyDecision(describeKnown("red"), resumed);
        const unknown = await applyDecision({ kind: "unknown", reason: "test" }, resumed);
        expect([moved, unknown].map(({ kind }) => kind)).to.deep.equal(["refused", "refused"]);
        expect(unknown).to.include({ status: 503, retryAfter: 0.5 });
    });

    // guards against two runs that are joined after a configuration by which their route's streams can't be resumed (ORDER)
    it("is refused where streams of the route can't be resumed, and is nothing special where it has none", async () => {
        const refused = await applyDecision(describeKnown("green"), resumed, { canResume: false });
        expect(refused).to.include({ kind: "refused", status: 503, reason: "streams of the route can't be resumed" });
        const other = await applyDecision(describeKnown("green"), resumed, { kind: "idempotent", canResume: false });
        expect(other.kind).to.equal("admitted");
    });

    it("leaves other requests as they are", async () => {
        expect(await applyDecision({ kind: "unknown", reason: "test" }, {})).to.equal(admitted);
    });
});

describe("servers that may go on with a stream", () => {
    // guards against versions that are taken for equal because their services use the same text, or for a number
    it("are those of its service and version alone", () => {
        const servers = ([["llm", "1"], ["llm", 1], ["app", "1"], ["llm", undefined]] as const).map(
            ([service, softwareVersion]) => ({ service, softwareVersion }) as BackendServer,
        );
        expect(filterByOrigin(servers, { service: "llm", version: "1" })).to.deep.equal([servers[0]]);
        expect(filterByOrigin(servers, { service: "llm", version: undefined })).to.deep.equal([servers[3]]);
        expect(filterByOrigin(servers, undefined)).to.equal(servers);
    });

    it("matter for as long as a stream and one return of its client last", () => {
        expect(computeStreamLifetime([{ kind: "stream", timeout: 4_000 }, { kind: "once", timeout: 9_000 }])).to.equal(
            8_000,
        );
        expect(computeStreamLifetime([])).to.equal(0);
    });
});
