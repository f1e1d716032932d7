import { z } from "zod";

/** A network address: a host name or IP address, and a port. */
export const HostPort = z.string().regex(/^[^\s:]+:\d+$/, "expected host:port");
