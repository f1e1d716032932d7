import type * as grpc from "@grpc/grpc-js";
import type { MessageSizeListener } from "./MessageSizeListener.ts";

type Handler = grpc.handleUnaryCall<object, object>;

/**
 * Adds a service with unary methods to `server` so that `onMessage` is called with the size of every request and
 * response, for the traffic metrics; see meterService for clients.
 */
export function addMeteredService(
  server: grpc.Server,
  service: grpc.ServiceDefinition,
  handlers: grpc.UntypedServiceImplementation,
  onMessage: MessageSizeListener,
): void {
  // The codecs of a service do not know the call, so sizes and peers are looked up by message.
  const requestSizes = new WeakMap<object, number>();
  const responsePeers = new WeakMap<object, string>();
  const meteredService = mapValues(service, (method, name) => ({
    ...method,
    requestDeserialize: (bytes: Buffer) => {
      const request = method.requestDeserialize(bytes) as object;
      requestSizes.set(request, bytes.length);
      return request;
    },
    responseSerialize: (response: object) => {
      const bytes = method.responseSerialize(response);
      onMessage(name, bytes.length, responsePeers.get(response) ?? "");
      return bytes;
    },
  }));
  const meteredHandlers = mapValues(handlers, (handler, name): Handler => (call, respond) => {
    const peer = call.getPeer();
    onMessage(name, requestSizes.get(call.request) ?? 0, peer);
    (handler as Handler)(call, (err, response, ...rest) => {
      if (response) {
        responsePeers.set(response, peer);
      }
      respond(err, response, ...rest);
    });
  });
  server.addService(meteredService, meteredHandlers);
}

function mapValues<T, R>(
  values: Readonly<Record<string, T>>,
  map: (value: T, name: string) => R,
): Record<string, R> {
  return Object.fromEntries(Object.entries(values).map(([name, v]) => [name, map(v, name)]));
}
