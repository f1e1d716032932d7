/**
 * Types of the plain objects that MessageCodec produces for the messages of
 * `proto/burdockpass.proto` (64-bit integers as numbers, defaults filled in).
 * Maintained by hand: update it whenever that file changes.
 */
export interface ProtoTypes {
  ApplyRequest: {
    document: string;
    expected_version: number;
    request_id: string;
    version: number;
  };
  ApplyReply: {
    outcome: "accepted" | "conflict" | "invalid" | "not-leader" | "unknown";
    version: number;
    message: string;
  };
  WatchRequest: {
    sidecar_id: string;
    have_version: number;
    heartbeats: boolean;
    accepts_packed: boolean;
    versions_only: boolean;
  };
  ConfigVersion: {
    version: number;
    document: string;
    base: number;
    edit: string;
    more: boolean;
    age: number;
    packed: Buffer;
  };
  ConfigVersions: { versions: ProtoTypes["ConfigVersion"][] };
  Datagram: {
    id: number;
    probe: ProtoTypes["News"] | null;
    answer: ProtoTypes["News"] | null;
    probe_for: string;
    reached: boolean;
    gate: ProtoTypes["GateMessage"] | null;
    compare: ProtoTypes["Digests"] | null;
    admission_ask: ProtoTypes["AdmissionAsk"] | null;
    admission: ProtoTypes["AdmissionReply"] | null;
    lease_ask: ProtoTypes["LeaseAsk"] | null;
    lease: ProtoTypes["Lease"] | null;
    credit_ask: ProtoTypes["CreditAsk"] | null;
    credit: ProtoTypes["Credit"] | null;
    departure_ask: ProtoTypes["DepartureAsk"] | null;
    departures: ProtoTypes["DepartureReply"] | null;
  };
  DepartureAsk: { sidecar_id: string; departed: ProtoTypes["Departure"][] };
  DepartureReply: {
    replica: string;
    voters: ProtoTypes["DepartureVoter"][];
    next_voters: ProtoTypes["DepartureVoter"][];
    group_index: number;
    complete: boolean;
    departed: ProtoTypes["Departure"][];
  };
  DepartureVoter: { id: string; address: string };
  AdmissionAsk: { workspace: string; returned: boolean; can_lease: boolean };
  LeaseAsk: {
    workspace: string;
    holder: string;
    process: number;
    lease: number;
    in_force: boolean;
    unconfirmed: boolean;
    granted: number;
    refused: number;
    released: boolean;
    level: number;
  };
  Lease: {
    refusal: string;
    lease: number;
    term: number;
    rate: number;
    capacity: number;
    level: number;
    holder: string;
    left: number;
    wanted_by: string;
  };
  CreditAsk: { workspace: string; returned: string };
  Credit: { kind: string; retry_after: number; holder: string; grant: string };
  AdmissionReply: { version: number; age: number; credit: string; retry_after: number };
  Digests: { digests: number[] };
  GateMessage: {
    ask_id: number;
    ask: ProtoTypes["SlotAsk"] | null;
    queued: ProtoTypes["GateLoad"] | null;
    reply: ProtoTypes["SlotReply"] | null;
    withdrawn: boolean;
    news: ProtoTypes["GateNews"] | null;
    loan_ask: ProtoTypes["LoanAsk"] | null;
    loan: ProtoTypes["Loan"] | null;
  };
  LoanAsk: { costs: { service: string; hundredths: number }[]; call: boolean };
  Loan: { given: boolean };
  SlotAsk: {
    attempt: string;
    target: string;
    expendable: boolean;
    pressed: boolean;
    call: boolean;
    priority: number;
    remaining: number;
    objective: number;
    typical: number;
    accepts_risk: number;
    body: number;
    idempotent: boolean;
    unserved: number;
    limit: number;
    workspace: string;
  };
  SlotReply: {
    grant: string;
    reason: string;
    retry_after: number;
    load: ProtoTypes["GateLoad"] | null;
  };
  GateNews: { target: string; load: ProtoTypes["GateLoad"] | null };
  GateLoad: {
    slots: number;
    busy: number;
    queued: number;
    service: number;
    pace: number;
    risk: number;
    suspect: boolean;
    ejected: boolean;
    probe_in: number;
    ends_in: number;
    wants_work: boolean;
    limit: number;
    limit_wait: number;
  };
  Target: {
    target_id: string;
    service: string;
    url: string;
    slots: number;
    state: string;
    health_path: string;
    born: number;
    resumed: number;
  };
  Member: {
    sidecar_id: string;
    peer_address: string;
    zone: string;
    revision: number;
    incarnation: number;
    targets: ProtoTypes["Target"][];
    gone: boolean;
    hop_address: string;
    control: boolean;
    stopping: boolean;
    departed: ProtoTypes["Departure"][];
  };
  Departure: { target_id: string; born: number; sequence: number; left: boolean };
  Predecessor: { incarnation: number; departed: ProtoTypes["Departure"][] };
  News: {
    sender: string;
    members: ProtoTypes["Member"][];
    checksum: number;
    config_version: number;
    known: number[];
    evidence: ProtoTypes["CrashEvidence"][];
    known_evidence: number[];
    predecessor: ProtoTypes["Predecessor"] | null;
    running_ms: number;
  };
  Members: { members: ProtoTypes["Member"][]; evidence: ProtoTypes["CrashEvidence"][] };
  CrashEvidence: {
    fingerprint: Buffer;
    age_ms: number;
    cleared_by: string;
    service: string;
    request: string;
    target: string;
    ran_ms: number;
  };
  Record: {
    state: string;
    attempt: string;
    fingerprint: string;
    remaining_ms: number;
    status: number;
    headers: Record<string, string>;
    body: Buffer;
    target: string;
  };
  KeyedRecord: { key: string; record: ProtoTypes["Record"] | null };
  ClaimRequest: { key: string; record: ProtoTypes["Record"] | null; age_ms: number };
  KeyedRecords: { records: ProtoTypes["KeyedRecord"][] };
  ClaimReply: { granted: boolean; held: ProtoTypes["Record"] | null; refused: boolean };
  SettleRequest: { key: string; attempt: string; record: ProtoTypes["Record"] | null };
}
