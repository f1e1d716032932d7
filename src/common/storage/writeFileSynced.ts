import { closeSync, fsyncSync, mkdirSync, openSync, renameSync, writeSync } from "node:fs";
import { dirname } from "node:path";

/**
 * Writes `text` to `path` so that a crash leaves the old file or the new one,
 * never a torn one: write a temporary file, fsync it, rename it over, fsync
 * the folder (a rename is durable only once its folder is synced).
 */
export function writeFileSynced(path: string, text: string): void {
  const dir = dirname(path);
  mkdirSync(dir, { recursive: true });
  const tmp = `${path}.tmp`;
  const fd = openSync(tmp, "w");
  writeSync(fd, text);
  fsyncSync(fd);
  closeSync(fd);
  renameSync(tmp, path);
  const dirFd = openSync(dir, "r");
  fsyncSync(dirFd);
  closeSync(dirFd);
}
