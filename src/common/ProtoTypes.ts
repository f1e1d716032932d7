/**
 * The plain objects that proto-loader gives for `proto/burdockpass.proto`
 * (keepCase, longs as numbers, defaults filled). Kept by hand beside it.
 */
export interface ProtoTypes {
  ApplyRequest: { document: string; expected_version: number; request_id: string };
  ApplyReply: { outcome: "accepted" | "conflict" | "invalid"; version: number; message: string };
  WatchRequest: { sidecar_id: string; have_version: number };
  ConfigVersion: { version: number; document: string };
  Target: {
    target_id: string;
    service: string;
    url: string;
    slots: number;
    state: string;
    health_path: string;
    probe_failing: boolean;
  };
  Evidence: {
    target_id: string;
    failure_score: number;
    late_score: number;
    recent_ok: number;
    last_bad_age_ms: number;
  };
  Member: {
    sidecar_id: string;
    peer_address: string;
    zone: string;
    heartbeat: number;
    incarnation: number;
    targets: ProtoTypes["Target"][];
    evidence: ProtoTypes["Evidence"][];
  };
  Digest: { members: ProtoTypes["Member"][] };
}
