import type * as grpc from "@grpc/grpc-js";
import { SystemClock } from "../lifecycle/SystemClock.ts";

type Callback<Res> = (err: grpc.ServiceError | null, res?: Res) => void;

/** A unary method of a gRPC client, bound to that client. */
type Unary<Req, Res> = (req: Req, cb: Callback<Res>) => grpc.ClientUnaryCall;

/**
 * Makes one unary call, and cancels it after `timeoutMs` on the monotonic clock: a
 * gRPC deadline is a time of day, which may jump. Rejects with the service error;
 * a call that times out is rejected as CANCELLED.
 */
export function callUnary<Req, Res>(
  method: Unary<Req, Res>,
  req: Req,
  timeoutMs: number,
): Promise<Res> {
  return new Promise((resolve, reject) => {
    const call = method(req, (err, res) => {
      timer.cancel();
      if (err) {
        reject(err);
      } else if (res === undefined) {
        reject(new Error("the call returned neither a response nor an error"));
      } else {
        resolve(res);
      }
    });
    const timer = SystemClock.timeout(timeoutMs, () => {
      call.cancel();
    });
  });
}
