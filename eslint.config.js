import jsdoc from "eslint-plugin-jsdoc";
import { readFileSync } from "node:fs";
import tseslint from "typescript-eslint";

// the page is the single source: a verb is added there, with its meaning, or not at all
const conventions = readFileSync(new URL("docs/CONVENTIONS.md", import.meta.url), "utf8");
const verbBlock = /```verbs\n([\s\S]*?)```/.exec(conventions);
if (!verbBlock) {
    throw new Error("docs/CONVENTIONS.md has no ```verbs block; restore it, the lint rules read it");
}
const verbs = verbBlock[1].split(/\s+/).filter(Boolean);
const verbPattern = `^(${verbs.join("|")})([A-Z0-9]|$)`;

const functionName = { format: ["camelCase"], custom: { regex: verbPattern, match: true } };

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", "eslint.config.js"] },
    ...tseslint.configs.recommended,
    {
        files: ["src/**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { jsdoc },
        settings: { jsdoc: { mode: "typescript" } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "prefer-const": "error",
            "max-lines": ["error", { max: 450, skipBlankLines: true, skipComments: true }],
            "max-params": ["error", 5],
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined; for JSON use jsonNull of shared/json." },
                {
                    selector: "MemberExpression[property.name='resetAndDestroy']",
                    message: "Use resetSocket of shared/resetSocket, which leaves no descriptor open.",
                },
            ],
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/no-floating-promises": ["error", { ignoreVoid: false }],
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/no-unused-expressions": "off",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "import", format: ["camelCase", "PascalCase"] },
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "function", ...functionName },
                { selector: "variable", types: ["function"], ...functionName },
                { selector: "classMethod", modifiers: ["public"], format: ["camelCase"] },
                {
                    selector: ["objectLiteralProperty", "typeProperty", "objectLiteralMethod", "typeMethod"],
                    format: null,
                },
            ],
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                require: { FunctionDeclaration: true, ClassDeclaration: true },
                contexts: [
                    "TSInterfaceDeclaration",
                    "TSTypeAliasDeclaration",
                    "ExportNamedDeclaration > VariableDeclaration",
                ],
            }],
            "jsdoc/require-param": ["error", { checkDestructured: false }],
            "jsdoc/require-param-description": "error",
            "jsdoc/require-returns": "error",
            "jsdoc/require-returns-description": "error",
            "jsdoc/check-param-names": ["error", { checkDestructured: false }],
            "jsdoc/require-file-overview": ["error", {
                tags: { packageDocumentation: { mustExist: true, initialCommentsOnly: true, preventDuplicates: true } },
            }],
        },
    },
    {
        files: ["src/**/__tests__/**/*.ts"],
        rules: { "jsdoc/require-file-overview": "off", "jsdoc/require-jsdoc": "off", "max-lines": "off" },
    },
);
