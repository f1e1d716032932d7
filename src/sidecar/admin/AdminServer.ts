import { createServer, type IncomingMessage, type Server } from "node:http";
import { z } from "zod";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { SidecarMetrics } from "./SidecarMetrics.ts";
import type { TargetTable } from "../membership/TargetTable.ts";
import { TargetState } from "../membership/TargetState.ts";

/** The body a target posts to `/v1/announce`. */
const Announcement = z.strictObject({
  targetId: z.string().min(1),
  service: z.string().min(1),
  url: z.url(),
  slots: z.number().int().positive(),
  state: z.enum(TargetState),
  /** Path of the health endpoint at `url`; empty for none. */
  healthPath: z.string().default(""),
});

/**
 * The sidecar's local HTTP face: targets beside it announce themselves
 * (`POST /v1/announce`, repeated as a heartbeat), Prometheus scrapes
 * `/metrics`, and the CLI reads `/status`.
 */
export class AdminServer {
  readonly server: Server;

  constructor(deps: {
    table: TargetTable;
    metrics: SidecarMetrics;
    status: () => Record<string, unknown>;
    /** Called after each announcement. */
    onAnnounce: () => void;
  }) {
    this.server = createServer((req, res) => {
      void (async () => {
        if (req.method === "POST" && req.url === "/v1/announce") {
          const parsed = Announcement.safeParse(await readJson(req));
          if (!parsed.success) {
            res.statusCode = 400;
            res.end(parsed.error.message);
            return;
          }
          deps.table.announce(toProto(parsed.data));
          deps.onAnnounce();
          res.statusCode = 204;
          res.end();
          return;
        }
        if (req.url === "/metrics") {
          res.setHeader("content-type", deps.metrics.registry.contentType);
          res.end(await deps.metrics.registry.metrics());
          return;
        }
        res.setHeader("content-type", "application/json");
        res.end(JSON.stringify(deps.status()));
      })();
    });
  }
}

function toProto(a: z.infer<typeof Announcement>): ProtoTypes["Target"] {
  return {
    target_id: a.targetId,
    service: a.service,
    url: a.url,
    slots: a.slots,
    state: a.state,
    health_path: a.healthPath,
    probe_failing: false,
  };
}

async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString("utf8"));
  } catch {
    return undefined;
  }
}
