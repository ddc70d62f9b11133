import prettier from "eslint-config-prettier";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

const noCastsAndArrowsOnly = [
  {
    selector: "FunctionDeclaration[generator=false]",
    message: "Arrow functions only; generators are the one exception.",
  },
  {
    selector:
      "FunctionExpression[generator=false]:not(MethodDefinition[kind=/^(constructor|get|set)$/] > FunctionExpression)",
    message: "Arrow functions only; generators are the one exception.",
  },
  {
    selector: "TSAsExpression:not([typeAnnotation.typeName.name='const'])",
    message: "No casts.",
  },
  { selector: "TSTypeAssertion", message: "No casts." },
  { selector: "TSNonNullExpression", message: "No casts, and so no non-null assertions." },
];

/** The layers of `src`, lowest first. A folder imports only from folders of lower rows. */
const LAYERS = [
  ["common"],
  ["transport"],
  ["storage", "membership", "quota", "health"],
  ["consensus"],
  ["config", "idempotency"],
  ["proxy"],
  ["cache"],
  ["programs"],
];

/**
 * Imports that the order of the layers would allow and that are wrong all the same: the data plane
 * needs no agreement.
 */
const FORBIDDEN_BESIDES = { proxy: ["consensus", "storage", "config"] };

const importBoundaries = LAYERS.flatMap((folders, level) =>
  folders.map((folder) => {
    const above = [
      ...LAYERS.slice(level).flat(),
      ...(FORBIDDEN_BESIDES[folder] ?? []),
      "main.js",
    ].filter((other) => other !== folder);
    return {
      files: [`src/${folder}/**`],
      rules: {
        "no-restricted-imports": [
          "error",
          {
            patterns: [
              {
                group: above.map((other) => `**/../${other}${other.endsWith(".js") ? "" : "/**"}`),
                message: `${folder} imports only from the layers below it (see docs/architecture.md).`,
              },
            ],
          },
        ],
      },
    };
  }),
);

/** Limits on size and nesting, in all code that ships. */
const sizeLimits = {
  "max-lines": ["error", { max: 400 }],
  "max-lines-per-function": ["error", { max: 60 }],
  "max-depth": ["error", 3],
  complexity: ["error", 12],
  "no-nested-ternary": "error",
};

export default tseslint.config(
  { ignores: ["target/**", "node_modules/**", "src/**/*.cjs"] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        project: [
          "./tsconfig.json",
          "./features/tsconfig.json",
          "./scalability/tsconfig.json",
          "./fuzz/tsconfig.json",
          "./simulator/tsconfig.json",
          "./chaos/tsconfig.json",
          "./soak/tsconfig.json",
        ],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      "no-restricted-syntax": ["error", ...noCastsAndArrowsOnly],
      "no-useless-rename": "error",
      "object-shorthand": ["error", "properties"],
      "@typescript-eslint/no-explicit-any": "error",
      "@typescript-eslint/consistent-type-assertions": ["error", { assertionStyle: "never" }],
      // An interface that others implement may be asynchronous where one implementation has nothing
      // to wait for.
      "@typescript-eslint/require-await": "off",
      "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
      // Untyped data is read by index signature, where a bracket shows that the field may be
      // missing.
      "@typescript-eslint/dot-notation": ["error", { allowIndexSignaturePropertyAccess: true }],
      "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
      "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true }],
      "@typescript-eslint/consistent-type-definitions": "error",
      "@typescript-eslint/no-unnecessary-condition": "error",
      "@typescript-eslint/prefer-optional-chain": "error",
      "@typescript-eslint/prefer-find": "error",
      "@typescript-eslint/prefer-includes": "error",
      "@typescript-eslint/no-misused-spread": "error",
      "@typescript-eslint/no-meaningless-void-operator": "error",
      "@typescript-eslint/no-deprecated": "error",
      "@typescript-eslint/restrict-plus-operands": "error",
      "@typescript-eslint/naming-convention": [
        "error",
        { selector: "default", format: ["camelCase"], leadingUnderscore: "allow" },
        { selector: "variable", format: ["camelCase", "UPPER_CASE"] },
        { selector: "typeLike", format: ["PascalCase"] },
        // Names of fields may be given by a protocol, names of imports by a library.
        {
          selector: ["objectLiteralProperty", "objectLiteralMethod", "typeProperty", "import"],
          format: null,
        },
      ],
    },
  },
  { files: ["src/**"], rules: sizeLimits },
  {
    files: ["src/**"],
    plugins: { jsdoc },
    rules: {
      "jsdoc/require-jsdoc": [
        "error",
        {
          publicOnly: true,
          enableFixer: false,
          require: { FunctionDeclaration: false },
          contexts: [
            "ExportNamedDeclaration > VariableDeclaration",
            "ExportNamedDeclaration > ClassDeclaration",
            "ExportNamedDeclaration > TSInterfaceDeclaration",
            "ExportNamedDeclaration > TSTypeAliasDeclaration",
          ],
        },
      ],
    },
  },
  ...importBoundaries,
  prettier,
);
