import type { NestedCallOptions } from "./NestedCallOptions.ts";

/** Options of a stand-in target. */
export interface StandInOptions {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  /** `host:port` of the local sidecar's admin server; undefined to send no announcements. */
  readonly sidecarAdmin: string | undefined;
  /** Maximum number of concurrent requests; more are shed with 503 and `x-not-run`. */
  readonly slots: number;
  /** Work time of one request when healthy, ms. */
  readonly workMs: number;
  /**
   * Largest work time, as a multiple of `workMs`, which is the mean: work times are then distributed exponentially.
   * 1 for the same work time each time.
   */
  readonly workTail: number;
  /** Time after the start during which the target announces itself as `cold`, ms. */
  readonly coldMs: number;
  /** Share of responses, 0 to 1, that are wrong in the `wrong` mode and errors in the `error` mode. */
  readonly wrongRate: number;
  /** Delay with which the health endpoint reports a change of the target's health, ms. */
  readonly healthLagMs: number;
  /** Delay with which its announcements reach the sidecar, ms. */
  readonly announceLagMs: number;
  /** Makes the health endpoint report healthy whatever the fault mode, except in the `health-bad` mode. */
  readonly alwaysReportsHealthy: boolean;
  /** Simulated one-way network delay between a sidecar and this target, ms; added before and after the work. */
  readonly netMs: number;
  /** Header copied from the request to the response, so that a response can be matched to its request. */
  readonly echoHeader: string;
  /** Completes a request, including its effect, after its caller disconnected. */
  readonly ignoresCancellation: boolean;
  /** A request whose path begins with this ends the process while it runs; undefined for none. */
  readonly crashPath: string | undefined;
  /** Path of the {@link WorkJournal} file; undefined for none. */
  readonly journalFile: string | undefined;
  /** The nested calls that the target makes during its runs; undefined for none. */
  readonly nestedCalls: NestedCallOptions | undefined;
}
