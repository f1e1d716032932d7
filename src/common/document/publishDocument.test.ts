import test from "ava";
import type { DocumentUpdate } from "./DocumentUpdate.ts";
import { EMPTY_DOCUMENT } from "./EMPTY_DOCUMENT.ts";
import { publishDocument } from "./publishDocument.ts";

const DIGEST = "sha256:arnx6499M4j0-dWG9m6Z_VQIDfLERvDlhmiwnAihbdA";
const workspace = { name: "a", apiKeys: ["k1"], weight: 3, annotations: { note: "k1" } };
const published = { name: "a", apiKeys: [DIGEST], weight: 3 };
const noTables = { services: { set: [], drop: [] }, routes: { set: [], drop: [] } };

const cases: readonly { name: string; update: DocumentUpdate; expected: DocumentUpdate }[] = [
  {
    name: "a whole document",
    update: {
      kind: "whole",
      version: 1,
      document: { ...EMPTY_DOCUMENT, workspaces: [workspace] },
    },
    expected: {
      kind: "whole",
      version: 1,
      document: { ...EMPTY_DOCUMENT, workspaces: [published] },
    },
  },
  {
    name: "an edit",
    update: {
      kind: "edit",
      base: 1,
      version: 2,
      edit: { ...noTables, workspaces: { set: [workspace], drop: ["b"] } },
    },
    expected: {
      kind: "edit",
      base: 1,
      version: 2,
      edit: { ...noTables, workspaces: { set: [published], drop: ["b"] } },
    },
  },
  {
    name: "a document that contains digests, unchanged",
    update: {
      kind: "whole",
      version: 1,
      document: { ...EMPTY_DOCUMENT, workspaces: [published] },
    },
    expected: {
      kind: "whole",
      version: 1,
      document: { ...EMPTY_DOCUMENT, workspaces: [published] },
    },
  },
  {
    name: "the removal of all workspaces",
    update: { kind: "edit", base: 1, version: 2, edit: { ...noTables, workspaces: null } },
    expected: { kind: "edit", base: 1, version: 2, edit: { ...noTables, workspaces: null } },
  },
];

for (const { name, update, expected } of cases) {
  test(`publishDocument: sidecars get no API keys: ${name}`, (t) => {
    t.deepEqual(publishDocument(update), expected);
    t.is(publishDocument(update), publishDocument(update), "made once");
  });
}
