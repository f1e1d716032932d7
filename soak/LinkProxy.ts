import { createSocket, type RemoteInfo, type Socket as Datagrams } from "node:dgram";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { Rng } from "./createRng.ts";

/** How a link behaves. */
export enum LinkMode {
  Open = "open",
  /** Everything towards the process comes late. */
  Delay = "delay",
  /** Nothing passes, either way; connections stay open. */
  Cut = "cut",
  /** What is sent arrives, and nothing comes back. */
  OneWay = "one-way",
  /** A third of the datagrams is lost, and a third comes late. */
  Lossy = "lossy",
}

const DELAY_MS = 120;

/** Of three datagrams on a lossy link one is lost, and one comes so late, ms. */
const LOSSY_DELAY_MS = 40;

const LOOPBACK = "127.0.0.1";

/**
 * A proxy on loopback in front of one address of a process, for TCP and datagrams: what others send there goes
 * through it, and it can hold up, lose, or cut off what passes.
 */
export class LinkProxy {
  readonly #processPort: number;
  readonly #rng: Rng;
  readonly #server: Server;
  readonly #udpSocket: Datagrams;
  /** By the address of whoever sends datagrams: the socket that speaks for it. */
  readonly #relays = new Map<string, Datagrams>();
  readonly #sockets = new Set<Socket>();
  mode = LinkMode.Open;

  /** @param to the port that the process listens at */
  constructor(to: number, rng: Rng) {
    this.#processPort = to;
    this.#rng = rng;
    this.#server = createServer((socket) => {
      this.#connect(socket);
    });
    this.#udpSocket = createSocket("udp4", (message, from) => {
      this.#onDatagram(message, from);
    });
    this.#udpSocket.on("error", () => undefined);
  }

  async listen(port: number): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(port, LOOPBACK, resolve));
    await new Promise<void>((resolve) => {
      this.#udpSocket.bind(port, LOOPBACK, resolve);
    });
  }

  /** Resets every connection through it. */
  reset(): void {
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
  }

  async close(): Promise<void> {
    this.reset();
    this.#relays.forEach((s) => s.close());
    this.#udpSocket.close();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #connect(outer: Socket): void {
    const inner = connect(this.#processPort, LOOPBACK);
    this.#forward(outer, inner, "in");
    this.#forward(inner, outer, "out");
  }

  #forward(from: Socket, to: Socket, way: "in" | "out"): void {
    this.#sockets.add(from);
    from.on("data", (chunk) => {
      this.#deliver(way, () => to.write(chunk));
    });
    from.on("end", () => {
      this.#deliver(way, () => to.end());
    });
    from.on("error", () => undefined);
    from.on("close", (hadError) => {
      this.#sockets.delete(from);
      if (hadError) {
        to.resetAndDestroy();
      } else if (this.mode === LinkMode.Open) {
        to.end();
      }
    });
  }

  /** Lets something pass now, late, or never. */
  #deliver(way: "in" | "out", act: () => void): void {
    switch (this.mode) {
      case LinkMode.Cut:
        return;
      case LinkMode.OneWay:
        if (way === "in") {
          act();
        }
        return;
      case LinkMode.Delay:
        setTimeout(act, DELAY_MS);
        return;
      case LinkMode.Open:
      case LinkMode.Lossy:
        act();
    }
  }

  #onDatagram(message: Buffer, from: RemoteInfo): void {
    const key = `${from.address}:${from.port}`;
    let speaker = this.#relays.get(key);
    if (!speaker) {
      speaker = createSocket("udp4", (reply) => {
        this.#deliverDatagram("out", () => {
          this.#udpSocket.send(reply, from.port, from.address);
        });
      });
      speaker.on("error", () => undefined);
      this.#relays.set(key, speaker);
    }
    const { send } = { send: speaker.send.bind(speaker) };
    this.#deliverDatagram("in", () => {
      send(message, this.#processPort, LOOPBACK);
    });
  }

  #deliverDatagram(way: "in" | "out", act: () => void): void {
    if (this.mode !== LinkMode.Lossy) {
      this.#deliver(way, act);
      return;
    }
    const fate = this.#rng.int(1, 3);
    if (fate === 2) {
      setTimeout(act, LOSSY_DELAY_MS);
    } else if (fate === 3) {
      act();
    }
  }
}
