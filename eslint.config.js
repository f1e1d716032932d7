import eslint from "@eslint/js";
import tseslint from "typescript-eslint";
import prettier from "eslint-config-prettier";

/** Folders of src/ by layer, lowest first; each may import only from the layers below its own. */
const LAYERS = [
  ["common"],
  ["membership"],
  ["control", "sidecar", "standin", "launcher"],
  ["daemon", "cli"],
];

/** Names defined by the users' platform, as a selector pattern; only platform/ may use them. */
const PLATFORM_NAMES =
  "/^x-(attempt-id|deadline-ms|expect-instance|instance-id|caller-service|response-signature|not-executed)$|^server-(limit|leaving)$|^\\u002fburdockpass\\u002f(config|instances|readyz)|^BURDOCKPASS_CONFIG$/";

const layerRules = LAYERS.flatMap((layer, n) => {
  const above = [...LAYERS.slice(n).flat(), "platform"];
  return layer.map((name) => ({
    files: [`src/${name}/**/*.ts`],
    ignores: ["**/*.test.ts"],
    rules: {
      "no-restricted-imports": [
        "error",
        {
          patterns: [
            {
              regex: `^(\\.\\./)+(${above.filter((other) => other !== name).join("|")})/`,
              message: `src/${name} may import only from the layers below it`,
            },
          ],
        },
      ],
    },
  }));
});

export default tseslint.config(
  { ignores: ["node_modules/", "bin/", "eslint.config.js", "tmp/", "target/"] },
  eslint.configs.recommended,
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true }],
    },
  },
  ...layerRules,
  {
    files: ["src/**/*.ts"],
    rules: {
      "no-restricted-syntax": [
        "error",
        {
          selector: `Literal[value=${PLATFORM_NAMES}]`,
          message: "the platform's names are known in platform/ alone",
        },
      ],
    },
  },
  prettier,
);
