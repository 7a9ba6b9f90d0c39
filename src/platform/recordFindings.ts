/**
 * Finds entries of the platform's configuration record that can never match, and limits that contradict each other.
 *
 * @packageDocumentation
 */
import type { ConfigurationFinding } from "../config/index.js";
import { type ConfigurationRecord, isAccountName } from "./operatorRecords.js";

type Route = ConfigurationRecord["routes"][number];
type Account = NonNullable<ConfigurationRecord["tenants"]>[number];

/**
 * Lists the findings of a record that passed its schema.
 *
 * @param record - the record, with the names of the wire
 * @returns findings in the order of the record
 */
export function listRecordFindings(record: ConfigurationRecord): readonly ConfigurationFinding[] {
    const services = new Set(record.services.map(({ name }) => name));
    return [
        ...record.routes.flatMap((route, index) => [
            ...checkMatch(record.routes, route, index),
            ...checkTargets(services, route, index),
            ...checkTimes(route, index),
        ]),
        ...(record.tenants ?? []).flatMap((account, index) => [
            ...checkKeys(record.tenants ?? [], account, index),
            ...checkQuota(account, index),
        ]),
    ];
}

function checkMatch(routes: readonly Route[], route: Route, index: number): readonly ConfigurationFinding[] {
    const isSame = (other: Route): boolean =>
        other.host.toLowerCase() === route.host.toLowerCase() && other.path_prefix === route.path_prefix;
    const later = routes.slice(index + 1).find(isSame);
    const findings: ConfigurationFinding[] = [];
    if (later) {
        findings.push({
            path: ["routes", index],
            message:
                `the route ${route.name} never matches: ${later.name} has the same host and prefix, and the later one is used`,
            remedy: "remove one of the two, or change its prefix",
        });
    }
    if (!route.path_prefix.endsWith("/")) {
        findings.push({
            path: ["routes", index, "path_prefix"],
            message: `the route ${route.name} never matches: prefixes are compared up to a slash`,
            remedy: `write ${route.path_prefix}/`,
        });
    }
    return findings;
}

function checkTargets(services: ReadonlySet<string>, route: Route, index: number): readonly ConfigurationFinding[] {
    const split = route.split?.map(({ service, weight }, place) => ({
        service,
        weight,
        path: ["routes", index, "split", place, "service"],
    }));
    const single = route.service === undefined
        ? []
        : [{ service: route.service, weight: 1, path: ["routes", index, "service"] }];
    const targets = split ?? single;
    const used = targets.filter(({ weight }) => weight > 0);
    return [
        ...used.filter(({ service }) => !services.has(service)).map(({ service, path }) => ({
            path,
            message: `${service} is not a service of this configuration`,
            remedy: "add the service, or name another one",
        })),
        ...(used.length > 0 ? [] : [{
            path: ["routes", index],
            message: `the route ${route.name} has no target with a weight above 0, and is left out`,
            remedy: "give service, or split with a weight above 0",
        }]),
    ];
}

function checkTimes(route: Route, index: number): readonly ConfigurationFinding[] {
    return route.timeout_ms < route.target_latency_ms
        ? [{
            path: ["routes", index, "timeout_ms"],
            message: `timeout_ms ${route.timeout_ms} is below target_latency_ms ${route.target_latency_ms}`,
            remedy: "raise the time-out, or lower the objective",
        }]
        : [];
}

function checkKeys(accounts: readonly Account[], account: Account, index: number): readonly ConfigurationFinding[] {
    const findings: ConfigurationFinding[] = [];
    if (account.api_keys.length === 0) {
        findings.push({
            path: ["tenants", index],
            message: `the account ${account.name} has no key, so that no request belongs to it`,
            remedy: "add a key to api_keys, or remove the account",
        });
    }
    if (!isAccountName(account.name)) {
        findings.push({
            path: ["tenants", index, "name"],
            message: "the account is left out: its name can't be sent in a header",
            remedy: "use 1 to 1024 characters without control characters",
        });
    }
    account.api_keys.forEach((key, place) => {
        const other = accounts.slice(index + 1).find(({ api_keys: keys }) => keys.includes(key));
        if (other) {
            findings.push({
                path: ["tenants", index, "api_keys", place],
                message: `the key is also one of the account ${other.name}`,
                remedy: "give each account keys of its own",
            });
        }
    });
    return findings;
}

function checkQuota(account: Account, index: number): readonly ConfigurationFinding[] {
    const request = account.unit === "tokens" ? account.plain_tokens : 1;
    return account.rate_per_s > 0 && account.burst < request
        ? [{
            path: ["tenants", index, "burst"],
            message: `burst ${account.burst} is below one request, ${request}`,
            remedy: `raise burst to ${request} at least`,
        }]
        : [];
}
