/**
 * Scenes of the demo: each brings a situation about and compares what callers got with what is promised.
 *
 * @packageDocumentation
 */
import { createSettingsDocument, type SettingsDocument } from "../config/index.js";
import type { Milliseconds } from "../shared/index.js";
import { makeTokenText } from "../standins/index.js";
import type { DemoAccount } from "./account.js";
import { type CallerAnswer, type DraftCall, sendDraft, sendPlainCall } from "./caller.js";
import type { LocalFleet } from "./localFleet.js";

/** What the scenes share. */
export interface DemoStage {
    readonly fleet: LocalFleet;
    readonly account: DemoAccount;
    /** Key of the account with much room. */
    readonly springsKey: string;
    /** Key of the account with little room. */
    readonly wiresKey: string;
}

/** Tokens of every draft of the demo. */
export const draftTokens = 24;
const withdrawalLimitMilliseconds: Milliseconds = 3_000;
const pollMilliseconds = 100;
const trafficGapMilliseconds = 60;
const draftsAtOnce = 24;

/**
 * Computes what an adapter's answer must be.
 *
 * @param prompt - the prompt
 * @param adapter - `ADAPTER@VERSION`
 * @returns the whole text
 */
export function computeAnswer(prompt: string, adapter: string): string {
    return Array.from({ length: draftTokens }, (unused, index) => makeTokenText(prompt, adapter, index)).join("");
}

/**
 * Sends drafts to a cold and to a warm adapter, at every instance.
 *
 * @param stage - what the scenes share
 */
export async function runColdAndWarm(stage: DemoStage): Promise<void> {
    stage.account.beginScene("Drafts: the adapter is cold at first, then warm");
    for (
        const [instance, model, adapter] of [
            ["north", "draft-quote", "compression-springs@v3"],
            ["south", "draft-quote", "compression-springs@v3"],
            ["west", "draft-torsion", "torsion-springs@v1"],
            ["north", "draft-torsion", "torsion-springs@v1"],
        ] as const
    ) {
        const prompt = `quote from ${instance}`;
        const answer = await sendDraftTo(stage, instance, { key: stage.springsKey, model, prompt });
        const isRight = answer.isComplete && answer.text === computeAnswer(prompt, adapter);
        stage.account.recordAnswer(`${model} on ${adapter}`, instance, answer, isRight);
    }
}

/**
 * Sends more than an account's rate and burst, spread over the instances.
 *
 * @param stage - what the scenes share
 */
export async function runOverLimit(stage: DemoStage): Promise<void> {
    stage.account.beginScene("Limits: wires may spend 20 tokens/s with a burst of 150, over all instances together");
    const instances = ["north", "south", "west"] as const;
    const answers = await Promise.all(Array.from({ length: draftsAtOnce }, (unused, index) => {
        const call = { key: stage.wiresKey, model: "draft-quote", prompt: `wire ${index}` };
        return sendDraftTo(stage, instances[index % instances.length]!, call);
    }));
    const completed = answers.filter(answer => answer.isComplete).length;
    const refused = answers.find(answer => answer.reason === "overLimit");
    const isShared = completed > 0 && completed < draftsAtOnce;
    stage.account.recordFact(`${completed} of ${draftsAtOnce} drafts sent at once ran`, isShared);
    if (refused) {
        const isTrue = refused.outcome === "notRun" && refused.retryAfterSeconds !== undefined;
        stage.account.recordAnswer("first draft over the limit", "some instance", refused, isTrue);
    }
    stage.account.recordFact("the account that exceeds its limit is refused", refused !== undefined);
    const other = await sendDraftTo(stage, "west", {
        key: stage.springsKey,
        model: "draft-quote",
        prompt: "meanwhile",
    });
    stage.account.recordAnswer("another account meanwhile", "west", other, other.isComplete);
}

/**
 * Sends requests with a wrong key, without a key, and on an open route.
 *
 * @param stage - what the scenes share
 */
export async function runKeys(stage: DemoStage): Promise<void> {
    stage.account.beginScene("Keys");
    const wrong = await sendDraftTo(stage, "south", { key: "not-a-key", model: "draft-quote", prompt: "wrong key" });
    stage.account.recordAnswer(
        "a wrong key",
        "south",
        wrong,
        wrong.reason === "wrongKey" && wrong.outcome === "notRun",
    );
    const missing = await sendDraftTo(stage, "west", { key: undefined, model: "draft-quote", prompt: "no key" });
    const isMissing = missing.reason === "missingKey" && missing.outcome === "notRun";
    stage.account.recordAnswer("no key on a keyed route", "west", missing, isMissing);
    const foreign = await sendDraftTo(stage, "west", {
        key: stage.wiresKey,
        model: "draft-torsion",
        prompt: "foreign",
    });
    const isForbidden = foreign.reason === "forbidden" && foreign.outcome === "notRun";
    stage.account.recordAnswer("a route of another account", "west", foreign, isForbidden);
    const open = await sendPlainCall({ address: findAddress(stage, "north"), key: undefined, path: "prices/list" });
    stage.account.recordAnswer("no key on an open route", "north", open, open.isComplete);
}

/**
 * Sends an order twice under one idempotency key, at different instances, while its first answer is lost.
 *
 * @param stage - what the scenes share
 */
export async function runOrders(stage: DemoStage): Promise<void> {
    stage.account.beginScene("Orders run at most once");
    const send = (instance: string, order: string): Promise<CallerAnswer> =>
        sendPlainCall({
            address: findAddress(stage, instance),
            key: stage.springsKey,
            path: "orders/confirm",
            body: { order },
            idempotencyKey: `key-of-${order}`,
        });
    const first = await send("north", "order-1");
    stage.account.recordAnswer("order-1", "north", first, first.isComplete);
    const repeated = await send("south", "order-1");
    const isReplayed = repeated.isComplete && repeated.text === first.text;
    stage.account.recordAnswer("order-1 repeated", "south", repeated, isReplayed);
    for (const service of stage.fleet.standins.services.values()) {
        service.faults.loseAnswers(1);
    }
    const lost = await send("west", "order-2");
    stage.account.recordAnswer("order-2, its answer is lost", "west", lost, lost.outcome === "unknown");
    const again = await send("north", "order-2");
    const isTruthful = again.outcome === "unknown" || again.isComplete;
    stage.account.recordAnswer("order-2 repeated", "north", again, isTruthful);
    for (const order of ["order-1", "order-2"]) {
        const runs = countRuns(stage.fleet, order);
        stage.account.recordFact(`the order servers ran ${order} ${runs} time(s)`, runs === 1);
    }
}

/**
 * Changes an adapter's version while drafts run.
 *
 * @param stage - what the scenes share
 */
export async function runVersionChange(stage: DemoStage): Promise<void> {
    stage.account.beginScene("An adapter's version changes from v3 to v4 while drafts run");
    const instances = ["north", "south", "west"] as const;
    const versions = ["compression-springs@v3", "compression-springs@v4"];
    const traffic = Array.from({ length: 30 }, async (unused, index) => {
        await waitFor(index * trafficGapMilliseconds);
        const prompt = `draft ${index}`;
        const call = { key: stage.springsKey, model: "draft-quote", prompt };
        const answer = await sendDraftTo(stage, instances[index % instances.length]!, call);
        return { answer, version: versions.find(name => answer.text === computeAnswer(prompt, name)) };
    });
    await waitFor(traffic.length / 2 * trafficGapMilliseconds);
    const outcome = await stage.fleet.publish(current => setVersion(createSettingsDocument(current), "v4"));
    stage.account.recordFact(`the change was ${outcome.kind}`, outcome.kind === "accepted");
    const ended = await Promise.all(traffic);
    const complete = ended.filter(({ answer, version }) => answer.isComplete && version !== undefined);
    const onNew = complete.filter(({ version }) => version === versions[1]).length;
    stage.account.recordFact(
        `${complete.length} of ${ended.length} drafts are whole, each on one version (${onNew} on v4)`,
        complete.length === ended.length,
    );
    if (outcome.kind === "accepted") {
        await stage.fleet.waitUntilApplied(outcome.offset);
    }
    for (const instance of instances) {
        const prompt = `after the change at ${instance}`;
        const answer = await sendDraftTo(stage, instance, { key: stage.springsKey, model: "draft-quote", prompt });
        const isNew = answer.isComplete && answer.text === computeAnswer(prompt, versions[1]!);
        stage.account.recordAnswer("draft-quote after the change", instance, answer, isNew);
    }
}

/**
 * Withdraws a key and waits until every instance refuses it.
 *
 * @param stage - what the scenes share
 */
export async function runWithdrawal(stage: DemoStage): Promise<void> {
    stage.account.beginScene("A key is withdrawn");
    const outcome = await stage.fleet.withdrawKey("wires-key");
    stage.account.recordFact(`the withdrawal was ${outcome.kind}`, outcome.kind === "accepted");
    for (const instance of ["north", "south", "west"]) {
        let answer = await sendWithdrawn(stage, instance);
        for (let waited = 0; answer.outcome === "completed" && waited < withdrawalLimitMilliseconds;) {
            await waitFor(pollMilliseconds);
            waited += pollMilliseconds;
            answer = await sendWithdrawn(stage, instance);
        }
        stage.account.recordAnswer("the withdrawn key", instance, answer, answer.outcome === "notRun");
    }
}

/**
 * Drains an instance while drafts run at all of them.
 *
 * @param stage - what the scenes share
 */
export async function runDrain(stage: DemoStage): Promise<void> {
    stage.account.beginScene("One instance is drained while drafts run");
    const call = { key: stage.springsKey, model: "draft-quote" };
    const running = Array.from({ length: 12 }, (unused, index) => {
        const instance = index % 2 === 0 ? "west" : "north";
        return sendDraftTo(stage, instance, { ...call, prompt: `drained ${index}` });
    });
    await waitFor(pollMilliseconds);
    const stopped = stage.fleet.stopInstance("west");
    const answers = await Promise.all(running);
    await stopped;
    const whole = answers.filter(answer => answer.isComplete).length;
    stage.account.recordFact(`${whole} of ${answers.length} running drafts ended whole`, whole === answers.length);
    const after = await sendDraftTo(stage, "south", { ...call, prompt: "after the drain" });
    stage.account.recordAnswer("a draft after the drain", "south", after, after.isComplete);
}

function sendDraftTo(
    stage: DemoStage,
    instance: string,
    call: Omit<DraftCall, "address">,
): Promise<CallerAnswer> {
    return sendDraft({ ...call, address: findAddress(stage, instance), maximumTokens: draftTokens });
}

function sendWithdrawn(stage: DemoStage, instance: string): Promise<CallerAnswer> {
    return sendPlainCall({ address: findAddress(stage, instance), key: stage.wiresKey, path: "stock/list" });
}

function findAddress(stage: DemoStage, instance: string): string {
    return stage.fleet.findInstance(instance).callerAddress;
}

function setVersion(document: SettingsDocument, version: string): SettingsDocument {
    const adapter = document.nodes["compression-springs"];
    if (adapter?.kind !== "adapter") {
        throw new Error("the example tree has no adapter compression-springs");
    }
    return { ...document, nodes: { ...document.nodes, "compression-springs": { ...adapter, version } } };
}

function countRuns(fleet: LocalFleet, order: string): number {
    const runs = [...fleet.standins.services.values()].map(service => service.runs.get(order) ?? 0);
    return runs.reduce((sum, count) => sum + count, 0);
}

function waitFor(duration: Milliseconds): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}
