import { expect } from "chai";
import { createServer } from "node:net";
import { buildDeliveredProgram, createMachine } from "./delivered/deliveredProgram.js";

const endLimitMilliseconds = 15_000;
const pollMilliseconds = 50;

describe("delivered program that ends by itself", function() {
    this.timeout(60_000);

    // guards against an end of which the log tells neither the error nor the calls that led to it
    it("says why in one line of its log", async () => {
        const program = buildDeliveredProgram();
        const machine = await createMachine(program, 1, "127.0.0.1:9");
        const occupant = createServer();
        await new Promise<void>(resolve => occupant.listen(machine.clientPort, machine.host, resolve));
        try {
            machine.start(true);
            const until = performance.now() + endLimitMilliseconds;
            while (machine.countEnds() === 0 && performance.now() < until) {
                await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
            }
            const line = machine.readOutput().split("\n").find(each => each.includes('"process ends"'));
            expect(line, machine.readOutput().slice(-2_000)).to.contain("EADDRINUSE");
            const { origin, calls } = JSON.parse(line!) as { readonly origin: string; readonly calls: unknown; };
            expect(origin).to.be.oneOf(["uncaughtException", "unhandledRejection"]);
            expect(calls).to.be.an("array");
        }
        finally {
            await machine.kill();
            await new Promise(resolve => occupant.close(resolve));
            program.remove();
        }
    });
});
