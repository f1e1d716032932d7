import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** What a case sent, what was answered and what ran: lines with the time since the start of the case. */
export class CaseRecord {
  readonly #path: string;
  readonly #startedAt = performance.now();
  readonly #lines: string[] = [];

  constructor(folder: string) {
    this.#path = join(folder, "record.txt");
  }

  /** Milliseconds since the start of the case. */
  now(): number {
    return performance.now() - this.#startedAt;
  }

  add(line: string): void {
    this.#lines.push(`${this.now().toFixed(0).padStart(7)} ${line}`);
  }

  /** Adds a line that is also printed. */
  report(line: string): void {
    this.add(line);
    console.log(line);
  }

  save(): void {
    writeFileSync(this.#path, `${this.#lines.join("\n")}\n`);
  }
}
