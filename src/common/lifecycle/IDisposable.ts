/** Something that holds a resource (socket, timer, file) until disposed. */
export interface IDisposable {
  /** Releases what it holds; safe to call twice. */
  dispose(): Promise<void> | void;
}
