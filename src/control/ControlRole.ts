import { createServer } from "node:http";
import * as grpc from "@grpc/grpc-js";
import type bunyan from "bunyan";
import { Registry, collectDefaultMetrics } from "prom-client";
import { Disposable } from "../common/Disposable.ts";
import { loadProto } from "../common/loadProto.ts";
import { startGrpcServer } from "../common/startGrpcServer.ts";
import { startHttpServer } from "../common/startHttpServer.ts";
import { toDisposable } from "../common/toDisposable.ts";
import { ConfigStore } from "./ConfigStore.ts";
import { ControlService } from "./ControlService.ts";

/** What a control replica needs to start. */
export interface ControlOptions {
  readonly listen: string;
  readonly admin: string;
  readonly dataDir: string;
  readonly log: bunyan;
}

/**
 * A control replica: holds the accepted operators' document on disk and
 * serves it to sidecars and the CLI over gRPC. This first version is a single
 * replica; replication with a quorum is issue 6.
 */
export class ControlRole extends Disposable {
  readonly #opts: ControlOptions;
  #grpcPort = 0;
  #adminPort = 0;

  constructor(opts: ControlOptions) {
    super();
    this.#opts = opts;
  }

  get grpcPort(): number {
    return this.#grpcPort;
  }

  get adminPort(): number {
    return this.#adminPort;
  }

  /** Opens the store and starts both servers. */
  async start(): Promise<void> {
    const store = new ConfigStore(this.#opts.dataDir);
    const service = new ControlService(store, this.#opts.log);
    const server = new grpc.Server();
    const proto = loadProto();
    const ctor = proto.Control as grpc.ServiceClientConstructor;
    server.addService(ctor.service, service.handlers());
    const started = this.register(await startGrpcServer(server, this.#opts.listen));
    this.register(
      toDisposable(() => {
        service.endWatches();
      }),
    );
    this.#grpcPort = started.port;

    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    const admin = createServer((req, res) => {
      void (async () => {
        if (req.url === "/metrics") {
          res.setHeader("content-type", registry.contentType);
          res.end(await registry.metrics());
          return;
        }
        res.setHeader("content-type", "application/json");
        res.end(JSON.stringify({ role: "control", version: store.version }));
      })();
    });
    this.#adminPort = this.register(await startHttpServer(admin, this.#opts.admin)).port;
    this.#opts.log.info({ grpcPort: this.#grpcPort, version: store.version }, "control started");
  }
}
