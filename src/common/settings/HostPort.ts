import { z } from "zod";

/** Where something listens: a host or IP address, and a port. */
export const HostPort = z.string().regex(/^[^\s:]+:\d+$/, "expected host:port");
