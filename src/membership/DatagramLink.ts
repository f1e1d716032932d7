import { createSocket, type Socket } from "node:dgram";
import { RequestIds } from "../common/ids/RequestIds.ts";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";
import type { Clock } from "../common/lifecycle/Clock.ts";
import type { Timer } from "../common/lifecycle/Timer.ts";
import { datagramCodec } from "../common/rpc/datagramCodec.ts";
import type { MessageSizeListener } from "../common/rpc/MessageSizeListener.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import { RecentReplies } from "./RecentReplies.ts";

type GossipMessage = ProtoTypes["News"];
type Datagram = ProtoTypes["Datagram"];
type GateMessage = ProtoTypes["GateMessage"];
type AdmissionAsk = ProtoTypes["AdmissionAsk"];
type AdmissionReply = ProtoTypes["AdmissionReply"];
type LeaseAsk = ProtoTypes["LeaseAsk"];
type Lease = ProtoTypes["Lease"];
type CreditAsk = ProtoTypes["CreditAsk"];
type Credit = ProtoTypes["Credit"];
type DepartureAsk = ProtoTypes["DepartureAsk"];
type DepartureReply = ProtoTypes["DepartureReply"];

/** A request without a reply is resent once after this long, ms, since datagrams get lost. */
const RESEND_AFTER_MS = 120;

/** Time after which a probe has failed, ms; a round trip between zones takes 3 ms. */
const PROBE_TIMEOUT_MS = 400;

/** Timeout of an indirect probe, ms: it takes two hops, and the helper may have to resend its own probe. */
const INDIRECT_PROBE_TIMEOUT_MS = 700;

/** Timeout of a request for a confirmation or a credit, ms; the sender asks other members meanwhile. */
const ADMISSION_TIMEOUT_MS = 300;

/** Timeout of a request for departures, ms: longer than a control replica's disk usually takes to store some. */
const DEPARTURE_TIMEOUT_MS = 400;

/** Handlers for the requests and messages of other members. */
export interface DatagramHandlers {
  /** Handles a probe from a member at `from`, and the gossip that it carries; returns the reply. */
  onProbe(gossip: GossipMessage, from: string): GossipMessage;
  /** Returns the entries in which the local view differs from the view with these digests. */
  onCompare(digests: readonly number[]): GossipMessage;
  /** Probes the member at `address` on behalf of another member; rejects when it does not reply. */
  onProbeFor(address: string): Promise<void>;
  /** Handles a message between a gate and a sidecar that requests slots from it; absent where there is no gate. */
  onGate?(message: GateMessage, from: string): void;
  /** Replies to a request for a confirmation of the document or for a credit. */
  onAdmissionAsk?(ask: AdmissionAsk): AdmissionReply;
  /** Takes back a credit that was not used. */
  onCreditReturned?(workspace: string): void;
  /** Replies to a request for a lease of a quota's share. */
  onLeaseAsk?(ask: LeaseAsk): Lease;
  /** Takes back a share whose lease was released. */
  onLeaseReleased?(ask: LeaseAsk): void;
  /** Replies to a request for a credit from a quota holder. */
  onCreditAsk?(ask: CreditAsk): Promise<Credit>;
  /** Takes back a credit of a quota holder that was not used. */
  onLeasedCreditReturned?(ask: CreditAsk): void;
  /** Stores departures, and replies with all of that sidecar once they are on disk; rejects if they can't be stored. */
  onDepartureAsk?(ask: DepartureAsk): Promise<DepartureReply>;
}

/** A request that waits for its reply. */
interface PendingRequest {
  readonly complete: (message: Datagram) => void;
  readonly fail: (err: Error) => void;
  readonly timers: readonly Timer[];
}

const EMPTY_DATAGRAM: Omit<Datagram, "id"> = {
  probe: null,
  answer: null,
  probe_for: "",
  reached: false,
  compare: null,
  gate: null,
  admission_ask: null,
  admission: null,
  lease_ask: null,
  lease: null,
  credit_ask: null,
  credit: null,
  departure_ask: null,
  departures: null,
};

/**
 * Sends and receives the fleet's small messages that may be lost as UDP datagrams: those of the membership
 * protocol, and those between gates and the sidecars that request slots from them. A datagram takes a ninth
 * of the processor time of a gRPC call. It also needs no connection, which could hang after a network
 * partition; a probe over a hung connection would not show whether the member is reachable.
 */
export class DatagramLink implements IDisposable {
  readonly #socket: Socket = createSocket("udp4");
  readonly #clock: Clock;
  readonly #noteBytes: MessageSizeListener;
  readonly #pending = new Map<number, PendingRequest>();
  #handlers: DatagramHandlers | undefined;
  readonly #recentReplies: RecentReplies;
  readonly #ids = new RequestIds();
  #closed = false;

  /** @param noteBytes called with the kind, size and other end of every datagram, sent or received */
  constructor(clock: Clock, noteBytes: MessageSizeListener) {
    this.#clock = clock;
    this.#noteBytes = noteBytes;
    this.#recentReplies = new RecentReplies(clock);
  }

  /** Binds the socket to `hostPort` and passes incoming messages to `handlers`. */
  async listen(hostPort: string, handlers: DatagramHandlers): Promise<void> {
    this.#handlers = handlers;
    this.#socket.on("message", (bytes, from) => {
      this.#receive(bytes, `${from.address}:${from.port}`);
    });
    // Refused and unreachable destinations are reported as socket errors. They need no handling here:
    // the request gets no reply and times out.
    this.#socket.on("error", () => undefined);
    const [host, port] = splitHostPort(hostPort);
    await new Promise<void>((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, () => {
        this.#socket.off("error", reject);
        resolve();
      });
    });
  }

  /** Probes the member at `address`; rejects when it does not reply in time. */
  async probe(address: string, gossip: GossipMessage): Promise<GossipMessage> {
    return gossipOf(
      await this.#request(address, { ...EMPTY_DATAGRAM, probe: gossip }, PROBE_TIMEOUT_MS),
    );
  }

  /** Asks the member at `address` for the entries that differ from these digests; rejects when it does not reply in time. */
  async compare(address: string, digests: readonly number[]): Promise<GossipMessage> {
    const compare = { digests: [...digests] };
    return gossipOf(await this.#request(address, { ...EMPTY_DATAGRAM, compare }, PROBE_TIMEOUT_MS));
  }

  /** Asks the member at `address` to probe the member at `target`; rejects unless both reply in time. */
  async probeFor(address: string, target: string): Promise<void> {
    await this.#request(
      address,
      { ...EMPTY_DATAGRAM, probe_for: target },
      INDIRECT_PROBE_TIMEOUT_MS,
    );
  }

  /** Sends a message to a gate, or to a sidecar that requested a slot; it may get lost without notice. */
  sendGateMessage(address: string, gate: GateMessage): void {
    this.#send(datagramCodec.encode({ ...EMPTY_DATAGRAM, id: 0, gate }), address, "GateDatagram");
  }

  /** Asks the member at `address` for a confirmation of the document or a credit; rejects when it does not reply in time. */
  async askAdmission(
    address: string,
    workspace: string,
    canLease = false,
  ): Promise<AdmissionReply> {
    const admission_ask = { workspace, returned: false, can_lease: canLease };
    const message = { ...EMPTY_DATAGRAM, admission_ask };
    const { admission } = await this.#request(address, message, ADMISSION_TIMEOUT_MS);
    if (!admission) {
      throw new Error("reply without an admission");
    }
    return admission;
  }

  /** Returns a credit of `workspace` that was not used; the message may get lost without notice. */
  returnCredit(address: string, workspace: string): void {
    const admission_ask = { workspace, returned: true, can_lease: false };
    this.#send(datagramCodec.encode({ ...EMPTY_DATAGRAM, id: 0, admission_ask }), address);
  }

  /** Asks the control voter at `address` for a lease of its share; rejects when it does not reply in time. */
  async askLease(address: string, lease_ask: LeaseAsk): Promise<Lease> {
    const message = { ...EMPTY_DATAGRAM, lease_ask };
    const { lease } = await this.#request(address, message, ADMISSION_TIMEOUT_MS);
    if (!lease) {
      throw new Error("reply without a lease");
    }
    return lease;
  }

  /** Releases a lease; the message may get lost without notice. */
  releaseLease(address: string, lease_ask: LeaseAsk): void {
    this.#send(datagramCodec.encode({ ...EMPTY_DATAGRAM, id: 0, lease_ask }), address);
  }

  /** Asks the quota holder at `address` for a credit; rejects when it does not reply in time. */
  async askCredit(address: string, workspace: string): Promise<Credit> {
    const message = { ...EMPTY_DATAGRAM, credit_ask: { workspace, returned: "" } };
    const { credit } = await this.#request(address, message, ADMISSION_TIMEOUT_MS);
    if (!credit) {
      throw new Error("reply without a credit");
    }
    return credit;
  }

  /** Returns a credit of the quota holder at `address`; the message may get lost without notice. */
  returnLeasedCredit(address: string, workspace: string, returned: string): void {
    const credit_ask = { workspace, returned };
    this.#send(datagramCodec.encode({ ...EMPTY_DATAGRAM, id: 0, credit_ask }), address);
  }

  /** Stores departures at the control replica at `address`, and asks for those that it has; rejects when it does not reply in time. */
  async askDepartures(address: string, departure_ask: DepartureAsk): Promise<DepartureReply> {
    const message = { ...EMPTY_DATAGRAM, departure_ask };
    const { departures } = await this.#request(address, message, DEPARTURE_TIMEOUT_MS);
    if (!departures) {
      throw new Error("reply without departures");
    }
    return departures;
  }

  /** Closes the socket; pending and later requests are rejected. */
  dispose(): void {
    if (this.#closed) {
      return;
    }
    this.#closed = true;
    this.#socket.close();
    for (const request of this.#pending.values()) {
      request.fail(new Error("datagram link was closed before the reply arrived"));
    }
  }

  #request(address: string, message: Omit<Datagram, "id">, timeoutMs: number): Promise<Datagram> {
    if (this.#closed) {
      return Promise.reject(new Error("datagram link is closed"));
    }
    const id = this.#ids.next();
    const bytes = datagramCodec.encode({ id, ...message });
    return new Promise((resolve, reject) => {
      const cleanUp = () => {
        this.#pending.get(id)?.timers.forEach((t) => {
          t.cancel();
        });
        this.#pending.delete(id);
      };
      const resend = this.#clock.after(RESEND_AFTER_MS, () => {
        this.#send(bytes, address);
      });
      const fail = (err: Error) => {
        cleanUp();
        reject(err);
      };
      const timeout = this.#clock.timeout(timeoutMs, () => {
        fail(new Error(`${address} did not reply in time`));
      });
      const complete = (reply: Datagram) => {
        cleanUp();
        resolve(reply);
      };
      this.#pending.set(id, { complete, fail, timers: [resend, timeout] });
      this.#send(bytes, address);
    });
  }

  #receive(bytes: Buffer, from: string): void {
    const message = datagramCodec.decode(bytes);
    this.#noteBytes(message?.gate ? "GateDatagram" : "Datagram", bytes.length, from);
    if (!message) {
      return; // Not a datagram of this protocol.
    }
    const { id, answer, reached, gate, admission, lease, credit, departures } = message;
    const { admission_ask: ask, lease_ask: leaseAsk, credit_ask: creditAsk } = message;
    if (gate) {
      this.#handlers?.onGate?.(gate, from);
    } else if (ask?.returned) {
      this.#handlers?.onCreditReturned?.(ask.workspace);
    } else if (leaseAsk?.released) {
      this.#handlers?.onLeaseReleased?.(leaseAsk);
    } else if (creditAsk && creditAsk.returned !== "") {
      this.#handlers?.onLeasedCreditReturned?.(creditAsk);
    } else if (answer || reached || admission || lease || credit || departures) {
      this.#pending.get(id)?.complete(message);
    } else {
      this.#receiveRequest(message, from);
    }
  }

  /** Handles a request of another member; one that was resent gets the reply that the first one got. */
  #receiveRequest(request: Datagram, from: string): void {
    const { id } = request;
    const known = this.#recentReplies.begin(from, id);
    if (!known) {
      this.#handle(request, from);
    } else if (known.reply) {
      this.#send(known.reply, from);
    }
  }

  #handle(request: Datagram, from: string): void {
    const { id, probe, probe_for: target, compare, admission_ask: ask } = request;
    if (probe && this.#handlers) {
      this.#reply(from, { id, answer: this.#handlers.onProbe(probe, from) });
    } else if (compare && this.#handlers) {
      this.#reply(from, { id, answer: this.#handlers.onCompare(compare.digests) });
    } else if (ask) {
      const admission = this.#handlers?.onAdmissionAsk?.(ask);
      if (admission) {
        this.#reply(from, { id, admission });
      }
    } else if (request.lease_ask ?? request.credit_ask) {
      this.#handleQuota(request, from);
    } else if (request.departure_ask) {
      this.#handlers?.onDepartureAsk?.(request.departure_ask).then(
        (departures) => {
          this.#reply(from, { id, departures });
        },
        () => undefined, // No reply is sent, so the requester asks again.
      );
    } else if (target !== "") {
      this.#handlers?.onProbeFor(target).then(
        () => {
          this.#reply(from, { id, reached: true });
        },
        () => undefined, // No reply is sent, so the indirect probe of the requester times out.
      );
    }
  }

  #handleQuota({ id, lease_ask: leaseAsk, credit_ask: creditAsk }: Datagram, from: string): void {
    const lease = leaseAsk && this.#handlers?.onLeaseAsk?.(leaseAsk);
    if (lease) {
      this.#reply(from, { id, lease });
    }
    const credit = creditAsk && this.#handlers?.onCreditAsk?.(creditAsk);
    credit?.then(
      (reply) => {
        this.#reply(from, { id, credit: reply });
      },
      () => undefined, // No reply is sent, so the requester asks the next sidecar.
    );
  }

  #reply(to: string, reply: Pick<Datagram, "id"> & Partial<Datagram>): void {
    const bytes = datagramCodec.encode({ ...EMPTY_DATAGRAM, ...reply });
    this.#recentReplies.complete(to, reply.id, bytes);
    this.#send(bytes, to);
  }

  #send(bytes: Buffer, address: string, kind = "Datagram"): void {
    if (this.#closed) {
      return; // Sending on a closed socket throws; a message lost at shutdown does no harm.
    }
    this.#noteBytes(kind, bytes.length, address);
    const [host, port] = splitHostPort(address);
    this.#socket.send(bytes, port, host, () => undefined);
  }
}

function gossipOf({ answer }: Datagram): GossipMessage {
  if (!answer) {
    throw new Error("reply without gossip");
  }
  return answer;
}

function splitHostPort(hostPort: string): [string, number] {
  const at = hostPort.lastIndexOf(":");
  return [hostPort.slice(0, at), Number(hostPort.slice(at + 1))];
}
