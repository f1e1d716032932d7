import * as grpc from "@grpc/grpc-js";
import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import { publishDocument } from "../../common/document/publishDocument.ts";
import { parseOperatorDocument } from "../../common/document/parseOperatorDocument.ts";
import { documentCodec } from "../../common/rpc/documentCodec.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { splitVersion } from "../../common/rpc/splitVersion.ts";
import type { ApplyOutcome } from "./ApplyOutcome.ts";
import type { ControlService } from "./ControlService.ts";
import type { DocumentWatchers } from "./DocumentWatchers.ts";

type WatchCall = grpc.ServerWritableStream<ProtoTypes["WatchRequest"], ProtoTypes["ConfigVersion"]>;

/** gRPC handlers of the Control service, for the CLI and for sidecars that watch the document. */
export function controlHandlers(
  service: ControlService,
  watchers: DocumentWatchers,
): grpc.UntypedServiceImplementation {
  const apply: grpc.handleUnaryCall<ProtoTypes["ApplyRequest"], ProtoTypes["ApplyReply"]> = (
    call,
    cb,
  ) => {
    applyYaml(service, call.request).then(
      (outcome) => {
        const message = outcome.kind === "accepted" ? "" : outcome.message;
        cb(null, { outcome: outcome.kind, version: outcome.version, message });
      },
      (err: unknown) => {
        cb({ code: grpc.status.INTERNAL, details: String(err) });
      },
    );
  };
  const watch = (call: WatchCall): void => {
    // Confirms the watch at once, before there is an update to send.
    call.sendMetadata(new grpc.Metadata());
    const { have_version: version, heartbeats, accepts_packed, versions_only } = call.request;
    const sendHeartbeat = (committed: number, ageMs: number | undefined) => {
      call.write(documentCodec.heartbeat(committed, ageMs));
    };
    const send = (update: DocumentUpdate) => {
      const message = documentCodec.encode(publishDocument(update), accepts_packed);
      const parts = heartbeats ? splitVersion(message) : [message];
      parts.forEach((part) => call.write(part));
    };
    const removeWatcher = watchers.add(version, {
      send: versions_only ? undefined : send,
      sendHeartbeat: heartbeats || versions_only ? sendHeartbeat : undefined,
      end: () => {
        call.end();
      },
    });
    if (!removeWatcher) {
      call.emit("error", { code: grpc.status.UNAVAILABLE, details: "out of touch with a quorum" });
      return;
    }
    call.on("cancelled", removeWatcher);
    call.on("close", removeWatcher);
  };
  const current: grpc.handleUnaryCall<unknown, ProtoTypes["ConfigVersion"]> = (_call, cb) => {
    void service.read().then((state) => {
      if (state) {
        cb(null, documentCodec.encode(publishDocument(state.history.whole)));
      } else {
        const details = `not the leader; leader: ${service.leaderApi ?? "none yet"}`;
        cb({ code: grpc.status.FAILED_PRECONDITION, details });
      }
    });
  };
  return { Apply: apply, Watch: watch, Current: current };
}

async function applyYaml(
  service: ControlService,
  req: ProtoTypes["ApplyRequest"],
): Promise<ApplyOutcome> {
  const parsed = parseOperatorDocument(req.document);
  if (!parsed.ok) {
    const message = parsed.problems
      .map((p) => `line ${p.line} ${p.field}: ${p.message}`)
      .join("; ");
    return { kind: "invalid", version: req.expected_version, message };
  }
  return service.apply({
    kind: "replace",
    orderId: req.request_id,
    base: req.expected_version,
    // Version 0 requests the next number.
    version: req.version > 0 ? req.version : req.expected_version + 1,
    document: parsed.doc,
  });
}
