import tseslint from "typescript-eslint";

/** Aggregates are reached through their index.ts; what stands in another aggregate's _lib stays private. */
const privateFolders = {
  regex: "^(\\.\\./)+(src/)?(?!src/)[a-zA-Z]+/_lib(/|$)",
  message: "import the aggregate's index.js instead of its _lib",
};

export default tseslint.config(
  { ignores: ["build/**", "target/**", "node_modules/**", "tap-snapshots/**", ".tap/**"] },
  {
    files: ["**/*.ts"],
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true }],
      "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
      "no-restricted-imports": ["error", { patterns: [privateFolders] }],
      "max-lines": ["error", { max: 300 }],
      eqeqeq: "error",
      "no-console": "error",
    },
  },
  {
    files: ["**/test.ts"],
    rules: {
      "@typescript-eslint/no-floating-promises": "off",
      "@typescript-eslint/no-non-null-assertion": "off",
      "@typescript-eslint/no-unsafe-assignment": "off",
      "@typescript-eslint/no-unsafe-member-access": "off",
      "@typescript-eslint/require-await": "off",
    },
  },
);
