import {
  closeSync,
  fdatasyncSync,
  ftruncateSync,
  openSync,
  readFileSync,
  writeSync,
} from "node:fs";
import { open } from "node:fs/promises";
import type { AsyncFile } from "./AsyncFile.ts";
import type { Disk, OpenFile } from "./Disk.ts";
import { writeFileSynced } from "./writeFileSynced.ts";

/** {@link Disk} on the real file system. */
export const systemDisk: Disk = {
  read(path) {
    try {
      return readFileSync(path);
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code === "ENOENT") {
        return undefined; // Either the first start or a lost disk; the caller distinguishes them.
      }
      throw err;
    }
  },

  open(path): OpenFile {
    const fd = openSync(path, "r+");
    return {
      write: (bytes, offset) => {
        // A nearly full disk writes only part of the data; the write of the rest then fails.
        for (let written = 0; written < bytes.length;) {
          written += writeSync(fd, bytes, written, bytes.length - written, offset + written);
        }
      },
      sync: () => {
        fdatasyncSync(fd);
      },
      truncate: (length) => {
        ftruncateSync(fd, length);
      },
      close: () => {
        closeSync(fd);
      },
    };
  },

  async openAsync(path): Promise<AsyncFile> {
    const file = await open(path, "a");
    return {
      append: (text) => file.appendFile(text),
      sync: () => file.datasync(),
      close: () => file.close(),
    };
  },

  replace: writeFileSynced,
};
