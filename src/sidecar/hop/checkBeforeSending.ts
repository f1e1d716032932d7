import type { Dispatcher } from "undici";

/** Dispatch options with a check that is made when the request is about to be written to a connection. */
export interface CheckedDispatchOptions {
  /** Returns the reason why the request must not be sent any more; undefined to send it. */
  readonly checkBeforeSending?: () => Error | undefined;
}

type Handler = Dispatcher.DispatchHandler;

/** Interceptor that makes a request's {@link CheckedDispatchOptions.checkBeforeSending}. */
export const checkBeforeSending: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) => {
    const { checkBeforeSending: check } = options as CheckedDispatchOptions;
    return dispatch(options, check ? withCheck(handler, check) : handler);
  };

function withCheck(handler: Handler, check: () => Error | undefined): Handler {
  return {
    onRequestStart: (controller, context: unknown) => {
      handler.onRequestStart?.(controller, context);
      const reason = check();
      if (reason) {
        controller.abort(reason);
      }
    },
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args),
  };
}
