import prettier from "eslint-config-prettier";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

const noCastsAndArrowsOnly = [
  {
    selector: "FunctionDeclaration[generator=false]",
    message: "Use an arrow function; function declarations are allowed only for generators.",
  },
  {
    selector:
      "FunctionExpression[generator=false]:not(MethodDefinition[kind=/^(constructor|get|set)$/] > FunctionExpression)",
    message:
      "Use an arrow function; only generators, constructors and accessors may be ordinary functions.",
  },
  {
    selector: "TSAsExpression:not([typeAnnotation.typeName.name='const'])",
    message: "Type assertions other than `as const` are not allowed.",
  },
  { selector: "TSTypeAssertion", message: "Type assertions are not allowed." },
  { selector: "TSNonNullExpression", message: "Non-null assertions are not allowed." },
];

/** The layers of `src`, lowest first. A folder may import only from folders of lower layers. */
const LAYERS = [
  ["common"],
  ["transport"],
  ["storage", "membership", "quota", "health", "sharding"],
  ["consensus"],
  ["config", "idempotency"],
  ["proxy"],
  ["cache"],
  ["programs"],
];

/**
 * Imports that are forbidden although the order of the layers would allow them: the data plane does
 * not need consensus.
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
                message: `${folder} may import only from the layers below it (see docs/architecture.md).`,
              },
            ],
          },
        ],
      },
    };
  }),
);

/** Limits on size, nesting and complexity for all code that ships. */
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
      // An implementation of an asynchronous interface may have nothing to await.
      "@typescript-eslint/require-await": "off",
      "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
      // Untyped data is read through index signatures, where the bracket notation shows that a
      // field may be missing.
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
        // Property names may be determined by a protocol, and import names by a library.
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
