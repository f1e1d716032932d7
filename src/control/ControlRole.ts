import { createServer } from "node:http";
import * as grpc from "@grpc/grpc-js";
import type bunyan from "bunyan";
import { Registry, collectDefaultMetrics } from "prom-client";
import type { DaemonSettings } from "../common/settings/DaemonSettings.ts";
import { Disposable } from "../common/lifecycle/Disposable.ts";
import { loadProto } from "../common/rpc/loadProto.ts";
import { startGrpcServer } from "../common/rpc/startGrpcServer.ts";
import { startHttpServer } from "../common/http/startHttpServer.ts";
import { ControlService } from "./service/ControlService.ts";
import { RemoteReplicaPeer } from "./replica/RemoteReplicaPeer.ts";
import { Replica } from "./replica/Replica.ts";
import { ReplicaLog } from "./replica/ReplicaLog.ts";
import type { ReplicaMessages } from "./replica/ReplicaMessages.ts";
import type { ReplicaTiming } from "./replica/ReplicaTiming.ts";

/** The control replica's settings. */
type ControlSettings = Extract<DaemonSettings, { role: "control" }>;

/** Between zones 1.5 ms apart; a sync of a slow disk may take tens of ms. */
const TIMING: ReplicaTiming = {
  heartbeatMs: 100,
  leaseMs: 700,
  electionMinMs: 1000,
  electionMaxMs: 2000,
  proposeMs: 3000,
};

/**
 * A control replica: one of three or five that agree on the accepted operators'
 * document, hold it on disk, and serve it to sidecars and the CLI over gRPC.
 */
export class ControlRole extends Disposable {
  readonly #cfg: ControlSettings;
  readonly #log: bunyan;

  constructor(cfg: ControlSettings, log: bunyan) {
    super();
    this.#cfg = cfg;
    this.#log = log;
  }

  /** Opens the log and starts both servers. */
  async start(): Promise<void> {
    const peers = this.#cfg.peers.map((p) => this.register(new RemoteReplicaPeer(p.id, p.address)));
    // Alone, there is nobody to be filled in by: an empty disk is a first start.
    const bootstrap = this.#cfg.bootstrap || peers.length === 0;
    const replica = new Replica({
      id: this.#cfg.id,
      peers,
      log: new ReplicaLog(this.#cfg.dataDir, bootstrap),
      timing: TIMING,
      now: () => performance.now(),
      random: Math.random,
      logger: this.#log,
    });
    const service = new ControlService(replica, this.#log);
    const server = new grpc.Server();
    server.addService((loadProto().Control as grpc.ServiceClientConstructor).service, {
      ...service.handlers(),
    });
    server.addService((loadProto("replica").Replica as grpc.ServiceClientConstructor).service, {
      ...replicaHandlers(replica),
    });
    const { port } = this.register(await startGrpcServer(server, this.#cfg.listen));
    this.register(service);
    this.register(replica).start();
    this.register(await startHttpServer(this.#adminServer(replica), this.#cfg.admin));
    this.#log.info({ grpcPort: port, version: replica.committed.version }, "control started");
  }

  #adminServer(replica: Replica) {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    return createServer((req, res) => {
      void (async () => {
        if (req.url === "/metrics") {
          res.setHeader("content-type", registry.contentType);
          res.end(await registry.metrics());
          return;
        }
        res.setHeader("content-type", "application/json");
        res.end(
          JSON.stringify({
            role: "control",
            id: this.#cfg.id,
            replica: replica.role,
            leader: replica.leader,
            inTouch: replica.inTouch,
            version: replica.committed.version,
          }),
        );
      })();
    });
  }
}

function replicaHandlers(replica: Replica): grpc.UntypedServiceImplementation {
  const vote: grpc.handleUnaryCall<ReplicaMessages["VoteRequest"], ReplicaMessages["VoteReply"]> = (
    call,
    cb,
  ) => {
    cb(null, replica.onVote(call.request));
  };
  const append: grpc.handleUnaryCall<
    ReplicaMessages["AppendRequest"],
    ReplicaMessages["AppendReply"]
  > = (call, cb) => {
    cb(null, replica.onAppend(call.request));
  };
  return { Vote: vote, Append: append };
}
