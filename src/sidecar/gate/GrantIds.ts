import { GrantId } from "../../common/ids/GrantId.ts";

/** Separates the boot id of the process from the sequence number. */
const SEPARATOR = ".";

/** Generates grant ids that are unique across processes and across incarnations of this process. */
export class GrantIds {
  readonly #prefix: string;
  #last = 0;

  /** @param boot unique to this incarnation of the process */
  constructor(boot: string) {
    this.#prefix = `${boot}${SEPARATOR}`;
  }

  next(): GrantId {
    this.#last += 1;
    return GrantId(`${this.#prefix}${this.#last}`);
  }

  /** Whether this incarnation of the process issued `id`. */
  isOwn(id: GrantId): boolean {
    return id.startsWith(this.#prefix);
  }
}
