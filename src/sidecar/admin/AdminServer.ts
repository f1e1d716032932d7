import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type bunyan from "bunyan";
import { z } from "zod";
import { readJson } from "../../common/http/readJson.ts";
import { sendJson } from "../../common/http/sendJson.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { renderMetrics } from "../../common/telemetry/renderMetrics.ts";
import { TargetState } from "../../membership/TargetState.ts";
import type { TargetAnnouncements } from "../TargetAnnouncements.ts";
import type { SidecarMetrics } from "./SidecarMetrics.ts";

/** The body a target posts to `/v1/announce`. */
const Announcement = z.strictObject({
  targetId: z.string().min(1),
  service: z.string().min(1),
  url: z.url(),
  slots: z.number().int().positive(),
  state: z.enum(TargetState),
  /** Path of the health endpoint at `url`; empty for none. */
  healthPath: z.string().default(""),
  /** Rises with each announcement, so that a late one can be told; left out, none is taken for late. */
  sequence: z.number().int().min(0).default(0),
  /** When the target started, Unix ms, so that it can be told from the one that had its id before; left out, it cannot. */
  born: z.number().int().min(0).default(0),
});

/** The body a target posts to `/v1/withdraw`. */
const Withdrawal = z.strictObject({
  targetId: z.string().min(1),
  born: z.number().int().min(0).default(0),
});

/** Announcements are a few hundred bytes. */
const MAX_BODY_BYTES = 16 * 1024;

interface AdminServerDeps {
  readonly announcements: TargetAnnouncements;
  readonly metrics: SidecarMetrics;
  readonly status: () => Record<string, unknown>;
  /** Callers may be sent here. */
  readonly isReady: () => boolean;
  readonly log: bunyan;
}

/**
 * The sidecar's local HTTP face: targets beside it announce themselves
 * (`POST /v1/announce`, repeated as a heartbeat) and say goodbye
 * (`POST /v1/withdraw`), Prometheus scrapes `/metrics`, load balancers ask `/ready`,
 * and the CLI reads `/status`.
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
    res.writeHead(204).end();
  }

  async #withdraw(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const parsed = await parse(req, Withdrawal);
    if (!parsed.ok) {
      sendJson(res, 400, { error: parsed.error });
      return;
    }
    const { targetId, born } = parsed.value;
    this.#deps.announcements.withdraw(TargetId(targetId), born);
    res.writeHead(204).end();
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
