import { expect } from "chai";
import type { ServingRoute } from "../../serving/types.js";
import { createRouteHistory } from "../routeHistory.js";

const path = { host: "a.example", target: "/draft/1" };

function createConfiguration(...routes: readonly (readonly [prefix: string, ...services: readonly string[]])[]) {
    return {
        routes: routes.map(([pathPrefix, ...services]) =>
            ({
                host: path.host,
                pathPrefix,
                targets: services.map(service => ({ service, weight: 1 })),
            }) as unknown as ServingRoute
        ),
    };
}

describe("history of routes", () => {
    // guards against a service that is forgotten while streams that began there may return, or kept for good
    it("names the services that a path has had for as long as a stream may be older than the change", () => {
        const history = createRouteHistory(true);
        expect([...history.update(createConfiguration(["/", "blue"]), 1_000)]).to.deep.equal([]);
        expect([...history.update(createConfiguration(["/", "green"]), 5_000)]).to.have.members(["blue", "green"]);
        expect(history.list(path, 4_000)).to.have.members(["blue", "green"]);
        // another instance may have learned of the change later
        expect(history.list(path, 14_000)).to.have.members(["blue", "green"]);
        expect(history.list(path, 16_000)).to.deep.equal(["green"]);
        expect(history.readStart()).to.equal(Number.NEGATIVE_INFINITY);
    });

    // guards against a part of a route's paths that gets a route of its own, which leads elsewhere
    it("heeds routes that are added or removed below another one, and no other changes", () => {
        const history = createRouteHistory(false);
        history.update(createConfiguration(["/", "blue"]), 1_000);
        expect(history.readStart()).to.equal(1_000);
        const added = history.update(createConfiguration(["/", "blue"], ["/draft/", "red"]), 2_000);
        expect([...added]).to.have.members(["blue", "red"]);
        expect(history.list(path, 0)).to.have.members(["blue", "red"]);
        expect(history.list({ ...path, target: "/other/1" }, 0)).to.deep.equal(["blue"]);
        const same = history.update(
            createConfiguration(["/draft/", "red"], ["/", "blue"], ["/draft/a/", "red"]),
            3_000,
        );
        expect(same.size).to.equal(0);
        expect([...history.update(createConfiguration(["/", "blue"]), 4_000)]).to.have.members(["blue", "red"]);
    });

    // guards against memory that grows with each change, and against what is forgotten for want of room taken for nothing
    it("keeps a bounded number of former routes, and says from which time on they are known", () => {
        const history = createRouteHistory(true);
        for (let change = 0; change <= 20; change++) {
            history.update(createConfiguration(["/", `s${change}`]), change * 10);
        }
        expect(history.list(path, 0)).to.have.length(17);
        expect(history.readStart()).to.equal(40);
        history.prune(1_000_000);
        expect(history.list(path, 0)).to.deep.equal(["s20"]);
    });
});
