import { mkdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { writeFileSynced } from "../common/writeFileSynced.ts";
import type { ApplyOutcome } from "./ApplyOutcome.ts";

/** The latest accepted version; version 0 means none yet. */
interface StoredState {
  version: number;
  document: string;
  /** Answers given to recent request ids, so a resend gets the same answer. */
  answers: [string, ApplyOutcome][];
}

const STATE_FILE = "config-state.json";

/** How many request ids are remembered; a resend older than this is judged by version alone. */
export const REMEMBERED_REQUEST_IDS = 4096;

/**
 * Control's durable state under its data folder. Every change is synced to
 * disk before it is answered, so an accepted version survives a crash.
 */
export class ConfigStore {
  readonly #dir: string;
  #state: StoredState;

  constructor(dir: string) {
    this.#dir = dir;
    mkdirSync(dir, { recursive: true });
    this.#state = this.#load();
  }

  get version(): number {
    return this.#state.version;
  }

  get document(): string {
    return this.#state.document;
  }

  /** The answer already given to `requestId`, if it is remembered. */
  answerFor(requestId: string): ApplyOutcome | undefined {
    return this.#state.answers.find(([id]) => id === requestId)?.[1];
  }

  /** Records an answer and, when it accepted, the new version; synced before it returns. */
  record(
    requestId: string,
    outcome: ApplyOutcome,
    accepted?: { version: number; document: string },
  ): void {
    const answers = [...this.#state.answers, [requestId, outcome] as [string, ApplyOutcome]];
    this.#state = {
      version: accepted?.version ?? this.#state.version,
      document: accepted?.document ?? this.#state.document,
      answers: answers.slice(-REMEMBERED_REQUEST_IDS),
    };
    this.#persist();
  }

  #load(): StoredState {
    try {
      return JSON.parse(readFileSync(join(this.#dir, STATE_FILE), "utf8")) as StoredState;
    } catch {
      return { version: 0, document: "", answers: [] };
    }
  }

  #persist(): void {
    writeFileSynced(join(this.#dir, STATE_FILE), JSON.stringify(this.#state));
  }
}
