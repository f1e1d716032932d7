import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Platform, SidecarMachine } from "./Platform.ts";
import { callJson } from "./callJson.ts";

const HEARTBEAT_MS = 1500;
const QUEUE_LENGTH = 52;

/** A request that an instance runs. */
export interface Run {
  readonly attempt: string;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Answers with the marks of an instance's own response. */
  readonly head: (status: number, length: number) => void;
}

interface InstanceOptions {
  readonly machine: SidecarMachine;
  readonly platform: Platform;
  readonly slots: number;
  /** Does the work of a request and answers; its slot is free when the promise resolves. */
  readonly work: (run: Run) => Promise<void>;
  /** Called when a request for this instance has arrived, whether it is run or rejected. */
  readonly onArrival?: (attempt: string) => void;
}

/** A stand-in for an instance, as the pages describe it. */
export class Instance {
  readonly #opts: InstanceOptions;
  readonly #server: Server;
  readonly #waiting: (() => void)[] = [];
  readonly id: string;
  readonly born = Date.now();
  #state: "ready" | "draining" = "ready";
  #busy = 0;
  #sequence = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(opts: InstanceOptions) {
    this.#opts = opts;
    this.id = `i-${opts.machine.name}-${this.born.toString(36)}`;
    this.#server = createServer({ keepAliveTimeout: 10_000 }, (req, res) => {
      this.#handle(req, res).catch(() => {
        res.destroy();
      });
    });
  }

  async start(): Promise<void> {
    const { machine, platform } = this.#opts;
    await new Promise<void>((resolve) => {
      this.#server.listen(platform.ports.app, machine.ip, resolve);
    });
    const beat = () => {
      this.beat().catch(() => undefined);
    };
    beat();
    this.#timer = setInterval(beat, HEARTBEAT_MS);
  }

  /** The next heartbeat's body. */
  nextBeat(): object {
    const { machine, platform, slots } = this.#opts;
    this.#sequence += 1;
    return {
      born: this.born,
      address: `${machine.ip}:${platform.ports.app}`,
      info: { service: machine.service, version: "v1", zone: machine.zone, slots },
      status: { state: this.#state, sequence: this.#sequence, warmup_left_ms: 0 },
    };
  }

  /** Sends a heartbeat; resolves with the status of the response, 0 for none. */
  async beat(body = this.nextBeat()): Promise<number> {
    return (await this.#call("PUT", body)).status;
  }

  /** Says that it drains, from now on; resolves with the status of the first response. */
  sayDraining(): Promise<number> {
    this.#state = "draining";
    return this.beat();
  }

  /** Sends no more heartbeats. */
  stopBeats(): void {
    clearInterval(this.#timer);
  }

  /** Withdraws the instance; resolves with the status of the response. */
  async withdraw(): Promise<number> {
    this.stopBeats();
    return (await this.#call("DELETE", { born: this.born })).status;
  }

  /** Ends like a process that exits. */
  exit(): void {
    this.stopBeats();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #call(method: string, body: object): Promise<{ status: number }> {
    const { machine, platform } = this.#opts;
    const host = `${machine.ip}:${platform.ports.control}`;
    return callJson(host, method, `/burdockpass/instances/${this.id}`, body);
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const attempt = String(req.headers["x-attempt-id"] ?? "");
    if (req.url === "/healthz") {
      res.writeHead(200, { "x-instance-id": this.id }).end();
      return;
    }
    if (req.headers["x-expect-instance"] !== this.id) {
      this.#reject(res, 421, attempt);
      return;
    }
    this.#opts.onArrival?.(attempt);
    req.resume();
    await new Promise((resolve) => {
      req.once("end", resolve);
      req.once("close", resolve);
    });
    if (this.#busy >= this.#opts.slots) {
      if (this.#waiting.length >= QUEUE_LENGTH) {
        this.#reject(res, 503, attempt);
        return;
      }
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
    this.#busy += 1;
    try {
      const head = (status: number, length: number) => {
        res.writeHead(status, {
          "x-attempt-id": attempt,
          "x-response-signature": `sig.${attempt}`,
          "content-length": length,
        });
      };
      await this.#opts.work({ attempt, req, res, head });
    } finally {
      this.#busy -= 1;
      this.#waiting.shift()?.();
    }
  }

  #reject(res: ServerResponse, status: number, attempt: string): void {
    const headers = { "x-attempt-id": attempt, "x-not-executed": "1", "x-instance-id": this.id };
    res.writeHead(status, headers).end();
  }
}
