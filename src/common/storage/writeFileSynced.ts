import { closeSync, fsyncSync, mkdirSync, openSync, renameSync, writeSync } from "node:fs";
import { dirname } from "node:path";

/**
 * Writes `content` to `path` so that a crash leaves either the old or the new file,
 * never a torn one: it writes a temporary file, syncs it, renames it to `path` and
 * syncs the folder (a rename is durable only once its folder is synced). Throws the
 * file system's error when a step fails; `path` then still has its old content.
 */
export function writeFileSynced(path: string, content: string | Buffer): void {
  const dir = dirname(path);
  mkdirSync(dir, { recursive: true });
  const tmp = `${path}.tmp`;
  withFile(tmp, "w", (fd) => {
    writeAll(fd, Buffer.from(content));
    fsyncSync(fd);
  });
  renameSync(tmp, path);
  withFile(dir, "r", fsyncSync);
}

function withFile(path: string, flags: string, callback: (fd: number) => void): void {
  const fd = openSync(path, flags);
  try {
    callback(fd);
  } finally {
    closeSync(fd);
  }
}

/** Writes all of `bytes`: a nearly full disk writes only part of the data, and the write of the rest then fails. */
function writeAll(fd: number, bytes: Buffer): void {
  for (let written = 0; written < bytes.length;) {
    written += writeSync(fd, bytes, written, bytes.length - written);
  }
}
