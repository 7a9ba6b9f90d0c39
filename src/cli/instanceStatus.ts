/**
 * The `oriolehatch status` command, which reports the status of instances and the entries of the instance list.
 *
 * @packageDocumentation
 */
import { request } from "undici";
import * as z from "zod";
import { createInstanceListHttpClient, type Listing } from "../backends/index.js";
import type { InstanceStatus } from "../http/index.js";
import { parseCommandArguments, readInstanceAddresses } from "./commandArguments.js";
import { type CliEnvironment, type CommandReport, type ExitCode, exitCodes, UsageError } from "./types.js";

const statusTimeoutMilliseconds = 2_000;
const statusSchema = z.looseObject({
    instance: z.string(),
    ready: z.boolean(),
    reasons: z.array(z.string()),
    appliedOffset: z.number(),
    parts: z.record(z.string(), z.unknown()),
});

/**
 * Fetches the status of an instance over HTTP.
 *
 * @param address - IP and port of the instance for callers
 * @returns the status, or `undefined` when the instance is unreachable or its response is not a valid status
 */
export async function fetchStatus(address: string): Promise<InstanceStatus | undefined> {
    try {
        const response = await request(`http://${address}/status`, {
            headersTimeout: statusTimeoutMilliseconds,
            bodyTimeout: statusTimeoutMilliseconds,
        });
        return statusSchema.parse(await response.body.json());
    }
    catch {
        return undefined;
    }
}

/**
 * Runs `status`: fetches the status of the given instances and reads the instance list where its address is given.
 *
 * @param args - command-line arguments after the command's name
 * @param environment - access to files, output, clock and signals of the process
 * @returns a report with one line per instance and one per entry of the instance list
 */
export async function showStatus(args: readonly string[], environment: CliEnvironment): Promise<CommandReport> {
    const parsed = parseCommandArguments(args, {
        instance: { type: "string", multiple: true },
        "instance-list": { type: "string" },
    }, []);
    const addresses = readInstanceAddresses(parsed, environment);
    const list = parsed.texts.get("instance-list")?.at(-1) ?? environment.variables["ORIOLEHATCH_INSTANCE_LIST"];
    if (addresses.length === 0 && !list) {
        throw new UsageError("--instance or --instance-list is missing");
    }
    const statuses = await Promise.all(
        addresses.map(async address => ({ address, status: await fetchStatus(address) })),
    );
    const listing = list ? await fetchListing(list) : undefined;
    const isListUnreachable = list !== undefined && list !== "" && listing === undefined;
    const lines = [
        ...statuses.map(({ address, status }) => formatStatus(address, status)),
        ...(listing ? formatListing(listing) : []),
        ...(isListUnreachable ? [`instance list ${list}: unreachable`] : []),
    ];
    const isAnyUnreachable = isListUnreachable || statuses.some(entry => entry.status === undefined);
    const isAnyNotReady = statuses.some(entry => entry.status?.ready === false);
    const exitCode: ExitCode = isAnyUnreachable
        ? exitCodes.unreachable
        : isAnyNotReady
        ? exitCodes.refused
        : exitCodes.done;
    return { exitCode, value: { instances: statuses, listing }, text: lines.join("\n") };
}

async function fetchListing(address: string): Promise<Listing | undefined> {
    const client = createInstanceListHttpClient({ address });
    const listing = await client.list();
    await client.close();
    return listing.ok ? listing.value : undefined;
}

function formatStatus(address: string, status: InstanceStatus | undefined): string {
    if (!status) {
        return `${address}: unreachable, or its response is not a valid status`;
    }
    const readiness = status.ready ? "ready" : `not ready (${status.reasons.join(", ")})`;
    return `${address}: ${status.instance} ${readiness}, settings up to offset ${status.appliedOffset}`;
}

function formatListing(listing: Listing): readonly string[] {
    return [...listing.instances, ...listing.backendServers].map(entry =>
        `listed ${entry.kind} ${entry.id} at ${entry.address}, ${entry.failureDomain} in ${entry.region}: ${entry.state}`
    );
}
