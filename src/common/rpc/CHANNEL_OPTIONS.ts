import type { ChannelOptions } from "@grpc/grpc-js";

/**
 * gRPC channel options for all our own connections. Keepalive pings find a
 * connection that has gone silent for good (something between the ends lost
 * track of it) within about 5 s, and the short backoff reaches a restarted
 * process within a second; gRPC's default backoff grows to two minutes.
 */
export const CHANNEL_OPTIONS: ChannelOptions = {
  "grpc.keepalive_time_ms": 3000,
  "grpc.keepalive_timeout_ms": 2000,
  "grpc.keepalive_permit_without_calls": 1,
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.min_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1000,
};
