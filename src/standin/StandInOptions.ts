import type { CallOptions } from "./CallOptions.ts";

/** How a stand-in target is set up. */
export interface StandInOptions {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  /** The sidecar beside it, `host:port` of its admin server; absent to announce nowhere. */
  readonly sidecarAdmin: string | undefined;
  /** Requests it works on at once; more are shed with 503 and `x-not-run`. */
  readonly slots: number;
  /** Work time of one request when healthy, ms. */
  readonly workMs: number;
  /** Time after start during which it announces itself `cold`, ms. */
  readonly coldMs: number;
  /** Share of answers that are wrong in the `wrong` mode. */
  readonly wrongRate: number;
  /** How far its health endpoint lags behind its real state, ms. */
  readonly healthLagMs: number;
  /** When true, its health endpoint always says healthy. */
  readonly healthLies: boolean;
  /** One-way network time between a sidecar and this target, ms; added before and after the work. */
  readonly netMs: number;
  /** Header echoed from request to answer, so that answers can be told apart. */
  readonly echoHeader: string;
  /** Finishes a request, effect and all, after its caller hung up. */
  readonly runsOn: boolean;
  /** A file to write down in what became of each request; undefined for none. */
  readonly journal: string | undefined;
  /** The calls that it makes in the midst of its work; undefined for none. */
  readonly calls: CallOptions | undefined;
}
