import { createSocket, type Socket } from "node:dgram";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";
import type { Clock } from "../common/lifecycle/Clock.ts";
import type { Timer } from "../common/lifecycle/Timer.ts";
import { datagramCodec } from "../common/rpc/datagramCodec.ts";
import type { NoteBytes } from "../common/rpc/NoteBytes.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

type News = ProtoTypes["News"];
type Datagram = ProtoTypes["Datagram"];
type GateMessage = ProtoTypes["GateMessage"];

/** A probe, or its answer, is lost now and then: it is sent a second time after this long, ms. */
const RESEND_MS = 120;

/** A probe not answered by then has failed, ms; across zones an answer takes 3. */
const PROBE_MS = 400;

/** An indirect probe takes two hops, and its helper may have to send twice, ms. */
const INDIRECT_MS = 700;

/** How what other members send is answered. */
export interface DatagramHandlers {
  onProbe(news: News): News;
  /** Tells where the view here differs from the one of which these are digests. */
  onCompare(digests: readonly number[]): News;
  /** Probes the member at `address` for another; rejects when it does not answer. */
  onProbeFor(address: string): Promise<void>;
  /** Takes what is said between gates and those who ask them for slots; left out where there is no gate. */
  onGate?(message: GateMessage, from: string): void;
}

/** A question under way. */
interface Question {
  readonly answer: (message: Datagram) => void;
  readonly fail: (err: Error) => void;
  readonly timers: readonly Timer[];
}

const NOTHING: Omit<Datagram, "id"> = {
  probe: null,
  answer: null,
  probe_for: "",
  reached: false,
  compare: null,
  gate: null,
};

/**
 * The fleet's small messages that may be lost, as datagrams: those of membership, and between gates and
 * those who ask them for slots. They take a ninth of a gRPC call's processor time, and no connection
 * that could be stuck after a cut, which is what probes are to find out.
 */
export class DatagramLink implements IDisposable {
  readonly #socket: Socket = createSocket("udp4");
  readonly #clock: Clock;
  readonly #note: NoteBytes;
  readonly #questions = new Map<number, Question>();
  #handlers: DatagramHandlers | undefined;
  #nextId = 1;
  #closed = false;

  constructor(clock: Clock, note: NoteBytes) {
    this.#clock = clock;
    this.#note = note;
  }

  /** Listens at `hostPort` and answers by `handlers`. */
  async listen(hostPort: string, handlers: DatagramHandlers): Promise<void> {
    this.#handlers = handlers;
    this.#socket.on("message", (bytes, from) => {
      this.#receive(bytes, `${from.address}:${from.port}`);
    });
    // Refused and unreachable destinations show as errors of the socket; the question
    // then stays without an answer, which is what counts.
    this.#socket.on("error", () => undefined);
    const [host, port] = split(hostPort);
    await new Promise<void>((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, () => {
        this.#socket.off("error", reject);
        resolve();
      });
    });
  }

  /** Probes the member at `address`; rejects when it does not answer in time. */
  async probe(address: string, news: News): Promise<News> {
    return answerOf(await this.#ask(address, { ...NOTHING, probe: news }, PROBE_MS));
  }

  /** Has the member at `address` compare its view with these digests; rejects when it does not answer in time. */
  async compare(address: string, digests: readonly number[]): Promise<News> {
    const compare = { digests: [...digests] };
    return answerOf(await this.#ask(address, { ...NOTHING, compare }, PROBE_MS));
  }

  /** Has the member at `address` probe the one at `target`; rejects when that one does not answer it in time. */
  async probeFor(address: string, target: string): Promise<void> {
    await this.#ask(address, { ...NOTHING, probe_for: target }, INDIRECT_MS);
  }

  /** Tells a gate, or one who asked it; whether that arrives is not known. */
  tell(address: string, gate: GateMessage): void {
    this.#send(datagramCodec.encode({ ...NOTHING, id: 0, gate }), address, "GateDatagram");
  }

  /** Closes the socket; questions under way, and any asked from here on, fail. */
  dispose(): void {
    if (this.#closed) {
      return;
    }
    this.#closed = true;
    this.#socket.close();
    for (const question of this.#questions.values()) {
      question.fail(new Error("the link was closed"));
    }
  }

  #ask(address: string, message: Omit<Datagram, "id">, timeoutMs: number): Promise<Datagram> {
    if (this.#closed) {
      return Promise.reject(new Error("the link is closed"));
    }
    const id = this.#nextId;
    this.#nextId = (this.#nextId % 0xffff_ffff) + 1;
    const bytes = datagramCodec.encode({ id, ...message });
    return new Promise((resolve, reject) => {
      const end = () => {
        this.#questions.get(id)?.timers.forEach((t) => {
          t.cancel();
        });
        this.#questions.delete(id);
      };
      const resend = this.#clock.after(RESEND_MS, () => {
        this.#send(bytes, address);
      });
      const fail = (err: Error) => {
        end();
        reject(err);
      };
      const giveUp = this.#clock.after(timeoutMs, () => {
        fail(new Error(`${address} did not answer`));
      });
      const answer = (reply: Datagram) => {
        end();
        resolve(reply);
      };
      this.#questions.set(id, { answer, fail, timers: [resend, giveUp] });
      this.#send(bytes, address);
    });
  }

  #receive(bytes: Buffer, from: string): void {
    const message = datagramCodec.decode(bytes);
    this.#note(message?.gate ? "GateDatagram" : "Datagram", bytes.length);
    if (!message) {
      return; // Not one of ours.
    }
    const { id, probe, answer, probe_for: target, reached, gate, compare } = message;
    if (gate) {
      this.#handlers?.onGate?.(gate, from);
    } else if (answer || reached) {
      this.#questions.get(id)?.answer(message);
    } else if (probe && this.#handlers) {
      this.#answer(id, from, this.#handlers.onProbe(probe));
    } else if (compare && this.#handlers) {
      this.#answer(id, from, this.#handlers.onCompare(compare.digests));
    } else if (target !== "") {
      this.#handlers?.onProbeFor(target).then(
        () => {
          this.#send(datagramCodec.encode({ ...NOTHING, id, reached: true }), from);
        },
        () => undefined, // Silence tells the asker that it was not reached from here either.
      );
    }
  }

  #answer(id: number, to: string, answer: News): void {
    this.#send(datagramCodec.encode({ ...NOTHING, id, answer }), to);
  }

  #send(bytes: Buffer, address: string, kind = "Datagram"): void {
    if (this.#closed) {
      return; // A closed socket throws, and an answer that comes too late is nobody's loss.
    }
    this.#note(kind, bytes.length);
    const [host, port] = split(address);
    this.#socket.send(bytes, port, host, () => undefined);
  }
}

function answerOf({ answer }: Datagram): News {
  if (!answer) {
    throw new Error("answered without news");
  }
  return answer;
}

function split(hostPort: string): [string, number] {
  const at = hostPort.lastIndexOf(":");
  return [hostPort.slice(0, at), Number(hostPort.slice(at + 1))];
}
