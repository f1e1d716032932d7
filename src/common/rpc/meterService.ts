import type * as grpc from "@grpc/grpc-js";
import type { MessageSizeListener } from "./MessageSizeListener.ts";

/**
 * Wraps a client's service definition so that `onMessage` is called with the size of every
 * message that is encoded or decoded, for the traffic metrics. The size excludes
 * gRPC's 5 bytes of framing for each message, and the framing of HTTP/2.
 *
 * @param peer address of the server, host:port
 */
export function meterService(
  service: grpc.ServiceDefinition,
  peer: string,
  onMessage: MessageSizeListener,
): grpc.ServiceDefinition {
  const metered = Object.entries(service).map(([name, method]) => {
    const meterEncoding = <T>(encode: (value: T) => Buffer) => {
      return (value: T) => {
        const bytes = encode(value);
        onMessage(name, bytes.length, peer);
        return bytes;
      };
    };
    const meterDecoding = <T>(decode: (bytes: Buffer) => T) => {
      return (bytes: Buffer) => {
        onMessage(name, bytes.length, peer);
        return decode(bytes);
      };
    };
    const wrapped = {
      ...method,
      requestSerialize: meterEncoding(method.requestSerialize),
      requestDeserialize: meterDecoding(method.requestDeserialize),
      responseSerialize: meterEncoding(method.responseSerialize),
      responseDeserialize: meterDecoding(method.responseDeserialize),
    };
    return [name, wrapped] as const;
  });
  return Object.fromEntries(metered);
}
