// Runs the play of a case: ends all that it started, writes the record to the file that the case names and exits with the result.
import { writeFileSync } from "node:fs";

/** Runs `play`, which adds what is to be closed to `closers` and returns the exit code; 2 where it can't run. */
export async function runCase(recordFile, play) {
    const record = [];
    const startedAt = performance.now();
    const write = (event, fields) =>
        record.push(JSON.stringify({ ms: Math.round(performance.now() - startedAt), event, ...fields }));
    const closers = [];
    let result = 2;
    // one that is ended from outside leaves no process behind
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
        process.once(signal, async () => {
            for (const close of closers) {
                await close();
            }
            process.exit(2);
        });
    }
    try {
        result = await play({ closers, write });
    }
    catch (error) {
        process.stderr.write(`${error.stack}\n`);
    }
    finally {
        for (const close of closers) {
            await close();
        }
        writeFileSync(recordFile, `${record.join("\n")}\n`);
    }
    process.stdout.write(`${record.at(-1) ?? ""}\n`);
    process.exit(result);
}
