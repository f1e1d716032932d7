import type { ChannelOptions } from "@grpc/grpc-js";

/**
 * gRPC channel options for all connections between burdockpass processes. Keepalive pings detect a connection that has
 * become permanently silent because a device on the path lost its state. Their timeout exceeds the round trip of a
 * congested link, whose connections must not be dropped as dead. The code that makes calls notices silence sooner, by
 * its own timeouts or by messages that arrive over another path. The short backoff reconnects to a restarted process
 * within a second; gRPC's default backoff grows to two minutes.
 */
export const CHANNEL_OPTIONS: ChannelOptions = {
  "grpc.keepalive_time_ms": 10_000,
  "grpc.keepalive_timeout_ms": 10_000,
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.min_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1000,
};
