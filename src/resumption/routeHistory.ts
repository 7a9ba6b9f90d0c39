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
    let routes: readonly ServingRoute[] = [];
    let table: RouteTable | undefined;
    let start = Number.POSITIVE_INFINITY;
    return {
        update: (config, now) => {
            const next = createRouteTable({ routes: config.routes });
            const moved = table
                ? findMoved({ table, routes }, { table: next, routes: config.routes })
                : new Set<string>();
            if (!table) {
                start = isFromStart ? Number.NEGATIVE_INFINITY : now;
            }
            if (table && moved.size > 0) {
                former = [...former, { table, until: now }];
            }
            if (former.length > maximumFormerRoutes) {
                start = former[0]!.until;
                former = former.slice(1);
            }
            table = next;
            routes = config.routes;
            return moved;
        },
        list: (path, since) => {
            const used = former.filter(({ until }) => until + lagMilliseconds >= since).map(each => each.table);
            const tables = table ? [...used, table] : used;
            return [...new Set(tables.flatMap(each => listTargets(each, path)))];
        },
        readStart: () => start,
        prune: since => {
            former = former.filter(({ until }) => until + lagMilliseconds >= since);
        },
    };
}

interface Routes {
    readonly table: RouteTable;
    readonly routes: readonly ServingRoute[];
}

// a path whose longest prefix is one of either table is led as that prefix is
function findMoved(before: Routes, after: Routes): ReadonlySet<string> {
    const moved = new Set<string>();
    for (const { host, pathPrefix: target } of [...before.routes, ...after.routes]) {
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
