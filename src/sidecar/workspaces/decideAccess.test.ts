import test from "ava";
import fc from "fast-check";
import { apiKeyDigest } from "../../common/document/apiKeyDigest.ts";
import { decideAccess } from "./decideAccess.ts";
import { readBearerToken } from "./readBearerToken.ts";
import { WorkspaceIndex } from "./WorkspaceIndex.ts";

const workspaces = new WorkspaceIndex([
  { name: "a", apiKeys: ["key-a", "key-a2"] },
  { name: "b", apiKeys: [apiKeyDigest("key-b")] },
]);

interface Case {
  readonly name: string;
  readonly headers: readonly string[];
  readonly isFromTarget?: boolean;
  readonly isPublic?: boolean;
  readonly expected: string;
}

const cases: readonly Case[] = [
  { name: "a key", headers: ["Authorization", "Bearer key-a"], expected: "workspace a" },
  {
    name: "the second key of a workspace, the scheme in another case",
    headers: ["host", "x", "AUTHORIZATION", "bearer  key-a2 "],
    expected: "workspace a",
  },
  {
    name: "a key whose digest is in the document",
    headers: ["authorization", "Bearer key-b"],
    expected: "workspace b",
  },
  {
    name: "a digest from the document in place of its key",
    headers: ["authorization", `Bearer ${apiKeyDigest("key-b")}`],
    expected: "denied: unknown API key",
  },
  { name: "no key", headers: ["host", "x"], expected: "denied: no API key" },
  {
    name: "an unknown key",
    headers: ["authorization", "Bearer key-c"],
    expected: "denied: unknown API key",
  },
  {
    name: "two headers, each with a valid key",
    headers: ["authorization", "Bearer key-a", "authorization", "Bearer key-b"],
    expected: "denied: malformed credentials",
  },
  {
    name: "another scheme",
    headers: ["authorization", "Basic key-a"],
    expected: "denied: malformed credentials",
  },
  {
    name: "a scheme without a token",
    headers: ["authorization", "Bearer"],
    expected: "denied: malformed credentials",
  },
  {
    name: "a token that is too long",
    headers: ["authorization", `Bearer ${"x".repeat(513)}`],
    expected: "denied: malformed credentials",
  },
  {
    name: "a header whose value is the name of the credentials header",
    headers: ["x-note", "authorization", "x", "Bearer key-a"],
    expected: "denied: no API key",
  },
  { name: "no key, on a public route", headers: [], isPublic: true, expected: "open" },
  {
    name: "an unknown key, on a public route",
    headers: ["authorization", "Bearer key-c"],
    isPublic: true,
    expected: "open",
  },
  { name: "no key, from the VM's target", headers: [], isFromTarget: true, expected: "open" },
  {
    name: "an unknown key, from the VM's target",
    headers: ["authorization", "Bearer key-c"],
    isFromTarget: true,
    expected: "denied: unknown API key",
  },
  {
    name: "a claim to be a workspace in a header",
    headers: ["x-burdockpass-workspace", "a", "x-burdockpass-hop-workspace", "a"],
    expected: "denied: no API key",
  },
];

for (const { name, headers, isFromTarget = false, isPublic = false, expected } of cases) {
  test(`access with ${name}: ${expected}`, (t) => {
    const token = readBearerToken(headers);
    const access = decideAccess(workspaces, { isPublic }, { token, isFromTarget });
    const text = {
      open: "open",
      workspace: access.kind === "workspace" ? `workspace ${access.workspace.name}` : "",
      denied: access.kind === "denied" ? `denied: ${access.reason}` : "",
    };
    t.is(text[access.kind], expected);
  });
}

test("access: a document without workspaces admits every request", (t) => {
  const token = readBearerToken(["authorization", "Basic x"]);
  t.is(decideAccess(undefined, undefined, { token, isFromTarget: false }).kind, "open");
});

test("access: arbitrary credentials neither throw nor admit a request", (t) => {
  const value = fc.oneof(
    fc.string({ unit: "binary" }),
    fc.string().map((s) => `Bearer ${s}`),
  );
  fc.assert(
    fc.property(fc.array(value, { maxLength: 3 }), (values) => {
      const token = readBearerToken(values.flatMap((v) => ["authorization", v]));
      const access = decideAccess(workspaces, undefined, { token, isFromTarget: false });
      t.is(access.kind, "denied");
    }),
    { numRuns: 2000, seed: 7 },
  );
});
