import { status, type ServiceError } from "@grpc/grpc-js";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "./ForwardResult.ts";
import type { OutgoingRequest } from "./OutgoingRequest.ts";
import type { PeerClient } from "../membership/PeerClient.ts";
import { RETRY_AFTER_S } from "../routing/RETRY_AFTER_S.ts";
import { runWire } from "./runWire.ts";
import type { TargetInfo } from "../membership/TargetInfo.ts";

/** The peer answers by the request's deadline; its answer may take this much longer to come, ms. */
const ANSWER_SLACK_MS = 200;

/** How grpc-js words a call that failed before any connection was up, so nothing was sent. */
const NOT_CONNECTED = "No connection established";

/** Has a non-idempotent request run at most once by the sidecar beside `target`; always resolves. */
export function sendOnce(
  client: PeerClient,
  key: string,
  target: TargetInfo,
  req: OutgoingRequest,
): Promise<ForwardResult> {
  const message = {
    key,
    target_id: target.id,
    method: req.method,
    path: req.path,
    headers: req.headers,
    body: req.body ?? Buffer.alloc(0),
    deadline: req.deadline,
    echo_header: req.echoHeader ?? "",
  };
  return new Promise((resolve) => {
    client.Run(message, { deadline: req.deadline + ANSWER_SLACK_MS }, (err, res) => {
      resolve(res ? runWire.decode(res, target) : failed(err, target));
    });
  });
}

function failed(err: ServiceError | null, target: TargetInfo): ForwardResult {
  const reason = `sidecar beside the target: ${err?.details ?? "no answer"}`;
  if (err?.code === status.UNAVAILABLE && err.details.includes(NOT_CONNECTED)) {
    return {
      verdict: { kind: "not-run", reason, retryAfterS: RETRY_AFTER_S },
      outcome: AttemptOutcome.NoAnswer,
    };
  }
  // It may be running there still; a resend with the same key will find out.
  return {
    verdict: { kind: "may-have-run", target: target.id, reason, retryAfterS: RETRY_AFTER_S },
    outcome: AttemptOutcome.NoAnswer,
  };
}
