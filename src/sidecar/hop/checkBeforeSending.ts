import { DecoratorHandler, type Dispatcher } from "undici";

/** Dispatch options with a check that is made when the request is about to be written to a connection. */
export interface CheckedDispatchOptions {
  /** Returns the reason why the request must not be sent any more; undefined to send it. */
  readonly checkBeforeSending?: () => Error | undefined;
}

type Handler = Dispatcher.DispatchHandler;

class CheckingHandler extends DecoratorHandler {
  readonly #handler: Handler;
  readonly #check: () => Error | undefined;

  constructor(handler: Handler, check: () => Error | undefined) {
    super(handler);
    this.#handler = handler;
    this.#check = check;
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    this.#handler.onRequestStart?.(controller, context);
    const reason = this.#check();
    if (reason) {
      controller.abort(reason);
    }
  }
}

/** Interceptor that makes a request's {@link CheckedDispatchOptions.checkBeforeSending}. */
export const checkBeforeSending: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) => {
    const { checkBeforeSending: check } = options as CheckedDispatchOptions;
    return dispatch(options, check ? new CheckingHandler(handler, check) : handler);
  };
