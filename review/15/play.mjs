// Machines are stopped and started in turn while the store does some writes late; then one stands still for a while, and
// later the tenant sends many times its usual.
import { join } from "node:path";
import { pause } from "../lib-3/machine.mjs";
import { playQuota } from "../lib-3/quotaPlay.mjs";
import { runCase } from "../lib-3/runCase.mjs";

const isTrouble = process.env.TROUBLE !== "0";
/** Times in the play, in milliseconds. */
const lost = { at: 6_000, duration: 4_500, share: 0.35 };
const roll = { at: 6_000, gap: 2_000, downtime: 500 };
const freeze = { machine: 0, at: 20_000, duration: 4_000 };
const hot = { at: [32_000], duration: 11_000, factor: 6 };
const playMilliseconds = 46_000;

await runCase(join(import.meta.dirname, "record.txt"), ({ closers, write }) => {
    const writes = { all: 0, late: 0 };
    // of the writes of the time of trouble: those that take an instance out of the list of instances
    const isLate = ({ topic, records = [] }, at) => {
        if (!isTrouble || at < lost.at || at >= lost.at + lost.duration) {
            return false;
        }
        writes.all++;
        const isRemoval = topic?.includes("instances") === true && records.length > 0 &&
            records.every(record => record.length === 1 + record[0]);
        const isChosen = isRemoval && writes.late + 1 <= Math.max(1, writes.all * lost.share);
        writes.late += isChosen ? 1 : 0;
        if (isChosen) {
            write("write lost, done late", { topic, key: records[0].subarray(1).toString() });
        }
        return isChosen;
    };
    const disturb = async (machines, now) => {
        const stopAndStart = async (machine, at) => {
            await pause(at - now());
            write("SIGTERM", { machine: machine.name });
            await machine.kill("SIGTERM");
            await pause(roll.downtime);
            machine.start(false);
            await machine.waitReady();
            write("ready again", { machine: machine.name });
        };
        await Promise.all(machines.map((machine, index) => stopAndStart(machine, roll.at + index * roll.gap)));
        const machine = machines[freeze.machine];
        await pause(freeze.at - now());
        write("stands still", { machine: machine.name });
        machine.send("SIGSTOP");
        await pause(freeze.duration);
        machine.send("SIGCONT");
        write("goes on", { machine: machine.name });
        return { writes };
    };
    return playQuota({ closers, write, machineCount: 3, playMilliseconds, hot, isLate, disturb });
});
