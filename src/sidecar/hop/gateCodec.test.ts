import test from "ava";
import { idleLoad } from "../../../test/fixtures/FakeHop.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import { gateCodec } from "./gateCodec.ts";

const rates = [
  { perS: undefined, read: undefined },
  { perS: 0, read: 0 },
  { perS: 2.1, read: 2.1 },
  { perS: 1e12, read: 1_000_000 },
];

for (const { perS, read } of rates) {
  test(`gate codec: a limit of ${String(perS)} a second is read as ${String(read)}`, (t) => {
    const request = gateCodec.slotRequest(1, makeSlotRequest({ limitPerS: perS }));
    t.is(gateCodec.readSlotRequest(request)?.limitPerS, read);
    const load = { ...idleLoad, limitPerS: perS, limitWaitMs: perS && 300 };
    const update = gateCodec.readLoadUpdate(gateCodec.loadUpdate(TargetId("t"), load));
    t.is(update?.load.limitPerS, read);
    t.is(update?.load.limitWaitMs, perS && 300);
  });
}

for (const workspace of [undefined, WorkspaceName("lab")]) {
  test(`gate codec: the workspace ${String(workspace)} is read as it was sent`, (t) => {
    const request = gateCodec.slotRequest(1, makeSlotRequest({ workspace }));
    t.is(gateCodec.readSlotRequest(request)?.workspace, workspace);
  });
}
