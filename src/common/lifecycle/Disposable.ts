import type { IDisposable } from "./IDisposable.ts";

/**
 * Base of every long-lived component: it registers what it owns, and
 * disposing it disposes those in reverse order, so stopping a parent stops
 * its whole subtree (a supervisor tree inside one process).
 */
export abstract class Disposable implements IDisposable {
  readonly #owned: IDisposable[] = [];
  #disposed = false;

  /** True once {@link dispose} has begun. */
  protected get isDisposed(): boolean {
    return this.#disposed;
  }

  /** Takes ownership of `child`; returns it for chaining. */
  protected register<T extends IDisposable>(child: T): T {
    this.#owned.push(child);
    return child;
  }

  /** Disposes owned children, last registered first. */
  async dispose(): Promise<void> {
    if (this.#disposed) {
      return;
    }
    this.#disposed = true;
    for (const child of this.#owned.reverse()) {
      await child.dispose();
    }
  }
}
