import * as grpc from "@grpc/grpc-js";
import test from "ava";
import bunyan from "bunyan";
import type { DocumentUpdate } from "../src/common/document/DocumentUpdate.ts";
import { EMPTY_DOCUMENT } from "../src/common/document/EMPTY_DOCUMENT.ts";
import { SystemClock } from "../src/common/lifecycle/SystemClock.ts";
import { documentCodec } from "../src/common/rpc/documentCodec.ts";
import { loadProto } from "../src/common/rpc/loadProto.ts";
import { BURDOCKPASS_SCHEMA } from "../src/common/rpc/proto/BURDOCKPASS_SCHEMA.ts";
import { MessageCodec } from "../src/common/rpc/proto/MessageCodec.ts";
import type { ProtoTypes } from "../src/common/rpc/ProtoTypes.ts";
import { startGrpcServer } from "../src/common/rpc/startGrpcServer.ts";
import { VersionJoiner } from "../src/common/rpc/VersionJoiner.ts";
import { ConfigState } from "../src/control/log/ConfigState.ts";
import { controlHandlers } from "../src/control/service/controlHandlers.ts";
import type { ControlService } from "../src/control/service/ControlService.ts";
import { DocumentWatchers } from "../src/control/service/DocumentWatchers.ts";
import { DatagramLink } from "../src/membership/DatagramLink.ts";
import type { Membership } from "../src/membership/Membership.ts";
import { NetworkPeers } from "../src/membership/NetworkPeers.ts";
import { PeerClients } from "../src/membership/PeerClients.ts";
import { peerHandlers } from "../src/membership/peerHandlers.ts";
import { ControlWatch } from "../src/sidecar/config/ControlWatch.ts";
import type { WatchContent } from "../src/sidecar/config/WatchContent.ts";

type Release = "earlier" | "current";
type ConfigVersion = ProtoTypes["ConfigVersion"];

/** Long enough to be sent in several parts as text. */
const document = {
  ...EMPTY_DOCUMENT,
  routes: Array.from({ length: 400 }, (_, n) => ({
    name: `route-${n}`,
    prefix: `/items/${n}`,
    idempotent: true,
    bulk: false,
    timeoutMs: 2000,
    attempts: 2,
    priority: 1,
    service: "items",
  })),
};
const whole: DocumentUpdate = { kind: "whole", version: 3, document };
const textLength = JSON.stringify(document).length;
const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** The fields that messages had before compression and watches of versions only. */
const { WatchRequest = [], ConfigVersion = [] } = BURDOCKPASS_SCHEMA.messages;
const earlierCodec = new MessageCodec({
  ...BURDOCKPASS_SCHEMA,
  messages: {
    ...BURDOCKPASS_SCHEMA.messages,
    WatchRequest: WatchRequest.filter((f) => f.id <= 3),
    ConfigVersion: ConfigVersion.filter((f) => f.id <= 6),
  },
});

/** The method `Watch` or `Config` as one release encodes it; `sizes` gets the sizes of the replies. */
function definitionOf(release: Release, method: "Watch" | "Config", sizes: number[] = []) {
  const { Control, Peer } = loadProto();
  const services: grpc.ServiceDefinition = { ...Control.service, ...Peer.service };
  const current = services[method] as grpc.MethodDefinition<object, object>;
  const reply = method === "Watch" ? "ConfigVersion" : "ConfigVersions";
  const earlier = {
    requestSerialize: (message: object) => earlierCodec.encode("WatchRequest", message),
    requestDeserialize: (bytes: Buffer) => earlierCodec.decode("WatchRequest", bytes),
    responseSerialize: (message: object) => earlierCodec.encode(reply, message),
    // Newer fields get lost; the receiving code of this release finds their defaults.
    responseDeserialize: (bytes: Buffer) =>
      current.responseDeserialize(earlierCodec.encode(reply, earlierCodec.decode(reply, bytes))),
  };
  const definition = { ...current, ...(release === "earlier" ? earlier : {}) };
  const decode = definition.responseDeserialize;
  return {
    [method]: {
      ...definition,
      responseDeserialize: (bytes: Buffer) => {
        sizes.push(bytes.length);
        return decode(bytes);
      },
    },
  } as unknown as grpc.ServiceDefinition;
}

/** Starts a control replica and member of `release` that has version 3. */
async function startServer(release: Release) {
  const state = new ConfigState({ version: 3, document, accepted: [] });
  const replica = { currentState: state, stateAgeMs: 50, onChange: () => () => undefined };
  const watchers = new DocumentWatchers(replica, log);
  const { Watch } = controlHandlers({} as unknown as ControlService, watchers);
  const { Config } = peerHandlers({} as unknown as Membership, {
    since: (version) => state.history.updatesSince(version),
  });
  const server = new grpc.Server();
  server.addService(definitionOf(release, "Watch"), { Watch } as never);
  server.addService(definitionOf(release, "Config"), { Config } as never);
  const started = await startGrpcServer(server, "127.0.0.1:0", 0);
  return {
    address: `127.0.0.1:${started.port}`,
    dispose: async () => {
      watchers.dispose();
      await started.dispose();
    },
  };
}

/** What a sidecar of this release receives in a watch. */
function watch(address: string, content: WatchContent): Promise<DocumentUpdate | number> {
  return new Promise((resolve, reject) => {
    const control = new ControlWatch(
      {
        sidecarId: "s",
        content,
        onMessageSize: undefined,
        elapsed: () => SystemClock.now(),
        onConfirmed: () => undefined,
        onHeartbeat: () => undefined,
        onOpen: () => undefined,
        onEnd: reject,
        onVersion: (version) => {
          if (content === "versions") {
            setTimeout(resolve, 200, version);
          }
        },
        onUpdate: resolve,
      },
      address,
      0,
    );
    setTimeout(() => {
      control.dispose();
    }, 5000).unref();
  });
}

/** What a sidecar of the earlier release receives in a watch. */
function watchAsEarlier(address: string): Promise<DocumentUpdate> {
  const ctor = grpc.makeGenericClientConstructor(definitionOf("earlier", "Watch"), "Control");
  const client = new ctor(address, grpc.credentials.createInsecure());
  const request = { sidecar_id: "s", have_version: 0, heartbeats: true };
  const call = client.Watch?.(request) as unknown as grpc.ClientReadableStream<ConfigVersion>;
  const joiner = new VersionJoiner();
  return new Promise((resolve, reject) => {
    call.on("error", reject);
    call.on("data", (part: ConfigVersion) => {
      const joined = documentCodec.isHeartbeat(part) ? undefined : joiner.add(part);
      if (joined) {
        resolve(documentCodec.decode(joined));
        call.cancel();
        client.close();
      }
    });
  });
}

const watches: readonly {
  name: string;
  server: Release;
  receive: (address: string) => Promise<DocumentUpdate | number>;
  expected: DocumentUpdate | number;
}[] = [
  {
    name: "earlier sidecar, current replica",
    server: "current",
    receive: watchAsEarlier,
    expected: whole,
  },
  {
    name: "current sidecar, earlier replica",
    server: "earlier",
    receive: (a) => watch(a, "updates"),
    expected: whole,
  },
  // It sends updates although only versions are requested.
  {
    name: "current sidecar of versions, earlier replica",
    server: "earlier",
    receive: (a) => watch(a, "versions"),
    expected: whole,
  },
  {
    name: "current sidecar, current replica",
    server: "current",
    receive: (a) => watch(a, "updates"),
    expected: whole,
  },
  {
    name: "current sidecar of versions, current replica",
    server: "current",
    receive: (a) => watch(a, "versions"),
    expected: 3,
  },
];

for (const { name, server: release, receive, expected } of watches) {
  test(`watch: ${name}`, async (t) => {
    const server = await startServer(release);
    t.teardown(() => server.dispose());
    t.deepEqual(await receive(server.address), expected);
  });
}

const fetches: readonly { client: Release; server: Release; isPacked: boolean }[] = [
  { client: "earlier", server: "current", isPacked: false },
  { client: "current", server: "earlier", isPacked: false },
  { client: "current", server: "current", isPacked: true },
];

for (const { client, server: release, isPacked } of fetches) {
  test(`fetch from a member: ${client} sidecar, ${release} member`, async (t) => {
    const server = await startServer(release);
    const sizes: number[] = [];
    const clients = new PeerClients(definitionOf(client, "Config", sizes));
    const link = new DatagramLink(SystemClock, () => undefined);
    t.teardown(() => {
      clients.dispose();
      link.dispose();
      return server.dispose();
    });
    const received = await new NetworkPeers(clients, link).config(server.address, 0);
    t.deepEqual(received, [whole]);
    t.is((sizes[0] ?? 0) < textLength / 4, isPacked, `${sizes[0]} B`);
  });
}

test("a watch whose message cannot be decompressed ends, and applies nothing", async (t) => {
  const server = new grpc.Server();
  const packed = Buffer.from("not deflate");
  server.addService(definitionOf("current", "Watch"), {
    Watch: (call: grpc.ServerWritableStream<object, ConfigVersion>) => {
      call.write({ ...documentCodec.heartbeat(3, undefined), packed });
    },
  });
  const started = await startGrpcServer(server, "127.0.0.1:0", 0);
  t.teardown(() => started.dispose());
  const reason = await watch(`127.0.0.1:${started.port}`, "updates").catch(String);
  t.regex(reason as string, /version 3 could not be decoded/);
});
