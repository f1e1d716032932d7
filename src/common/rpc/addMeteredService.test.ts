import * as grpc from "@grpc/grpc-js";
import test from "ava";
import { addMeteredService } from "./addMeteredService.ts";
import { callUnary } from "./callUnary.ts";
import { loadProto } from "./loadProto.ts";
import { meterService } from "./meterService.ts";
import { startGrpcServer } from "./startGrpcServer.ts";

test("metered service: server and client count the same bytes, with the address of the other end", async (t) => {
  const served: [string, number, string][] = [];
  const called: [string, number, string][] = [];
  const { service } = loadProto().Peer;
  const server = new grpc.Server();
  const handlers = {
    Config: (_call: unknown, respond: grpc.sendUnaryData<object>) => {
      respond(null, { versions: [{ version: 7, document: "{}" }] });
    },
  };
  addMeteredService(server, service, handlers, (...message) => served.push(message));
  const started = await startGrpcServer(server, "127.0.0.1:0", 0);
  const address = `127.0.0.1:${started.port}`;
  const metered = meterService(service, address, (...message) => called.push(message));
  const ctor = grpc.makeGenericClientConstructor(metered, "Peer");
  const client = new ctor(address, grpc.credentials.createInsecure());
  t.teardown(() => {
    client.close();
    return started.dispose();
  });
  await callUnary(client.Config?.bind(client) as never, { sidecar_id: "s" }, 5000);
  t.deepEqual(
    served.map(([method, bytes]) => [method, bytes]),
    called.map(([method, bytes]) => [method, bytes]),
  );
  t.is(called.length, 2);
  t.true(called.every(([, bytes, peer]) => bytes > 0 && peer === address));
  t.true(served.every(([, , peer]) => /^127\.0\.0\.1:\d+$/.test(peer) && peer !== address));
});
