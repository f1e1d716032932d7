import { createSocket, type RemoteInfo, type Socket as UdpSocket } from "node:dgram";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { Rng } from "./createRng.ts";

/** How a link treats traffic. */
export enum LinkMode {
  /** Everything passes. */
  Open = "open",
  /** Everything is delayed, in both directions. */
  Delay = "delay",
  /** Nothing passes in either direction; connections stay open. */
  Cut = "cut",
  /** Traffic to the process passes; traffic from it is dropped. */
  OneWay = "one-way",
  /** A third of the datagrams is lost, and a third is delayed. TCP passes. */
  Lossy = "lossy",
}

/** Delay of everything that passes a delayed link, ms. */
const DELAY_MS = 120;

/** Delay of a third of the datagrams on a lossy link, ms. */
const LOSSY_DELAY_MS = 40;

const LOOPBACK = "127.0.0.1";

/**
 * A loopback proxy for TCP and UDP in front of one address of a process. Other processes send to the proxy, which can
 * delay, drop or reset what passes.
 */
export class LinkProxy {
  readonly #processPort: number;
  readonly #rng: Rng;
  readonly #server: Server;
  readonly #udpSocket: UdpSocket;
  /** By a datagram sender's address: the socket that relays its datagrams to the process, and the replies back. */
  readonly #relays = new Map<string, UdpSocket>();
  readonly #sockets = new Set<Socket>();
  mode = LinkMode.Open;

  /** @param processPort the port that the process listens on */
  constructor(processPort: number, rng: Rng) {
    this.#processPort = processPort;
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

  /** Resets every TCP connection through the proxy. */
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

  #connect(client: Socket): void {
    const upstream = connect(this.#processPort, LOOPBACK);
    this.#forward(client, upstream, "in");
    this.#forward(upstream, client, "out");
  }

  #forward(from: Socket, to: Socket, direction: "in" | "out"): void {
    this.#sockets.add(from);
    from.on("data", (chunk) => {
      this.#deliver(direction, () => {
        // Without this, the proxy would hold what the receiver does not read, and the sender would never wait for it.
        if (!to.write(chunk)) {
          from.pause();
          to.once("drain", () => from.resume());
        }
      });
    });
    from.on("end", () => {
      this.#deliver(direction, () => to.end());
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

  /** Runs `action`, which passes data on, at once, after a delay, or never, depending on the mode. */
  #deliver(direction: "in" | "out", action: () => void): void {
    switch (this.mode) {
      case LinkMode.Cut:
        return;
      case LinkMode.OneWay:
        if (direction === "in") {
          action();
        }
        return;
      case LinkMode.Delay:
        setTimeout(action, DELAY_MS);
        return;
      case LinkMode.Open:
      case LinkMode.Lossy:
        action();
    }
  }

  #onDatagram(message: Buffer, from: RemoteInfo): void {
    const key = `${from.address}:${from.port}`;
    let relay = this.#relays.get(key);
    if (!relay) {
      relay = createSocket("udp4", (reply) => {
        this.#deliverDatagram("out", () => {
          this.#udpSocket.send(reply, from.port, from.address);
        });
      });
      relay.on("error", () => undefined);
      this.#relays.set(key, relay);
    }
    const { send } = { send: relay.send.bind(relay) };
    this.#deliverDatagram("in", () => {
      send(message, this.#processPort, LOOPBACK);
    });
  }

  /** As `#deliver`, for one datagram: a lossy link drops and delays at random. */
  #deliverDatagram(direction: "in" | "out", action: () => void): void {
    if (this.mode !== LinkMode.Lossy) {
      this.#deliver(direction, action);
      return;
    }
    const outcome = this.#rng.int(1, 3);
    if (outcome === 2) {
      setTimeout(action, LOSSY_DELAY_MS);
    } else if (outcome === 3) {
      action();
    }
  }
}
