interface ServiceRoute {
  readonly service: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: "safe" | "unsafe" | "download" | "upload";
  readonly timeoutMs: number;
  readonly objectiveMs: number;
}

/** The operator's first configuration, with one route for each entry. */
export function makeConfig(routes: readonly ServiceRoute[]): object {
  return {
    version: "r1",
    routes: Object.fromEntries(
      routes.map((r, i) => [
        `r-${i}`,
        {
          host: r.host,
          path_prefix: r.prefix,
          kind: r.kind,
          timeout_ms: r.timeoutMs,
          target_latency_ms: r.objectiveMs,
          priority: 1,
          service: r.service,
          max_attempts: 2,
        },
      ]),
    ),
    services: Object.fromEntries(
      routes.map((r) => [
        r.service,
        { health_path: "/healthz", max_conns: 330, protocol: "h1", tls: false },
      ]),
    ),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    base_version: "r0",
  };
}
