/**
 * The plain objects that proto-loader gives for `proto/burdockpass.proto`
 * (keepCase, longs as numbers, defaults filled). Kept by hand beside it.
 */
export interface ProtoTypes {
  ApplyRequest: { document: string; expected_version: number; request_id: string };
  ApplyReply: { outcome: "accepted" | "conflict" | "invalid"; version: number; message: string };
  WatchRequest: { sidecar_id: string; have_version: number };
  ConfigVersion: { version: number; document: string };
  Target: { target_id: string; service: string; url: string; slots: number; state: string };
  Member: {
    sidecar_id: string;
    peer_address: string;
    zone: string;
    heartbeat: number;
    incarnation: number;
    targets: ProtoTypes["Target"][];
  };
  Digest: { members: ProtoTypes["Member"][] };
}
