/**
 * Which services the routes have led a path to, now and under the configurations before: a stream may have begun at any.
 *
 * @packageDocumentation
 */
import { createRouteTable, type RouteTable } from "../serving/routeTable.js";
import type { ServingConfig, ServingRoute } from "../serving/types.js";
import type { Milliseconds } from "../shared/index.js";
import type { StreamPath } from "./types.js";

/** Routes of one instance over time. */
export interface RouteHistory {
    /** Replaces the routes, and returns the services of those that lead elsewhere now. */
    readonly update: (config: Pick<ServingConfig, "routes">, now: Milliseconds) => ReadonlySet<string>;
    /** Lists the services to which any instance may have sent requests for a path at any time since `since`. */
    readonly list: (path: StreamPath, since: Milliseconds) => readonly string[];
    /** Returns the time from which on the routes are known. */
    readonly readStart: () => Milliseconds;
    /** Forgets routes that no stream which began since `since` has used. */
    readonly prune: (since: Milliseconds) => void;
}

interface FormerRoutes {
    readonly table: RouteTable;
    readonly until: Milliseconds;
}

/** Time for which another instance may use the routes of a former configuration. */
const lagMilliseconds = 10_000;
/** Former tables that are kept; with more changes of routes the time from which on they are known is later. */
const maximumFormerRoutes = 16;

/**
 * Creates a history without routes.
 *
 * @param isFromStart - whether there were no routes before, so that the history is complete from the beginning
 * @returns the history
 */
export function createRouteHistory(isFromStart: boolean): RouteHistory {
    let former: readonly FormerRoutes[] = [];
    let present: Routes | undefined;
    let start = Number.POSITIVE_INFINITY;
    return {
        update: ({ routes }, now) => {
            const next = describeRoutes(routes);
            const moved = present ? findMoved(present, next) : new Set<string>();
            if (!present) {
                start = isFromStart ? Number.NEGATIVE_INFINITY : now;
            }
            if (present && moved.size > 0) {
                former = [...former, { table: present.table, until: now }];
            }
            if (former.length > maximumFormerRoutes) {
                start = former[0]!.until;
                former = former.slice(1);
            }
            present = next;
            return moved;
        },
        list: (path, since) => {
            const used = former.filter(({ until }) => until + lagMilliseconds >= since).map(each => each.table);
            const tables = present ? [...used, present.table] : used;
            return [...new Set(tables.flatMap(each => listTargets(each, path)))];
        },
        readStart: () => start,
        prune: since => {
            former = former.filter(({ until }) => until + lagMilliseconds >= since);
        },
    };
}

/** Routes of one configuration. */
interface Routes {
    readonly table: RouteTable;
    /** Services of each host and prefix, as text. */
    readonly targets: ReadonlyMap<string, string>;
}

function describeRoutes(routes: readonly ServingRoute[]): Routes {
    const targets = routes.map(({ host, pathPrefix, targets: [first, ...others] }) =>
        [
            `${host} ${pathPrefix}`,
            others.length === 0 ? first!.service : [first!, ...others].map(({ service }) => service).sort().join(),
        ] as const
    );
    return { table: createRouteTable({ routes }), targets: new Map(targets) };
}

// a prefix that both have with the same services leads where it led; else the route above it may be the other one
function findMoved(before: Routes, after: Routes): ReadonlySet<string> {
    const names = [...before.targets.keys(), ...after.targets.keys()];
    const moved = new Set<string>();
    for (const name of names.filter(each => before.targets.get(each) !== after.targets.get(each))) {
        const separator = name.indexOf(" ");
        const [host, target] = [name.slice(0, separator), name.slice(separator + 1)];
        const [old, next] = [before, after].map(({ table }) => listTargets(table, { host, target }));
        if (old!.join() !== next!.join()) {
            [...old!, ...next!].forEach(service => moved.add(service));
        }
    }
    return moved;
}

function listTargets(table: RouteTable, { host, target }: StreamPath): readonly string[] {
    return [...new Set(table.find(host, target)?.targets.map(({ service }) => service))].sort();
}
