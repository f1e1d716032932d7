import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type bunyan from "bunyan";
import { z } from "zod";
import { readJson } from "../../common/http/readJson.ts";
import { sendJson } from "../../common/http/sendJson.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import { renderMetrics } from "../../common/telemetry/renderMetrics.ts";
import { TargetState } from "../../membership/TargetState.ts";
import type { TargetAnnouncements } from "../TargetAnnouncements.ts";
import type { Quarantine } from "../quarantine/Quarantine.ts";
import type { SidecarMetrics } from "./SidecarMetrics.ts";

/** Body of `POST /v1/announce`. */
const Announcement = z.strictObject({
  targetId: z.string().min(1),
  service: z.string().min(1),
  url: z.url(),
  slots: z.number().int().positive(),
  state: z.enum(TargetState),
  /** Path of the health endpoint at `url`; empty for none. */
  healthPath: z.string().default(""),
  /** Rises with each announcement, so that a delayed one is ignored. Without it, delayed ones are not detected. */
  sequence: z.number().int().min(0).default(0),
  /** Start time of the target, Unix ms. Without it, incarnations of a target cannot be distinguished. */
  born: z.number().int().min(0).default(0),
});

/** Body of `POST /v1/withdraw`. */
const Withdrawal = z.strictObject({
  targetId: z.string().min(1),
  born: z.number().int().min(0).default(0),
});

/** Body of `POST /v1/quarantine/release`. */
const Release = z.strictObject({ fingerprint: z.string().min(1) });

/** Maximum size of a request body, bytes; announcements have a few hundred. */
const MAX_BODY_BYTES = 16 * 1024;

interface AdminServerDeps {
  readonly announcements: TargetAnnouncements;
  readonly metrics: SidecarMetrics;
  readonly status: () => Record<string, unknown>;
  /** Lifts the suspicion that a request crashes its targets. */
  readonly quarantine: Pick<Quarantine, "release">;
  /** Whether callers may be routed to this sidecar. */
  readonly isReady: () => boolean;
  readonly log: bunyan;
}

/**
 * The sidecar's admin HTTP server. Local targets announce themselves (`POST /v1/announce`, repeated as
 * a heartbeat) and withdraw before they exit (`POST /v1/withdraw`), operators release quarantined requests
 * (`POST /v1/quarantine/release`), Prometheus scrapes `/metrics`, load
 * balancers check `/ready`, and the CLI reads `/status`.
 */
export class AdminServer {
  readonly #deps: AdminServerDeps;
  readonly server: Server;

  constructor(deps: AdminServerDeps) {
    this.#deps = deps;
    this.server = createServer((req, res) => {
      this.#route(req, res).catch((err: unknown) => {
        deps.log.warn({ err, url: req.url }, "admin request failed");
        res.destroy();
      });
    });
  }

  async #route(req: IncomingMessage, res: ServerResponse): Promise<void> {
    switch (`${req.method ?? ""} ${req.url ?? ""}`) {
      case "POST /v1/announce":
        await this.#announce(req, res);
        return;
      case "POST /v1/withdraw":
        await this.#withdraw(req, res);
        return;
      case "POST /v1/quarantine/release":
        await this.#release(req, res);
        return;
      case "GET /metrics": {
        const { registry } = this.#deps.metrics;
        res.setHeader("content-type", registry.contentType);
        res.end(await renderMetrics(registry));
        return;
      }
      case "GET /ready": {
        const ready = this.#deps.isReady();
        sendJson(res, ready ? 200 : 503, { ready });
        return;
      }
      case "GET /status":
        sendJson(res, 200, this.#deps.status());
        return;
      default:
        sendJson(res, 404, { error: "no such page" });
    }
  }

  async #announce(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const parsed = await parse(req, Announcement);
    if (!parsed.ok) {
      sendJson(res, 400, { error: parsed.error });
      return;
    }
    const { targetId, sequence, healthPath, ...rest } = parsed.value;
    const target = { target_id: targetId, health_path: healthPath, ...rest };
    const problem = this.#deps.announcements.announce(target, sequence);
    if (problem !== undefined) {
      sendJson(res, 422, { error: problem });
      return;
    }
    if (target.state === TargetState.Draining) {
      await this.#acknowledgeDeparture(res);
      return;
    }
    res.writeHead(204).end();
  }

  /** Releases a quarantined request in the whole fleet; 404 if it is not under suspicion here. */
  async #release(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const parsed = await parse(req, Release);
    if (!parsed.ok) {
      sendJson(res, 400, { error: parsed.error });
      return;
    }
    const { fingerprint } = parsed.value;
    const released = this.#deps.quarantine.release(RequestFingerprint(fingerprint));
    sendJson(res, released ? 200 : 404, { released });
  }

  async #withdraw(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const parsed = await parse(req, Withdrawal);
    if (!parsed.ok) {
      sendJson(res, 400, { error: parsed.error });
      return;
    }
    const { targetId, born } = parsed.value;
    this.#deps.announcements.withdraw(TargetId(targetId), born);
    await this.#acknowledgeDeparture(res);
  }

  /** Acknowledges that a target leaves, once that is kept over a kill of this process; otherwise asks for a repeat. */
  async #acknowledgeDeparture(res: ServerResponse): Promise<void> {
    if (await this.#deps.announcements.secureDepartures()) {
      res.writeHead(204).end();
    } else {
      sendJson(res, 503, { error: "too few other members hold this yet; repeat the call" });
    }
  }
}

type Parsed<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: string };

async function parse<T>(req: IncomingMessage, schema: z.ZodType<T>): Promise<Parsed<T>> {
  const json = await readJson(req, MAX_BODY_BYTES);
  if (!json.ok) {
    return { ok: false, error: json.reason };
  }
  const parsed = schema.safeParse(json.value);
  return parsed.success
    ? { ok: true, value: parsed.data }
    : { ok: false, error: z.prettifyError(parsed.error) };
}
