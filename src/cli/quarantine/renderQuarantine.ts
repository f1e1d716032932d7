import { z } from "zod";

/** The part of a sidecar's `/status` about requests that crash the targets that run them. */
const QuarantineStatus = z.object({
  quarantine: z
    .array(
      z.object({
        fingerprint: z.string(),
        service: z.string(),
        request: z.string(),
        crashes: z.number(),
        state: z.string(),
        remainingS: z.number(),
      }),
    )
    .default([]),
});

/** Renders the requests under suspicion in a sidecar's status, one a line, blocked ones first. */
export function renderQuarantine(status: unknown): string {
  const { quarantine } = QuarantineStatus.parse(status);
  if (quarantine.length === 0) {
    return "no request is under suspicion\n";
  }
  return quarantine
    .sort((a, b) => b.remainingS - a.remainingS)
    .map(({ fingerprint, service, request, crashes, state, remainingS }) => {
      const forHowLong = remainingS > 0 ? ` for ${remainingS} s` : "";
      const columns = [fingerprint, `${state}${forHowLong}`.padEnd(18), service.padEnd(24)];
      return `${columns.join("  ")}  ended ${crashes} targets: ${request}\n`;
    })
    .join("");
}
