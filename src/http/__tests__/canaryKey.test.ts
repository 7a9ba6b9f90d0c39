import { expect } from "chai";
import loglevel from "loglevel";
import type { ListedBackendServer } from "../../backends/index.js";
import { createRelayPath, type RelayPath } from "../../bench/relay/relayPath.js";
import type { ResolvedSettings } from "../../config/index.js";
import { createSystemClock, hashKey, setLogLevel } from "../../shared/index.js";
import { createStandins, type Standins, standinsConfigSchema } from "../../standins/index.js";
import { createFakeSettings } from "./fakeService.js";

// distinctive API keys, searched for in everything that the instance emits
const canary = "ohk_canary-5e1f-27ab-90cd-must-not-leave";
const wrongCanary = "ohk_canary-wrong-77aa-must-not-leave-too";
const forbiddenTexts = [canary, wrongCanary, encodeURIComponent(canary), Buffer.from(canary).toString("base64")];

const config = standinsConfigSchema.parse({
    instanceList: { lagMilliseconds: 0 },
    engines: [{ id: "e1", baseModel: "base", pool: "p", stepMilliseconds: 1, answerTokens: 3 }],
    services: [{ id: "s1", pool: "orders" }],
});

function createSettings(): ResolvedSettings {
    const settings = createFakeSettings().read()!;
    const model = settings.routes.get("open")!;
    const service = {
        ...model,
        kind: "service",
        pool: "orders",
        repeat: "idempotent",
        costTokens: 1,
        access: "keyed",
    } as const;
    const hash = hashKey(canary);
    return {
        ...settings,
        keys: new Map([[hash, { id: "k", hash, account: "a" }]]),
        routes: new Map([
            ["draft", { ...model, id: "draft", access: "keyed", deadline: 5_000 } as typeof model],
            ["orders", { ...service, id: "orders" }],
            ["prices", { ...service, id: "prices", access: "open", openAccount: "a" }],
        ]),
    };
}

describe("a client's API key", () => {
    const lines: string[] = [];
    const original = { methodFactory: loglevel.methodFactory };
    let standins: Standins;
    let path: RelayPath;
    let url: string;

    before(async () => {
        const keepLines: loglevel.MethodFactory = () => (...texts: unknown[]) =>
            lines.push(texts.map(String).join(" "));
        for (const logger of Object.values(loglevel.getLoggers())) {
            logger.methodFactory = keepLines;
        }
        setLogLevel("debug");
        standins = createStandins(config, createSystemClock());
        const { backendServers } = await standins.start();
        const listing = await standins.instanceList.list.list();
        const servers: readonly ListedBackendServer[] = listing.ok ? listing.value.backendServers : [];
        expect(servers.length).to.equal(Object.keys(backendServers).length);
        path = createRelayPath({
            backendServers: servers,
            settings: createSettings(),
            clock: createSystemClock(),
            seed: 1,
        });
        url = `http://${await path.http.start()}`;
    });
    after(async () => {
        for (const logger of Object.values(loglevel.getLoggers())) {
            logger.methodFactory = original.methodFactory;
        }
        setLogLevel("silent");
        await path.http.stop();
        await standins.stop();
    });

    it("appears in no response, backend request, metric, status or log line of any request", async () => {
        const key = { authorization: `Bearer ${canary}` };
        const wrong = { authorization: `Bearer ${wrongCanary}` };
        const buildChat = (fields: object = {}): string =>
            JSON.stringify({ model: "draft", messages: [{ role: "user", content: "hello" }], ...fields });
        const send = async (target: string, body?: string, headers: Record<string, string> = {}): Promise<string> => {
            const method = body === undefined ? "GET" : "POST";
            const response = await fetch(`${url}${target}`, { method, body, headers });
            const headerText = JSON.stringify([...response.headers]);
            return `${response.status} ${headerText} ${await response.text()}`;
        };
        const completions = "/v1/chat/completions";
        const responses = [
            await send(completions, buildChat(), key),
            await send(completions, buildChat({ stream: true }), key),
            await send(completions, buildChat({ model: "absent" }), key),
            await send(completions, buildChat(), wrong),
            await send(completions, buildChat(), { authorization: `Basic ${Buffer.from(canary).toString("base64")}` }),
            await send(completions, buildChat(), { authorization: canary }),
            await send(completions, buildChat(), { "x-api-key": canary }),
            await send(completions, buildChat({ model: canary }), key),
            await send(completions, buildChat({ user: canary }), key),
            await send(completions, buildChat({ messages: [{ role: "user", content: `my key: ${canary}` }] }), key),
            await send(completions, buildChat({ stop: [canary] }), key),
            await send(completions, `{"model": "${canary}`, key),
            await send(completions, buildChat({ user: "x".repeat(5_000_000) }), key),
            await send(`${completions}?api_key=${canary}`, buildChat(), key),
            await send("/services/orders/a", "{}", key),
            await send("/services/orders/a", "{}", { ...key, "x-api-key": canary, cookie: `key=${canary}` }),
            await send("/services/orders/a", JSON.stringify({ order: 1, key: canary }), key),
            await send(`/services/orders/a?key=${canary}`, undefined, key),
            await send(`/services/orders/${canary}`, undefined, key),
            await send("/services/orders/a", "{}", wrong),
            await send(`/services/prices/a?key=${canary}`),
            await send("/services/prices/a", undefined, { "x-key": `token ${canary}` }),
            await send("/services/prices/a", undefined, { "idempotency-key": canary }),
            await send("/services/prices/a"),
            await send(`/${canary}`, undefined, key),
            await send(`/v1/models/${canary}`, undefined, key),
            await send("/v1/models", undefined, wrong),
        ];
        const statuses = responses.map(answer => answer.slice(0, 3));
        expect(statuses.filter(status => status === "200" || status === "201").length).to.equal(6);
        const received = [...standins.engines.values(), ...standins.services.values()].flatMap(({ received }) =>
            received
        );
        expect(received.length).to.equal(6);
        const places = {
            answers: responses.join("\n"),
            "backend servers": JSON.stringify(received),
            metrics: await path.metrics.readText(),
            status: await send("/status"),
            log: lines.join("\n"),
        };
        expect(lines.filter(line => line.includes('"event":"request"')).length).to.be.greaterThan(20);
        for (const [place, text] of Object.entries(places)) {
            for (const forbidden of forbiddenTexts) {
                expect(text.includes(forbidden), `${forbidden} in ${place}`).to.equal(false);
            }
        }
    });
});
