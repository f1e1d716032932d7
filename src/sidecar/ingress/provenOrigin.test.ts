import test from "ava";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import { RequestOrigin } from "../routing/RequestOrigin.ts";
import { provenOrigin } from "./provenOrigin.ts";

const workspace = WorkspaceName("w");

// Guards against requests with a key that earn no retry budget because they were taken for nested calls.
const cases = [
  { name: "a key", workspace, hasWorkspaces: true, isPublic: false, expected: RequestOrigin.Keyed },
  {
    name: "a key on a public route",
    workspace,
    hasWorkspaces: true,
    isPublic: true,
    expected: RequestOrigin.Keyed,
  },
  {
    name: "no key where callers need one",
    workspace: undefined,
    hasWorkspaces: true,
    isPublic: false,
    expected: RequestOrigin.TargetWithoutKey,
  },
  {
    name: "no key on a public route",
    workspace: undefined,
    hasWorkspaces: true,
    isPublic: true,
    expected: undefined,
  },
  {
    name: "no workspaces",
    workspace: undefined,
    hasWorkspaces: false,
    isPublic: false,
    expected: undefined,
  },
];

for (const { name, expected, isPublic, ...admission } of cases) {
  test(`origin of a request with ${name}`, (t) => {
    t.is(provenOrigin({ ...admission, route: makeRoute({ isPublic }) }), expected);
  });
}
