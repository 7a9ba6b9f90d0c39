/**
 * Parses OpenAI-style completion requests. Known options that the model engines don't support are rejected, because
 * ignoring them would change the response; unknown fields are ignored.
 *
 * @packageDocumentation
 */
import * as z from "zod";
import type { ChatMessage, Prompt } from "../backends/index.js";
import { type Result, wrapError, wrapValue } from "../shared/index.js";

/** A parsed completion request; `undefined` fields were not set by the client. */
export interface ModelRequest {
    readonly model: string;
    readonly prompt: Prompt;
    readonly maximumOutputTokens: number | undefined;
    readonly temperature: number | undefined;
    readonly stop: readonly string[] | undefined;
    readonly stream: boolean;
    /** Whether the client asks for a final chunk with token counts. */
    readonly includeUsage: boolean;
}

/** Why a request is invalid. */
export interface ModelRequestError {
    readonly message: string;
    /** Path of the invalid field, or `undefined` if the error concerns the whole body. */
    readonly parameter: string | undefined;
}

/** Completion endpoint of a request: `/v1/chat/completions` or `/v1/completions`. */
export type CompletionKind = "chat" | "text";

const modelNameLimitCharacters = 256;
const messageCountLimit = 4_096;
const stopSequenceLimit = 4;
const maximumTemperature = 2;

const textPart = z.object({ type: z.literal("text", "only parts of type text are supported"), text: z.string() });
const chatMessage = z.object({
    role: z.enum(["system", "developer", "user", "assistant"]),
    content: z.union([z.string(), z.array(textPart)]),
});

// many clients send default values explicitly, so only values that would change the response are rejected
const makeOptional = <Value extends z.ZodType>(schema: Value): z.ZodOptional<z.ZodNullable<Value>> =>
    schema.nullable().optional();
const emptyList = z.array(z.unknown()).max(0, "is not supported");
const unsupportedFields = {
    n: makeOptional(z.literal(1, "only 1 is supported")),
    best_of: makeOptional(z.literal(1, "only 1 is supported")),
    top_p: makeOptional(z.literal(1, "only 1 is supported")),
    presence_penalty: makeOptional(z.literal(0, "only 0 is supported")),
    frequency_penalty: makeOptional(z.literal(0, "only 0 is supported")),
    echo: makeOptional(z.literal(false, "is not supported")),
    suffix: makeOptional(z.literal("", "is not supported")),
    logprobs: makeOptional(z.union([z.literal(false), z.literal(0)], "is not supported")),
    logit_bias: makeOptional(
        z.record(z.string(), z.unknown()).refine(bias => Object.keys(bias).length === 0, "is not supported"),
    ),
    tools: makeOptional(emptyList),
    functions: makeOptional(emptyList),
    response_format: makeOptional(z.object({ type: z.literal("text", "only text is supported") })),
};

const sharedFields = {
    ...unsupportedFields,
    model: z.string().min(1).max(modelNameLimitCharacters),
    max_tokens: z.int().positive().nullish(),
    temperature: z.number().min(0).max(maximumTemperature).nullish(),
    stop: z.union([z.string(), z.array(z.string()).max(stopSequenceLimit)]).nullish(),
    stream: z.boolean().nullish(),
    stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
};
const chatRequest = z.object({
    ...sharedFields,
    messages: z.array(chatMessage).min(1).max(messageCountLimit),
    max_completion_tokens: z.int().positive().nullish(),
});
const textRequest = z.object({
    ...sharedFields,
    prompt: z.union(
        [z.string(), z.tuple([z.string()])],
        "must be a single string; token lists and batches are not supported",
    ),
});

/**
 * Parses the body of a completion request.
 *
 * @param kind - endpoint that received the request
 * @param body - request body as received
 * @returns the request, or the first error found in it
 */
export function parseModelRequest(kind: CompletionKind, body: Buffer): Result<ModelRequest, ModelRequestError> {
    const value = parseJson(body);
    if (!value.ok) {
        return value;
    }
    switch (kind) {
        case "chat": {
            const parsed = chatRequest.safeParse(value.value);
            return parsed.success ? wrapValue(convertChat(parsed.data)) : wrapError(describeIssue(parsed.error));
        }
        case "text": {
            const parsed = textRequest.safeParse(value.value);
            return parsed.success ? wrapValue(convertText(parsed.data)) : wrapError(describeIssue(parsed.error));
        }
    }
}

/**
 * Lists the texts of a prompt: the contents of a chat's messages, or the single text of a completion.
 *
 * @param prompt - prompt of either kind
 * @returns texts in the order of the prompt
 */
export function listPromptTexts(prompt: Prompt): readonly string[] {
    return prompt.kind === "chat" ? prompt.messages.map(message => message.content) : [prompt.text];
}

function parseJson(body: Buffer): Result<unknown, ModelRequestError> {
    try {
        const value: unknown = JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(body));
        return wrapValue(value);
    }
    catch {
        return wrapError({ message: "The body must be JSON encoded as UTF-8.", parameter: undefined });
    }
}

function convertChat(request: z.infer<typeof chatRequest>): ModelRequest {
    const messages = request.messages.map((message): ChatMessage => ({
        role: message.role,
        content: typeof message.content === "string"
            ? message.content
            : message.content.map(part => part.text).join(""),
    }));
    return {
        ...convertShared(request),
        prompt: { kind: "chat", messages },
        maximumOutputTokens: request.max_completion_tokens ?? request.max_tokens ?? undefined,
    };
}

function convertText(request: z.infer<typeof textRequest>): ModelRequest {
    const text = typeof request.prompt === "string" ? request.prompt : request.prompt[0];
    return {
        ...convertShared(request),
        prompt: { kind: "text", text },
        maximumOutputTokens: request.max_tokens ?? undefined,
    };
}

type SharedRequest = Pick<z.infer<typeof textRequest>, "model" | "temperature" | "stop" | "stream" | "stream_options">;

function convertShared(request: SharedRequest): Omit<ModelRequest, "prompt" | "maximumOutputTokens"> {
    return {
        model: request.model,
        temperature: request.temperature ?? undefined,
        stop: typeof request.stop === "string" ? [request.stop] : request.stop ?? undefined,
        stream: request.stream ?? false,
        includeUsage: request.stream_options?.include_usage ?? false,
    };
}

function describeIssue(error: z.ZodError): ModelRequestError {
    const issue = error.issues[0];
    const parameter = issue?.path.map(String).join(".");
    return {
        message: parameter ? `${parameter}: ${issue?.message}` : issue?.message ?? "The request is malformed.",
        parameter: parameter || undefined,
    };
}
