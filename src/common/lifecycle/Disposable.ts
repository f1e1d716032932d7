import type { IDisposable } from "./IDisposable.ts";

/**
 * Base class of long-lived components. A component registers the children that it
 * owns; disposing it disposes them in reverse order, so that stopping a parent stops
 * its whole subtree (a supervision tree within one process).
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

  /** Disposes the owned children, the last registered one first. */
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
