/**
 * The plain objects that proto-loader gives for `proto/burdockpass.proto`
 * (keepCase, longs as numbers, defaults filled). Kept by hand beside it.
 */
export interface ProtoTypes {
  ApplyRequest: { document: string; expected_version: number; request_id: string };
  ApplyReply: {
    outcome: "accepted" | "conflict" | "invalid" | "not-leader" | "unknown";
    version: number;
    message: string;
  };
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
    revision: number;
    incarnation: number;
    targets: ProtoTypes["Target"][];
    gone: boolean;
  };
  News: {
    sender: string;
    members: ProtoTypes["Member"][];
    checksum: number;
    config_version: number;
  };
  Members: { members: ProtoTypes["Member"][] };
  Testimony: { observer: string; evidence: ProtoTypes["Evidence"] | null; age_ms: number };
  EvidenceBundle: { sender_address: string; testimonies: ProtoTypes["Testimony"][] };
  RunRequest: {
    key: string;
    target_id: string;
    method: string;
    path: string;
    headers: Record<string, string>;
    body: Buffer;
    deadline: number;
    echo_header: string;
  };
  RunReply: {
    verdict: string;
    status: number;
    reason: string;
    retry_after_s: number;
    outcome: string;
    headers: Record<string, string>;
    body: Buffer;
  };
  Record: {
    state: string;
    attempt: string;
    fingerprint: string;
    deadline: number;
    status: number;
    headers: Record<string, string>;
    body: Buffer;
  };
  KeyedRecord: { key: string; record: ProtoTypes["Record"] | null };
  KeyedRecords: { records: ProtoTypes["KeyedRecord"][] };
  ClaimReply: { granted: boolean; held: ProtoTypes["Record"] | null };
  SettleRequest: { key: string; attempt: string; record: ProtoTypes["Record"] | null };
}
