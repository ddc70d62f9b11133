import tseslint from "typescript-eslint";

const arrowsOnly = [
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
  { selector: "TSNonNullExpression", message: "No casts, and so no non-null signs." },
];

export default tseslint.config(
  { ignores: ["target/**", "node_modules/**", "src/**/*.cjs"] },
  ...tseslint.configs.recommendedTypeChecked,
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
        ],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      "no-restricted-syntax": ["error", ...arrowsOnly],
      "no-useless-rename": "error",
      "object-shorthand": ["error", "properties"],
      "@typescript-eslint/no-explicit-any": "error",
      "@typescript-eslint/consistent-type-assertions": ["error", { assertionStyle: "never" }],
      "@typescript-eslint/require-await": "off",
      "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
    },
  },
  {
    files: ["src/proxy/**"],
    rules: {
      "no-restricted-imports": [
        "error",
        {
          patterns: [
            {
              group: ["**/consensus/**", "**/storage/**"],
              message: "proxy never imports consensus or storage.",
            },
          ],
        },
      ],
    },
  },
  {
    files: ["src/common/**"],
    rules: {
      "no-restricted-imports": [
        "error",
        {
          patterns: [
            {
              group: [
                "**/consensus/**",
                "**/storage/**",
                "**/proxy/**",
                "**/membership/**",
                "**/transport/**",
                "**/health/**",
              ],
              message: "common imports nothing of the other layers.",
            },
          ],
        },
      ],
    },
  },
);
