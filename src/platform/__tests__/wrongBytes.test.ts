import { expect } from "chai";
import { buildDeliveredProgram } from "./delivered/deliveredProgram.js";
import { wrongBytes } from "./delivered/wrongBytes.js";
import { runWrongByteTraffic } from "./delivered/wrongByteTraffic.js";

/** The rule: half a second after its route's `timeout_ms`, a request has its answer. */
const slackMilliseconds = 500;
const routeTimeoutMilliseconds = 800;
/** The target: no single event keeps an instance from its other work for longer. */
const longestWorkMilliseconds = 50;

describe("delivered program beside servers that hand out wrong bytes", function() {
    this.timeout(150_000);

    // guards against an answer, which is none, whose check makes the process do nothing else for seconds
    it("goes on answering: no question waits 0.5 s, no event takes 50 ms of work, no request is late", async () => {
        const program = buildDeliveredProgram();
        try {
            const { calm, wrong, sentKinds, ends, output } = await runWrongByteTraffic(program, wrongBytes);
            const late = wrong.answered.filter(({ took }) => took > routeTimeoutMilliseconds + slackMilliseconds);
            const seen = `longest standstill ${Math.round(wrong.longest)} ms, ${Math.round(wrong.longestWork)} ms of ` +
                `it work, the latter after "${wrong.during}"; without wrong bytes ${Math.round(calm.longest)} ms and ${
                    Math.round(calm.longestWork)
                } ms; ` +
                `${late.length} of ${wrong.answered.length} requests late`;
            expect([...sentKinds.keys()].sort()).to.deep.equal(Object.keys(wrongBytes).sort());
            expect(ends, output.slice(-3_000)).to.equal(0);
            expect(wrong.longest, seen).to.be.below(slackMilliseconds);
            expect(late, seen).to.have.length(0);
            expect(wrong.longestWork, seen).to.be.below(longestWorkMilliseconds);
        }
        finally {
            program.remove();
        }
    });
});
