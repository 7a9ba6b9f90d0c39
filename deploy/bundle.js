// Bundles the daemon for the users' platform into one file: a process that starts reads and compiles half as much code as
// from separate files, and all instances may have to start at once.
import { build } from "esbuild";
import { resolve } from "node:path";

const outfile = process.argv[2] ?? "target/platform/main.js";

// packages in the CommonJS form need a `require`
const requireBanner = [
    'import { createRequire as createBundleRequire } from "node:module";',
    "const require = createBundleRequire(import.meta.url);",
].join("\n");

const assertionFile = resolve("deploy/assertion.cjs");
// undici checks with assertions what it is sent; for the message of one that fails, the runtime's own reads and parses the
// source, which takes seconds in a bundle
const ownAssertion = {
    name: "own assertion",
    setup({ onResolve }) {
        onResolve(
            { filter: /^(node:)?assert$/ },
            ({ importer }) => /[\\/]node_modules[\\/]undici[\\/]/.test(importer) ? { path: assertionFile } : undefined,
        );
    },
};

await build({
    entryPoints: ["src/platform/main.ts"],
    outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    alias: { undici: "./deploy/httpClient.js" },
    format: "esm",
    // names stay, for stack traces
    minifyWhitespace: true,
    minifySyntax: true,
    // the runtime prints the source line before the stack of an error that ends the process
    lineLimit: 500,
    plugins: [ownAssertion],
    banner: { js: requireBanner },
    logLevel: "warning",
});
