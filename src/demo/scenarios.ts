/**
 * Scenarios of the demo. Each creates a situation, sends requests and checks the answers against the guarantees of the
 * system.
 *
 * @packageDocumentation
 */
import { createSettingsDocument, type SettingsDocument } from "../config/index.js";
import type { Milliseconds } from "../shared/index.js";
import { makeTokenText } from "../standins/index.js";
import { type CallerAnswer, type CompletionCall, sendCompletion, sendServiceCall } from "./caller.js";
import type { LocalFleet } from "./localFleet.js";
import type { DemoReport } from "./report.js";

/** The fleet under test, the report and the keys; shared by all scenarios. */
export interface DemoContext {
    readonly fleet: LocalFleet;
    readonly report: DemoReport;
    /** Key of client account `springs`, whose limits are high enough for the whole demo. */
    readonly springsKey: string;
    /** Key of client account `wires`, whose limit is 20 tokens/s with a burst of 150. */
    readonly wiresKey: string;
}

/** Number of tokens of each completion in the demo. */
export const completionTokens = 24;
const withdrawalTimeoutMilliseconds: Milliseconds = 3_000;
const pollIntervalMilliseconds = 100;
const requestIntervalMilliseconds = 60;
const concurrentCompletions = 24;

/**
 * Computes the text that an engine stand-in generates for a prompt.
 *
 * @param prompt - the prompt
 * @param adapter - `ADAPTER@VERSION`
 * @returns the complete text of `completionTokens` tokens
 */
export function computeExpectedText(prompt: string, adapter: string): string {
    return Array.from({ length: completionTokens }, (unused, index) => makeTokenText(prompt, adapter, index)).join("");
}

/**
 * Sends completion requests for adapters that are not loaded yet, then for the same adapters once they are loaded.
 *
 * @param context - fleet, report and keys shared by all scenarios
 */
export async function runColdAndWarmAdapters(context: DemoContext): Promise<void> {
    context.report.beginScenario("Completions on adapters that are cold at first, then warm");
    for (
        const [instance, model, adapter] of [
            ["north", "draft-quote", "compression-springs@v3"],
            ["south", "draft-quote", "compression-springs@v3"],
            ["west", "draft-torsion", "torsion-springs@v1"],
            ["north", "draft-torsion", "torsion-springs@v1"],
        ] as const
    ) {
        const prompt = `quote from ${instance}`;
        const answer = await sendCompletionTo(context, instance, { key: context.springsKey, model, prompt });
        const isExpected = answer.isComplete && answer.text === computeExpectedText(prompt, adapter);
        context.report.recordAnswer(`${model} on ${adapter}`, instance, answer, isExpected);
    }
}

/**
 * Exceeds the rate and burst of one client account, with requests spread over all instances, and checks that another
 * client account is not affected.
 *
 * @param context - fleet, report and keys shared by all scenarios
 */
export async function runRateLimits(context: DemoContext): Promise<void> {
    context.report.beginScenario(
        "Limits: wires may spend 20 tokens/s with a burst of 150, over all instances together",
    );
    const instances = ["north", "south", "west"] as const;
    const answers = await Promise.all(Array.from({ length: concurrentCompletions }, (unused, index) => {
        const call = { key: context.wiresKey, model: "draft-quote", prompt: `wire ${index}` };
        return sendCompletionTo(context, instances[index % instances.length]!, call);
    }));
    const completed = answers.filter(answer => answer.isComplete).length;
    const refused = answers.find(answer => answer.reason === "overLimit");
    const isShared = completed > 0 && completed < concurrentCompletions;
    context.report.recordCheck(`${completed} of ${concurrentCompletions} concurrent completions ran`, isShared);
    if (refused) {
        const isExpected = refused.outcome === "notRun" && refused.retryAfterSeconds !== undefined;
        context.report.recordAnswer("first request over the limit", "one of the instances", refused, isExpected);
    }
    context.report.recordCheck("the client account that exceeds its limit is refused", refused !== undefined);
    const other = await sendCompletionTo(context, "west", {
        key: context.springsKey,
        model: "draft-quote",
        prompt: "meanwhile",
    });
    context.report.recordAnswer("another client account meanwhile", "west", other, other.isComplete);
}

/**
 * Sends requests with a wrong key, without a key, for a route that the client account may not use, and for an open
 * route.
 *
 * @param context - fleet, report and keys shared by all scenarios
 */
export async function runKeyChecks(context: DemoContext): Promise<void> {
    context.report.beginScenario("Keys");
    const wrong = await sendCompletionTo(context, "south", {
        key: "not-a-key",
        model: "draft-quote",
        prompt: "wrong key",
    });
    context.report.recordAnswer(
        "a wrong key",
        "south",
        wrong,
        wrong.reason === "wrongKey" && wrong.outcome === "notRun",
    );
    const missing = await sendCompletionTo(context, "west", { key: undefined, model: "draft-quote", prompt: "no key" });
    const isMissing = missing.reason === "missingKey" && missing.outcome === "notRun";
    context.report.recordAnswer("no key on a keyed route", "west", missing, isMissing);
    const foreign = await sendCompletionTo(context, "west", {
        key: context.wiresKey,
        model: "draft-torsion",
        prompt: "foreign",
    });
    const isForbidden = foreign.reason === "forbidden" && foreign.outcome === "notRun";
    context.report.recordAnswer("a route of another client account", "west", foreign, isForbidden);
    const open = await sendServiceCall({ address: findAddress(context, "north"), key: undefined, path: "prices/list" });
    context.report.recordAnswer("no key on an open route", "north", open, open.isComplete);
}

/**
 * Sends each of two orders twice, with one idempotency key per order, to different instances, and loses the backend
 * server's response to the second order.
 *
 * @param context - fleet, report and keys shared by all scenarios
 */
export async function runOrdersAtMostOnce(context: DemoContext): Promise<void> {
    context.report.beginScenario("Orders run at most once");
    const send = (instance: string, order: string): Promise<CallerAnswer> =>
        sendServiceCall({
            address: findAddress(context, instance),
            key: context.springsKey,
            path: "orders/confirm",
            body: { order },
            idempotencyKey: `key-of-${order}`,
        });
    const first = await send("north", "order-1");
    context.report.recordAnswer("order-1", "north", first, first.isComplete);
    const repeated = await send("south", "order-1");
    const isReplayed = repeated.isComplete && repeated.text === first.text;
    context.report.recordAnswer("order-1 repeated", "south", repeated, isReplayed);
    for (const service of context.fleet.standins.services.values()) {
        service.faults.loseAnswers(1);
    }
    const lost = await send("west", "order-2");
    context.report.recordAnswer("order-2, response lost", "west", lost, lost.outcome === "unknown");
    const again = await send("north", "order-2");
    const isConsistent = again.outcome === "unknown" || again.isComplete;
    context.report.recordAnswer("order-2 repeated", "north", again, isConsistent);
    for (const order of ["order-1", "order-2"]) {
        const runs = countRuns(context.fleet, order);
        context.report.recordCheck(`the backend servers ran ${order} ${runs} time(s)`, runs === 1);
    }
}

/**
 * Changes an adapter's version while completions run, and checks that each completion uses only one version.
 *
 * @param context - fleet, report and keys shared by all scenarios
 */
export async function runVersionChange(context: DemoContext): Promise<void> {
    context.report.beginScenario("An adapter's version changes from v3 to v4 while completions run");
    const instances = ["north", "south", "west"] as const;
    const versions = ["compression-springs@v3", "compression-springs@v4"];
    const traffic = Array.from({ length: 30 }, async (unused, index) => {
        await waitFor(index * requestIntervalMilliseconds);
        const prompt = `draft ${index}`;
        const call = { key: context.springsKey, model: "draft-quote", prompt };
        const answer = await sendCompletionTo(context, instances[index % instances.length]!, call);
        return { answer, version: versions.find(name => answer.text === computeExpectedText(prompt, name)) };
    });
    await waitFor(traffic.length / 2 * requestIntervalMilliseconds);
    const outcome = await context.fleet.publish(current => setVersion(createSettingsDocument(current), "v4"));
    context.report.recordCheck(`the change was ${outcome.kind}`, outcome.kind === "accepted");
    const ended = await Promise.all(traffic);
    const complete = ended.filter(({ answer, version }) => answer.isComplete && version !== undefined);
    const onNew = complete.filter(({ version }) => version === versions[1]).length;
    context.report.recordCheck(
        `${complete.length} of ${ended.length} completions are complete, each on one version (${onNew} on v4)`,
        complete.length === ended.length,
    );
    if (outcome.kind === "accepted") {
        await context.fleet.waitUntilApplied(outcome.offset);
    }
    for (const instance of instances) {
        const prompt = `after the change at ${instance}`;
        const answer = await sendCompletionTo(context, instance, {
            key: context.springsKey,
            model: "draft-quote",
            prompt,
        });
        const isNew = answer.isComplete && answer.text === computeExpectedText(prompt, versions[1]!);
        context.report.recordAnswer("draft-quote after the change", instance, answer, isNew);
    }
}

/**
 * Withdraws a key and checks that every instance refuses it after about 3 s at most.
 *
 * @param context - fleet, report and keys shared by all scenarios
 */
export async function runKeyWithdrawal(context: DemoContext): Promise<void> {
    context.report.beginScenario("A key is withdrawn");
    const outcome = await context.fleet.withdrawKey("wires-key");
    context.report.recordCheck(`the withdrawal was ${outcome.kind}`, outcome.kind === "accepted");
    for (const instance of ["north", "south", "west"]) {
        let answer = await sendWithWithdrawnKey(context, instance);
        for (let waited = 0; answer.outcome === "completed" && waited < withdrawalTimeoutMilliseconds;) {
            await waitFor(pollIntervalMilliseconds);
            waited += pollIntervalMilliseconds;
            answer = await sendWithWithdrawnKey(context, instance);
        }
        context.report.recordAnswer("the withdrawn key", instance, answer, answer.outcome === "notRun");
    }
}

/**
 * Drains an instance while completions run on it and on another one, and checks that all of them complete.
 *
 * @param context - fleet, report and keys shared by all scenarios
 */
export async function runInstanceDrain(context: DemoContext): Promise<void> {
    context.report.beginScenario("One instance is drained while completions run");
    const call = { key: context.springsKey, model: "draft-quote" };
    const running = Array.from({ length: 12 }, (unused, index) => {
        const instance = index % 2 === 0 ? "west" : "north";
        return sendCompletionTo(context, instance, { ...call, prompt: `drained ${index}` });
    });
    await waitFor(pollIntervalMilliseconds);
    const stopped = context.fleet.stopInstance("west");
    const answers = await Promise.all(running);
    await stopped;
    const whole = answers.filter(answer => answer.isComplete).length;
    context.report.recordCheck(`${whole} of ${answers.length} running completions finished`, whole === answers.length);
    const after = await sendCompletionTo(context, "south", { ...call, prompt: "after the drain" });
    context.report.recordAnswer("a completion after the drain", "south", after, after.isComplete);
}

function sendCompletionTo(
    context: DemoContext,
    instance: string,
    call: Omit<CompletionCall, "address">,
): Promise<CallerAnswer> {
    return sendCompletion({ ...call, address: findAddress(context, instance), maximumTokens: completionTokens });
}

function sendWithWithdrawnKey(context: DemoContext, instance: string): Promise<CallerAnswer> {
    return sendServiceCall({ address: findAddress(context, instance), key: context.wiresKey, path: "stock/list" });
}

function findAddress(context: DemoContext, instance: string): string {
    return context.fleet.findInstance(instance).callerAddress;
}

function setVersion(document: SettingsDocument, version: string): SettingsDocument {
    const adapter = document.nodes["compression-springs"];
    if (adapter?.kind !== "adapter") {
        throw new Error("examples/settings.yaml has no adapter compression-springs; add it");
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
