import { closeSync, fsyncSync, mkdirSync, openSync, renameSync, writeSync } from "node:fs";
import { dirname } from "node:path";

/**
 * Writes `content` to `path` so that a crash leaves the old file or the new one,
 * never a torn one: write a temporary file, fsync it, rename it over, fsync
 * the folder (a rename is durable only once its folder is synced). Throws what
 * the file system says when the disk refuses; `path` is then as it was.
 */
export function writeFileSynced(path: string, content: string | Buffer): void {
  const dir = dirname(path);
  mkdirSync(dir, { recursive: true });
  const tmp = `${path}.tmp`;
  withFile(tmp, "w", (fd) => {
    writeWhole(fd, Buffer.from(content));
    fsyncSync(fd);
  });
  renameSync(tmp, path);
  withFile(dir, "r", fsyncSync);
}

function withFile(path: string, flags: string, act: (fd: number) => void): void {
  const fd = openSync(path, flags);
  try {
    act(fd);
  } finally {
    closeSync(fd);
  }
}

/** A disk that is nearly full takes a part of a write and refuses the rest with the next one. */
function writeWhole(fd: number, bytes: Buffer): void {
  for (let done = 0; done < bytes.length;) {
    done += writeSync(fd, bytes, done, bytes.length - done);
  }
}
