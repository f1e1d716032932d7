import {
  closeSync,
  fdatasyncSync,
  ftruncateSync,
  openSync,
  readFileSync,
  writeSync,
} from "node:fs";
import type { Disk, OpenFile } from "./Disk.ts";
import { writeFileSynced } from "./writeFileSynced.ts";

/** The real file system. */
export const systemDisk: Disk = {
  read(path) {
    try {
      return readFileSync(path);
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code === "ENOENT") {
        return undefined; // The first start, or a lost disk: the caller tells them apart.
      }
      throw err;
    }
  },

  open(path): OpenFile {
    const fd = openSync(path, "r+");
    return {
      write: (bytes, offset) => {
        // A disk that is nearly full takes a part of a write and refuses the rest with the next one.
        for (let done = 0; done < bytes.length;) {
          done += writeSync(fd, bytes, done, bytes.length - done, offset + done);
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

  replace: writeFileSynced,
};
