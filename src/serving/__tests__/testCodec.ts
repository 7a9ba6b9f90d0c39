/**
 * Configuration and headers of the tests over whole instances.
 */
import { decodeEventId } from "../eventIds.js";
import type { HeaderCodec, ServingConfig } from "../types.js";

/** The one service, whose servers aren't engines. */
export const testService = "llm";
/** Account whose requests with the crashing body end servers. */
export const firstTestAccount = "acme";
const createRoute = (name: string, pathPrefix: string) => ({
    name,
    host: "a.example",
    pathPrefix,
    targets: [{ service: testService, weight: 1 }],
    timeout: 4_000,
    targetLatency: 600,
    attemptLimit: 3,
    priority: 0,
    isPublic: false,
});
/** Configuration with a stream that can be resumed and an idempotent route. */
export const testConfig: ServingConfig = {
    version: 1,
    routes: [
        { ...createRoute("draft", "/"), kind: "stream", targetEventGap: 300, canResume: true },
        { ...createRoute("lookup", "/lookup/"), kind: "idempotent", targetEventGap: undefined, canResume: false },
    ],
    services: new Map([[testService, { name: testService, connectionLimit: 200, engine: undefined }]]),
    accounts: [firstTestAccount, "bolt"].map(name => ({
        name,
        keys: [`${name}-key`],
        priority: undefined,
        quota: undefined,
    })),
    limits: { headerBytes: 8_000, bodyBytes: 8_000, headerTimeout: 2_000, idleTimeout: 5_000 },
};

/** Codec of simple headers of its own. */
export const testCodec: HeaderCodec = {
    decodeRequest: (method, target, raw) => {
        const headers = readHeaders(raw);
        const named = headers.get("parts");
        const parts = named?.split(",");
        return {
            attemptId: headers.get("id"),
            method,
            target,
            host: "a.example",
            key: headers.get("key"),
            deadline: 4_000,
            choice: undefined,
            tokens: undefined,
            prompt: parts && { shared: parts.slice(0, -1), own: parts.at(-1)! },
            lastEventId: decodeEventId(headers.get("last-event-id") ?? ""),
            resumed: headers.has("last-event-id") ? { firstAttemptId: headers.get("resumes") } : undefined,
            passedHeaders: ["id", headers.get("id")!, ...named === undefined ? [] : ["parts", named]],
        };
    },
    encodeForwardedHeaders: (request, forwarded) => [
        ...request.passedHeaders,
        "expected",
        forwarded.server,
        "account",
        forwarded.account ?? "",
        ...forwarded.lastEventId === undefined ? [] : ["last-event-id", forwarded.lastEventId],
    ],
    decodeResponseHead: (status, raw) => {
        const headers = readHeaders(raw);
        return {
            status,
            attemptId: headers.get("id"),
            isSigned: headers.has("signed"),
            isNotRun: headers.has("not-run"),
            load: undefined,
            requestLimit: headers.has("limit") ? Number(headers.get("limit")) : undefined,
            retryAfter: headers.has("retry-after") ? Number(headers.get("retry-after")) * 1_000 : undefined,
            isLeaving: headers.has("leaving"),
            coldFor: headers.has("cold") ? Number(headers.get("cold")) : undefined,
            isEventStream: true,
            contentLength: undefined,
            passedHeaders: [],
        };
    },
    encodeRefusalHeaders: (id, retryAfter) => retryAfter === undefined ? [] : ["retry-after", String(retryAfter)],
};

function readHeaders(raw: readonly string[]): Map<string, string> {
    const pairs = raw.flatMap((name, index) => index % 2 === 0 ? [[name.toLowerCase(), raw[index + 1]!] as const] : []);
    return new Map(pairs);
}
