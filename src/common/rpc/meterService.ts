import type * as grpc from "@grpc/grpc-js";
import type { NoteBytes } from "./NoteBytes.ts";

/**
 * A service definition that reports the size of every message as it is encoded
 * or decoded, for the traffic metrics. gRPC adds 5 bytes of framing a message
 * and HTTP/2 a few more, not counted here.
 */
export function meterService(
  service: grpc.ServiceDefinition,
  note: NoteBytes,
): grpc.ServiceDefinition {
  const metered = Object.entries(service).map(([name, method]) => {
    const encoding = <T>(encode: (value: T) => Buffer) => {
      return (value: T) => {
        const bytes = encode(value);
        note(name, bytes.length);
        return bytes;
      };
    };
    const decoding = <T>(decode: (bytes: Buffer) => T) => {
      return (bytes: Buffer) => {
        note(name, bytes.length);
        return decode(bytes);
      };
    };
    const wrapped = {
      ...method,
      requestSerialize: encoding(method.requestSerialize),
      requestDeserialize: decoding(method.requestDeserialize),
      responseSerialize: encoding(method.responseSerialize),
      responseDeserialize: decoding(method.responseDeserialize),
    };
    return [name, wrapped] as const;
  });
  return Object.fromEntries(metered);
}
