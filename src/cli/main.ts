#!/usr/bin/env node
/**
 * Entry point of the `oriolehatch` program; connects the commands to the real process.
 *
 * @packageDocumentation
 */
import { readFile, writeFile } from "node:fs/promises";
import { openInstance } from "../instance/index.js";
import { createSystemClock } from "../shared/index.js";
import { runCli } from "./runCli.js";

const shutdownController = new AbortController();
// kept for good: without a listener a second signal ends the process with all its requests
process.on("SIGTERM", () => shutdownController.abort());
process.once("SIGINT", () => shutdownController.abort());

process.exitCode = await runCli(process.argv.slice(2), {
    variables: process.env,
    clock: createSystemClock(),
    readFile: path => readFile(path, "utf8"),
    writeFile,
    writeOutput: text => process.stdout.write(text),
    writeError: text => process.stderr.write(text),
    signal: shutdownController.signal,
    openInstance,
});
