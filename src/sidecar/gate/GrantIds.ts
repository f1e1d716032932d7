import { GrantId } from "../../common/ids/GrantId.ts";

/** Ends the part of an id that names the process. */
const SEPARATOR = ".";

/** Ids for the grants of this process, which no other process and no earlier life of it has given. */
export class GrantIds {
  readonly #prefix: string;
  #last = 0;

  /** @param boot unique to this life of the process */
  constructor(boot: string) {
    this.#prefix = `${boot}${SEPARATOR}`;
  }

  next(): GrantId {
    this.#last += 1;
    return GrantId(`${this.#prefix}${this.#last}`);
  }

  /** Whether this life of the process gave `id`. */
  isOwn(id: GrantId): boolean {
    return id.startsWith(this.#prefix);
  }
}
