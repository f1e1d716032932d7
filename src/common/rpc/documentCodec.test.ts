import test from "ava";
import type { DocumentUpdate } from "../document/DocumentUpdate.ts";
import { EMPTY_DOCUMENT } from "../document/EMPTY_DOCUMENT.ts";
import { documentCodec } from "./documentCodec.ts";

const none = { set: [], drop: [] };
const drop = Array.from({ length: 100 }, (_, n) => `route-${n}`);
const edit = { services: none, routes: { set: [], drop } };
const document = { ...EMPTY_DOCUMENT, services: [], workspaces: [] };
const workspaces = drop.map((name) => ({ name, apiKeys: [] }));

const cases: readonly { name: string; update: DocumentUpdate; isPacked: boolean }[] = [
  {
    name: "long document",
    update: { kind: "whole", version: 4, document: { ...document, workspaces } },
    isPacked: true,
  },
  { name: "long edit", update: { kind: "edit", base: 3, version: 4, edit }, isPacked: true },
  {
    name: "short edit",
    update: { kind: "edit", base: 3, version: 4, edit: { services: none, routes: none } },
    isPacked: false,
  },
  // A packed message with base 0 would be read as a document.
  {
    name: "long edit of version 0",
    update: { kind: "edit", base: 0, version: 1, edit },
    isPacked: false,
  },
];

for (const { name, update, isPacked } of cases) {
  test(`document codec: a ${name} is restored from text and from the packed form`, (t) => {
    const message = documentCodec.encode(update, true);
    t.is(message.packed.length > 0, isPacked);
    t.false(documentCodec.isHeartbeat(message));
    t.deepEqual(documentCodec.decode(message), update);
    t.deepEqual(documentCodec.decode(documentCodec.encode(update)), update);
    t.is(documentCodec.encode(update, true), message, "encoded once for all receivers");
  });
}
