/** An object that holds resources (a socket, timer or file) until it is disposed. */
export interface IDisposable {
  /** Releases the resources; safe to call more than once. */
  dispose(): Promise<void> | void;
}
