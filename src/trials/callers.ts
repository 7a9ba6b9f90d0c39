/**
 * Load generator of a trial: callers send drafts, orders and reads to randomly chosen daemons and record the answers.
 *
 * @packageDocumentation
 */
import { type CallerAnswer, sendCompletion, sendServiceCall } from "../demo/caller.js";
import type { Milliseconds, SeededRandom } from "../shared/index.js";

/** A call with its answer. */
export interface TrialCall {
    readonly kind: "draft" | "order" | "read";
    readonly account: string;
    readonly keyName: string;
    /** Adapter of a draft, name of an order, or `stock` for a read. */
    readonly subject: string;
    readonly prompt: string;
    readonly sentAt: Milliseconds;
    readonly endedAt: Milliseconds;
    /** `undefined` if no answer arrived: no daemon was serving, the connection failed, or the call timed out. */
    readonly answer: CallerAnswer | undefined;
}

/** A client key with its name and client account. */
export interface TrialKey {
    readonly name: string;
    readonly account: string;
    readonly key: string;
}

/** Options of {@link runCallers}. */
export interface CallersOptions {
    readonly random: SeededRandom;
    readonly listAddresses: () => readonly string[];
    readonly listKeys: () => readonly TrialKey[];
    readonly adapters: readonly string[];
    /** Number of concurrent callers; each waits for an answer before its next call. */
    readonly callers: number;
}

const draftTokens = 24;
const maximumPauseMilliseconds = 120;
const maximumOrderAttempts = 3;
const callTimeoutMilliseconds = 45_000;

/**
 * Runs callers until a signal stops them.
 *
 * @param options - number of callers, and the addresses, keys and adapters that they use
 * @param signal - stops each caller after its current call
 * @returns all calls, in the order in which they ended
 */
export async function runCallers(options: CallersOptions, signal: AbortSignal): Promise<readonly TrialCall[]> {
    const calls: TrialCall[] = [];
    let orders = 0;
    const runCaller = async (): Promise<void> => {
        while (!signal.aborted) {
            const draw = options.random.next();
            if (draw < 0.6) {
                calls.push(await callDraft(options, calls.length));
            }
            else if (draw < 0.85) {
                await callOrder(options, `order-${++orders}`, calls);
            }
            else {
                calls.push(await callRead(options));
            }
            await new Promise(resolve => setTimeout(resolve, options.random.between(1, maximumPauseMilliseconds)));
        }
    };
    await Promise.all(Array.from({ length: options.callers }, runCaller));
    return calls;
}

function callDraft(options: CallersOptions, number: number): Promise<TrialCall> {
    const { random } = options;
    const adapter = options.adapters[Math.floor(options.adapters.length * random.next() ** 2)]!;
    const prompt = `draft ${number} with ${adapter}`;
    return callOnce(
        options,
        "draft",
        adapter,
        prompt,
        (address, key) => sendCompletion({ address, key, model: adapter, prompt, maximumTokens: draftTokens }),
    );
}

function callRead(options: CallersOptions): Promise<TrialCall> {
    return callOnce(
        options,
        "read",
        "stock",
        "",
        (address, key) => sendServiceCall({ address, key, path: "stock/list" }),
    );
}

// an order that did not complete is repeated with the same client key and idempotency key, at any daemon
async function callOrder(options: CallersOptions, order: string, calls: TrialCall[]): Promise<void> {
    const key = options.random.choose(options.listKeys());
    for (let attempt = 0; attempt < maximumOrderAttempts; attempt++) {
        const call = await callOnce(
            { ...options, listKeys: () => [key] },
            "order",
            order,
            "",
            (address, callerKey) =>
                sendServiceCall({
                    address,
                    key: callerKey,
                    path: "orders/confirm",
                    body: { order },
                    idempotencyKey: `key-of-${order}`,
                }),
        );
        calls.push(call);
        if (call.answer?.outcome === "completed") {
            return;
        }
    }
}

async function callOnce(
    options: CallersOptions,
    kind: TrialCall["kind"],
    subject: string,
    prompt: string,
    send: (address: string, key: string) => Promise<CallerAnswer>,
): Promise<TrialCall> {
    const key = options.random.choose(options.listKeys());
    const addresses = options.listAddresses();
    const sentAt = performance.now();
    const answer = addresses.length === 0
        ? undefined
        : await limitTime(send(options.random.choose(addresses), key.key).catch(() => undefined));
    return {
        kind,
        subject,
        prompt,
        account: key.account,
        keyName: key.name,
        sentAt,
        endedAt: performance.now(),
        answer,
    };
}

async function limitTime(answer: Promise<CallerAnswer | undefined>): Promise<CallerAnswer | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), callTimeoutMilliseconds);
    });
    const first = await Promise.race([answer, limit]);
    clearTimeout(timer);
    return first;
}
