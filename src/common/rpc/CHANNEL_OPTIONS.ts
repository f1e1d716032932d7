import type { ChannelOptions } from "@grpc/grpc-js";

/**
 * gRPC channel options for all our own connections. Keepalive pings find a
 * connection that has gone silent for good (something between the ends lost
 * track of it); their timeout exceeds the round trip of a congested link, whose connections
 * must not be dropped as dead. Callers notice silence sooner: by their timeouts, or by what reaches them another way.
 * The short backoff reaches a restarted process within a second; gRPC's default backoff grows to two minutes.
 */
export const CHANNEL_OPTIONS: ChannelOptions = {
  "grpc.keepalive_time_ms": 10_000,
  "grpc.keepalive_timeout_ms": 10_000,
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.min_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1000,
};
